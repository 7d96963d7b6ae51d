package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/drain"
)

const (
	// lingerFraction is the part of the grace period for which a draining entry still accepts
	// connections, because callers hold cached address answers.
	lingerFraction = 0.5
	// closeMargin is the time between the drain's timeout and SIGKILL at the end of the grace
	// period. The requests that still wait are refused within abortGrace of it.
	closeMargin = 300 * time.Millisecond
	abortGrace  = 100 * time.Millisecond
	// quietTime is how long the entry must have had no request in flight, after the linger
	// time, for the drain to end.
	quietTime         = 300 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// drainState is the progress of an entry's drain. It is safe for concurrent use.
type drainState struct {
	mu       sync.Mutex
	progress *drain.Progress
	inFlight int
	// started is closed when the drain starts.
	started chan struct{}
}

func drainPlan(grace time.Duration) drain.Plan {
	return drain.Plan{
		Linger:          time.Duration(lingerFraction * float64(grace)),
		Timeout:         grace - closeMargin,
		AcceptUnbounded: drain.AcceptUnbounded(grace),
		QuietPeriod:     quietTime,
	}
}

// errDrainEnded is the cause of the cancellation of requests that outlast the drain.
var errDrainEnded = errors.New("this entry stops before the request can end")

func newDrainState(grace time.Duration) *drainState {
	return &drainState{progress: drain.New(drainPlan(grace)), started: make(chan struct{})}
}

func (d *drainState) setGrace(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progress.SetPlan(drainPlan(grace))
}

// start starts the drain; a second call ends it at once.
func (d *drainState) start(now time.Time) (first bool, inFlight int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first = d.progress.Advertised(); first {
		close(d.started)
	}
	d.progress.Start(now, d.inFlight)
	return first, d.inFlight
}

func (d *drainState) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.progress.Advertised()
}

// AdmitsAttempt implements relay.Admission.
func (d *drainState) AdmitsAttempt(deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.progress.Admits(time.Now(), deadline)
}

func (d *drainState) beginRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
}

func (d *drainState) endRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Called before the decrement, so that the quiet period starts at the end of this request.
	d.progress.Advance(time.Now(), d.inFlight)
	d.inFlight--
}

// advance advances the drain. busyConns is the number of connections that have a request or are about
// to have one, some of which may not be in flight yet.
func (d *drainState) advance(now time.Time, busyConns int) (phase drain.Phase, inFlight int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.progress.Advance(now, max(d.inFlight, busyConns)), d.inFlight
}

// drainAndClose waits until the drain or ctx ends and closes the servers. The error reports the
// requests that were still in flight.
func (g *Gateway) drainAndClose(ctx context.Context, servers []server) error {
	select {
	case <-ctx.Done():
	case <-g.drain.started:
	}
	refusing, busyConns := false, 0
	for ctx.Err() == nil {
		phase, inFlight := g.drain.advance(time.Now(), busyConns)
		if phase == drain.Ended {
			break
		}
		if phase == drain.Refusing && !refusing {
			refusing = true
			g.log.Info("drain: no longer accepting connections", zap.Int("inFlight", inFlight))
			g.callerConns.StopAccepting()
		}
		if refusing {
			busyConns = g.callerConns.CloseIdle()
		}
		time.Sleep(drainPollInterval)
	}
	_, aborted := g.drain.advance(time.Now(), 0)
	if aborted > 0 {
		g.abortRequests(errDrainEnded)
		g.waitForAborted()
	}
	for _, s := range servers {
		_ = s.Close() // errors do not matter: the process ends
	}
	if aborted > 0 {
		return errors.Newf("drain ended with %d requests in flight, which were aborted", aborted)
	}
	return nil
}

// waitForAborted waits until the requests that were aborted have got their error responses, at most
// abortGrace.
func (g *Gateway) waitForAborted() {
	for deadline := time.Now().Add(abortGrace); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		if _, inFlight := g.drain.advance(time.Now(), 0); inFlight == 0 {
			return
		}
	}
}

package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

const (
	// lingerFraction is the part of the grace time for which a leaving entry still
	// takes connections: callers hold old address answers.
	lingerFraction = 0.5
	// closeMargin is kept between the bound of a drain and SIGKILL.
	closeMargin = 300 * time.Millisecond
	// quietTime without a request ends the drain after the linger time.
	quietTime         = 300 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// drainState is how far an entry has come in drainState.
type drainState struct {
	mu       sync.Mutex
	progress *drain.Progress
	inFlight int
	// started is closed when the entry begins to leave.
	started chan struct{}
}

func drainPlan(grace time.Duration) drain.Plan {
	return drain.Plan{Linger: time.Duration(lingerFraction * float64(grace)), Timeout: grace - closeMargin, QuietPeriod: quietTime}
}

func newDrainState(grace time.Duration) *drainState {
	return &drainState{progress: drain.New(drainPlan(grace)), started: make(chan struct{})}
}

func (l *drainState) setGrace(grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.SetPlan(drainPlan(grace))
}

// start begins to leave; a second call ends it at once.
func (l *drainState) start(now time.Time) (first bool, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first = l.progress.Advertised(); first {
		close(l.started)
	}
	l.progress.Start(now, l.inFlight)
	return first, l.inFlight
}

func (l *drainState) draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.progress.Advertised()
}

func (l *drainState) beginRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

func (l *drainState) endRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.Advance(time.Now(), l.inFlight)
	l.inFlight--
}

func (l *drainState) advance(now time.Time) (phase drain.Phase, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.Advance(now, l.inFlight), l.inFlight
}

// drainAndClose waits for the drain and closes the servers.
func (g *Gateway) drainAndClose(ctx context.Context, servers []server) error {
	select {
	case <-ctx.Done():
	case <-g.drain.started:
	}
	closing := false
	var group sync.WaitGroup
	for ctx.Err() == nil {
		phase, inFlight := g.drain.advance(time.Now())
		if phase == drain.Ended {
			break
		}
		if phase == drain.Refusing && !closing {
			closing = true
			g.log.Info("stopping: no more connections are taken", zap.Int("inFlight", inFlight))
			group.Go(func() { g.shutdown(ctx, servers[0].Server) })
		}
		time.Sleep(drainPollInterval)
	}
	_, cut := g.drain.advance(time.Now())
	for _, s := range servers {
		_ = s.Close() // the process ends
	}
	group.Wait()
	if cut > 0 {
		return errors.Newf("%d requests were cut off", cut)
	}
	return nil
}

func (g *Gateway) shutdown(ctx context.Context, s *http.Server) {
	if err := s.Shutdown(ctx); err != nil && ctx.Err() == nil {
		g.log.Warn("callers' connections were closed early", telemetry.Err(err))
	}
}

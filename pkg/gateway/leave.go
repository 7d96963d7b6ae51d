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
	// lingerShare is the part of the grace time for which a leaving entry still
	// takes connections: callers hold old address answers.
	lingerShare = 0.5
	// closeMargin is kept between the bound of a drain and SIGKILL.
	closeMargin = 300 * time.Millisecond
	// quietTime without a request ends the drain after the linger time.
	quietTime  = 300 * time.Millisecond
	leaveCheck = 20 * time.Millisecond
)

// leaving is how far an entry has come in leaving.
type leaving struct {
	mu       sync.Mutex
	progress *drain.Progress
	inFlight int
	// begun is closed when the entry begins to leave.
	begun chan struct{}
}

func planOf(grace time.Duration) drain.Plan {
	return drain.Plan{Linger: time.Duration(lingerShare * float64(grace)), Timeout: grace - closeMargin, QuietPeriod: quietTime}
}

func newLeaving(grace time.Duration) *leaving {
	return &leaving{progress: drain.New(planOf(grace)), begun: make(chan struct{})}
}

func (l *leaving) setGrace(grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.SetPlan(planOf(grace))
}

// begin begins to leave; a second call ends it at once.
func (l *leaving) begin(now time.Time) (first bool, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first = l.progress.Advertised(); first {
		close(l.begun)
	}
	l.progress.Start(now, l.inFlight)
	return first, l.inFlight
}

func (l *leaving) leaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.progress.Advertised()
}

func (l *leaving) enter() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

func (l *leaving) exit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.Advance(time.Now(), l.inFlight)
	l.inFlight--
}

func (l *leaving) advance(now time.Time) (phase drain.Phase, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.Advance(now, l.inFlight), l.inFlight
}

// leave waits for the drain and closes the servers.
func (g *Gateway) leave(ctx context.Context, servers []server) error {
	select {
	case <-ctx.Done():
	case <-g.drain.begun:
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
		time.Sleep(leaveCheck)
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

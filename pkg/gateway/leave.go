package gateway

import (
	"context"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// lingerShare is the part of the grace time for which a leaving entry still
	// takes requests: callers hold old address answers.
	lingerShare = 0.5
	// closeMargin is kept between the bound of a drain and SIGKILL.
	closeMargin = 300 * time.Millisecond
	// quietTime without a request ends the drain after the linger time.
	quietTime  = 300 * time.Millisecond
	leaveCheck = 20 * time.Millisecond
)

// leaving is how far an entry has come in leaving.
type leaving struct {
	grace    time.Duration
	inFlight atomic.Int64
	once     sync.Once
	begun    chan struct{}
	mu       sync.Mutex
	since    time.Time
	last     time.Time
}

func newLeaving(grace time.Duration) *leaving {
	return &leaving{grace: grace, begun: make(chan struct{})}
}

func (l *leaving) setGrace(grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grace = grace
}

// begin reports whether this call began the drain.
func (l *leaving) begin() bool {
	first := false
	l.once.Do(func() {
		first = true
		l.mu.Lock()
		l.since = time.Now()
		l.mu.Unlock()
		close(l.begun)
	})
	return first
}

func (l *leaving) leaving() bool {
	select {
	case <-l.begun:
		return true
	default:
		return false
	}
}

func (l *leaving) enter() { l.inFlight.Add(1) }

func (l *leaving) exit() {
	l.inFlight.Add(-1)
	l.mu.Lock()
	l.last = time.Now()
	l.mu.Unlock()
}

// over reports whether the process may end, and whether it takes requests until
// then.
func (l *leaving) over(now time.Time) (ended, taking bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.since)
	if elapsed >= l.grace-closeMargin {
		return true, false
	}
	taking = elapsed < time.Duration(lingerShare*float64(l.grace))
	ended = !taking && l.inFlight.Load() == 0 && now.Sub(l.last) >= quietTime
	return ended, taking
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
		ended, taking := g.drain.over(time.Now())
		if ended {
			break
		}
		if !taking && !closing {
			closing = true
			g.log.Info("stopping: no more connections are taken", zap.Int64("inFlight", g.drain.inFlight.Load()))
			group.Go(func() { g.shutdown(ctx, servers[0].Server) })
		}
		time.Sleep(leaveCheck)
	}
	cut := g.drain.inFlight.Load()
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

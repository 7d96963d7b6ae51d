package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/routing"
)

const (
	// loadInterval is how often the backend server is asked for its load.
	loadInterval = 200 * time.Millisecond
	// heartbeatInterval is how often entries get a status without a change.
	heartbeatInterval = time.Second
)

type loadReading struct {
	load routing.Load
	sent time.Time
}

// watchBackend reads the load of the backend server and tells entries of
// changes until ctx ends.
func (a *Agent) watchBackend(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		a.readLoad(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (a *Agent) readLoad(ctx context.Context) {
	load, err := a.backend.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	if a.storeLoad(load, err == nil, time.Now()) {
		a.broadcast()
	}
}

// storeLoad keeps a reading and reports whether entries must be told.
func (a *Agent) storeLoad(load routing.Load, up bool, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := up != a.backendUp
	if changed {
		a.log.Info("backend server state", zap.Bool("up", up))
	}
	due := now.Sub(a.load.sent) >= heartbeatInterval
	moved := load != a.load.load
	a.backendUp = up
	a.load.load = load
	if changed || due || moved {
		a.load.sent = now
		return true
	}
	return false
}

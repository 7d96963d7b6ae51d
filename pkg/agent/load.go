package agent

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/routing"
)

// loadInterval is how often the backend server is asked for its load, and the
// shortest interval of heartbeats.
const loadInterval = 200 * time.Millisecond

// watchBackend reads the load of the backend server and tells entries of it
// until ctx ends: at once where the status changes, and else at the interval
// that each entry asked for.
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
	a.storeLoad(load, err == nil)
	if a.statusChanged() {
		a.sendStatus()
	}
	a.sendHeartbeats(time.Now())
}

// statusChanged reports whether the status has changed, since the last call,
// in something that heartbeats do not carry. Entries learn the offset of the
// configuration from the answer to it.
func (a *Agent) statusChanged() bool {
	now := a.status()
	now.Load = routing.Load{}
	now.ConfigOffset = 0
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := now != a.told
	a.told = now
	return changed
}

// storeLoad keeps a reading.
func (a *Agent) storeLoad(load routing.Load, up bool) {
	load.StepMS = math.Round(load.StepMS*10) / 10
	a.mu.Lock()
	defer a.mu.Unlock()
	if up != a.backendUp {
		a.log.Info("backend server state", zap.Bool("up", up))
	}
	a.backendUp = up
	a.load = load
}

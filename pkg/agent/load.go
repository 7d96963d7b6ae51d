package agent

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/routing"
)

// loadInterval is how often the load of the backend server is polled. It is also the shortest
// heartbeat interval.
const loadInterval = 200 * time.Millisecond

// watchBackend polls the load of the backend server and reports it to the entries until ctx is
// cancelled: immediately if the status has changed, otherwise at the interval that each entry
// requested.
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

// statusChanged reports whether any part of the status that heartbeats do not carry has changed
// since the last call. The configuration offset is excluded because entries receive it in the
// reply to configure.
func (a *Agent) statusChanged() bool {
	now := a.status()
	now.Load = routing.Load{}
	now.ConfigOffset = 0
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := now != a.lastStatus
	a.lastStatus = now
	return changed
}

func (a *Agent) storeLoad(load routing.Load, up bool) {
	load.StepMS = math.Round(load.StepMS*10) / 10
	a.mu.Lock()
	defer a.mu.Unlock()
	if up != a.backendUp {
		a.log.Info("backend server availability changed", zap.Bool("available", up))
	}
	a.backendUp = up
	a.load = load
}

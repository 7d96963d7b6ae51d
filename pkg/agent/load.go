package agent

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/routing"
)

// loadInterval is how often the backend server is asked for its load, and the
// shortest interval of beats.
const loadInterval = 200 * time.Millisecond

// watchBackend reads the load of the backend server and tells entries of it
// until ctx ends: at once where the backend server comes or goes, and else at
// the interval that each entry asked for.
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
	if a.storeLoad(load, err == nil) {
		a.sendStatus()
	}
	a.sendBeats(time.Now())
}

// storeLoad keeps a reading and reports whether the backend server has come or
// gone.
func (a *Agent) storeLoad(load routing.Load, up bool) bool {
	load.StepMS = math.Round(load.StepMS*10) / 10
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := up != a.backendUp
	if changed {
		a.log.Info("backend server state", zap.Bool("up", up))
	}
	a.backendUp = up
	a.load = load
	return changed
}

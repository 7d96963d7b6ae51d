package cli

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// settingsPollInterval is the interval at which the settings file is read, because it may
// change without a signal. The operators require no particular interval; one read takes 0.1 ms.
const settingsPollInterval = 2 * time.Second

// reloader applies changes of the settings file to a running process.
type reloader struct {
	current settings.Instance
	// lastSeen is the last content of the file whose changes were logged.
	lastSeen settings.Instance
	load     func() (settings.Instance, error)
	// apply puts changed bounds in force.
	apply func(settings.Bounds)
	log   *zap.Logger
	// lastErr is the error text of the last read, empty if it succeeded. A repeated error is
	// logged once.
	lastErr string
}

func newReloader(current settings.Instance, load func() (settings.Instance, error), apply func(settings.Bounds), log *zap.Logger) *reloader {
	return &reloader{current: current, lastSeen: current, load: load, apply: apply, log: log}
}

// run reads the settings at each SIGHUP and every settingsPollInterval until ctx is done.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			if !r.poll() {
				r.log.Info("reload: settings are unchanged")
			}
		case <-ticker.C:
			r.poll()
		}
	}
}

// poll reads the settings and applies the changes that need no restart. It reports whether it
// logged anything.
func (r *reloader) poll() bool {
	s, err := r.load()
	if err != nil {
		repeated := r.lastErr == err.Error()
		if r.lastErr = err.Error(); !repeated {
			r.log.Error("reload: cannot read the settings; keeping the current ones", telemetry.Err(err))
		}
		return !repeated
	}
	r.lastErr = ""
	if reflect.DeepEqual(s, r.lastSeen) {
		return false
	}
	r.lastSeen = s
	next, fixed := r.current.Reload(s)
	if !reflect.DeepEqual(next, r.current) {
		r.log.Info("reload: changed bounds are in force", zap.Any("before", r.current.Bounds), zap.Any("now", next.Bounds))
		r.current = next
		r.apply(next.Bounds)
	}
	if len(fixed) > 0 {
		r.log.Warn("reload: changed settings take effect only after a restart of the process", zap.Strings("settings", fixed))
	}
	return true
}

package cli

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// settingsPause is the time between two readings of the settings file: it may change
// without a signal. No bound of the operators names a time; a reading costs 0.1 ms.
const settingsPause = 2 * time.Second

// reloader keeps a process up to date with its settings file.
type reloader struct {
	present settings.Instance
	// seen is the last reading whose change was told.
	seen settings.Instance
	load func() (settings.Instance, error)
	// apply takes bounds that have changed.
	apply func(settings.Bounds)
	log   *zap.Logger
	// fault is the text of the last reading's error; empty where there was none.
	fault string
}

func newReloader(present settings.Instance, load func() (settings.Instance, error), apply func(settings.Bounds), log *zap.Logger) *reloader {
	return &reloader{present: present, seen: present, load: load, apply: apply, log: log}
}

// run reads the settings at each signal and now and again until ctx ends.
func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	ticker := time.NewTicker(settingsPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			if !r.look() {
				r.log.Info("reload: the settings were read again; nothing has changed")
			}
		case <-ticker.C:
			r.look()
		}
	}
}

// look reads the settings and applies what may change while the process runs. It
// reports whether it had anything to tell.
func (r *reloader) look() bool {
	s, err := r.load()
	if err != nil {
		told := r.fault == err.Error()
		if r.fault = err.Error(); !told {
			r.log.Error("reload: the settings cannot be read; the present ones stay", telemetry.Err(err))
		}
		return !told
	}
	r.fault = ""
	if s == r.seen {
		return false
	}
	r.seen = s
	next, fixed := r.present.Reload(s)
	if next != r.present {
		r.log.Info("reload: bounds have changed and are in force", zap.Any("before", r.present.Bounds), zap.Any("now", next.Bounds))
		r.present = next
		r.apply(next.Bounds)
	}
	if len(fixed) > 0 {
		r.log.Warn("reload: some settings have changed that are fixed at the start; restart the process to use them", zap.Strings("settings", fixed))
	}
	return true
}

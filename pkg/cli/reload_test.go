package cli

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fescuehub/fescuehub/pkg/settings"
)

// TestReloaderAppliesChangedBounds polls the same changed or unreadable settings three times:
// changed bounds are applied once, changed fixed settings are logged once, and a read error is
// logged once and changes nothing.
func TestReloaderAppliesChangedBounds(t *testing.T) {
	first := settings.Instance{Name: "a", CallerAddress: "127.0.0.1:1", Bounds: settings.Bounds{Grace: time.Second, RetryRatio: 0.2}}
	bounds, both := first, first
	bounds.Bounds.Grace = 3 * time.Second
	both.Bounds.RetryRatio, both.CallerAddress = 0.1, "127.0.0.1:2"
	for _, c := range []struct {
		name       string
		loaded     settings.Instance
		err        error
		wantCalls  int
		wantLevels []zapcore.Level
	}{
		{"no change", first, nil, 0, nil},
		{"changed bound", bounds, nil, 1, []zapcore.Level{zap.InfoLevel}},
		{"changed bound and address", both, nil, 1, []zapcore.Level{zap.InfoLevel, zap.WarnLevel}},
		{"read error", settings.Instance{}, errors.New("the field is missing"), 0, []zapcore.Level{zap.ErrorLevel}},
	} {
		core, logs := observer.New(zap.DebugLevel)
		applied := 0
		r := newReloader(first, func() (settings.Instance, error) { return c.loaded, c.err }, func(b settings.Bounds) {
			applied++
			if b != c.loaded.Bounds {
				t.Errorf("%s: applied bounds %+v, want the loaded ones", c.name, b)
			}
		}, zap.New(core))
		for range 3 {
			r.poll()
		}
		if applied != c.wantCalls {
			t.Errorf("%s: bounds were applied %d times, want %d", c.name, applied, c.wantCalls)
		}
		var levels []zapcore.Level
		for _, line := range logs.All() {
			levels = append(levels, line.Level)
		}
		if len(levels) != len(c.wantLevels) {
			t.Fatalf("%s: logged levels %v, want %v", c.name, levels, c.wantLevels)
		}
		for i := range levels {
			if levels[i] != c.wantLevels[i] {
				t.Errorf("%s: logged levels %v, want %v", c.name, levels, c.wantLevels)
			}
		}
		if r.current.CallerAddress != first.CallerAddress {
			t.Errorf("%s: the caller address, a fixed setting, was changed", c.name)
		}
	}
}

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

// TestSettingsThatChange plays readings of the settings file, with and without a fault:
// bounds are in force at once, what is fixed is named once, a fault changes nothing.
func TestSettingsThatChange(t *testing.T) {
	first := settings.Instance{Name: "a", CallerAddress: "127.0.0.1:1", Bounds: settings.Bounds{Grace: time.Second, RetryRatio: 0.2}}
	bounds, both := first, first
	bounds.Bounds.Grace = 3 * time.Second
	both.Bounds.RetryRatio, both.CallerAddress = 0.1, "127.0.0.1:2"
	for _, c := range []struct {
		name    string
		reading settings.Instance
		err     error
		applied int
		lines   []zapcore.Level
	}{
		{"nothing", first, nil, 0, nil},
		{"a bound", bounds, nil, 1, []zapcore.Level{zap.InfoLevel}},
		{"a bound and an address", both, nil, 1, []zapcore.Level{zap.InfoLevel, zap.WarnLevel}},
		{"a fault", settings.Instance{}, errors.New("the field is missing"), 0, []zapcore.Level{zap.ErrorLevel}},
	} {
		core, logs := observer.New(zap.DebugLevel)
		applied := 0
		r := newReloader(first, func() (settings.Instance, error) { return c.reading, c.err }, func(b settings.Bounds) {
			applied++
			if b != c.reading.Bounds {
				t.Errorf("%s: %+v was applied", c.name, b)
			}
		}, zap.New(core))
		for range 3 {
			r.look()
		}
		if applied != c.applied {
			t.Errorf("%s: bounds were applied %d times, want %d", c.name, applied, c.applied)
		}
		var levels []zapcore.Level
		for _, line := range logs.All() {
			levels = append(levels, line.Level)
		}
		if len(levels) != len(c.lines) {
			t.Fatalf("%s: lines %v, want %v", c.name, levels, c.lines)
		}
		for i := range levels {
			if levels[i] != c.lines[i] {
				t.Errorf("%s: lines %v, want %v", c.name, levels, c.lines)
			}
		}
		if r.present.CallerAddress != first.CallerAddress {
			t.Errorf("%s: a fixed setting was taken", c.name)
		}
	}
}

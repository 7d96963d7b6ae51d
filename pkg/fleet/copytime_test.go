package fleet_test

import (
	"math"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// TestCopyTimeOfAnExpert guards the size of the stages of a map change against a configuration that does not
// state the size of an expert or the rate of the link, or states nonsense.
func TestCopyTimeOfAnExpert(t *testing.T) {
	for _, c := range []struct {
		megabytes, megabits float64
		want                time.Duration
	}{
		{420, 44_000, 76 * time.Millisecond}, {370, 180_000, 16 * time.Millisecond},
		{0, 44_000, 0}, {420, 0, 0}, {-1, 44_000, 0}, {420, -1, 0}, {math.NaN(), 1, 0}, {math.MaxFloat64, 1e-300, time.Minute},
	} {
		e := fleet.Engine{ExpertMB: c.megabytes, LinkMbps: c.megabits}
		if got := e.CopyTime().Truncate(time.Millisecond); got != c.want {
			t.Errorf("%v MB over %v Mbit/s: %v, want %v", c.megabytes, c.megabits, got, c.want)
		}
	}
}

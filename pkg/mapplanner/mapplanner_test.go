package mapplanner

import (
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

// TestRestIsBoundedByPeriodAndLease: a planner that rests sees its lease well
// before it lapses, and never rests for less than a round.
func TestRestIsBoundedByPeriodAndLease(t *testing.T) {
	for _, c := range []struct{ period, lapse, want time.Duration }{
		{time.Minute, 100 * time.Second, 10 * time.Second},
		{time.Hour, 100 * time.Second, 10 * time.Second},
		{30 * time.Second, 100 * time.Second, 5 * time.Second},
		{time.Second, 4 * time.Second, RoundInterval},
	} {
		if got := restOf(Options{Period: c.period, Lease: expertmap.LeaseTimes{ExpireAfter: c.lapse}}); got != c.want {
			t.Errorf("period %v, lapse %v: rest of %v, want %v", c.period, c.lapse, got, c.want)
		}
	}
}

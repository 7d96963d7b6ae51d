package mapplanner

import (
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

// TestIdleIntervalIsBoundedByPeriodAndLease checks that an idle planner reads its lease well before
// it expires, and never idles for less than one round.
func TestIdleIntervalIsBoundedByPeriodAndLease(t *testing.T) {
	for _, c := range []struct{ period, expiry, want time.Duration }{
		{time.Minute, 100 * time.Second, 10 * time.Second},
		{time.Hour, 100 * time.Second, 10 * time.Second},
		{30 * time.Second, 100 * time.Second, 5 * time.Second},
		{time.Second, 4 * time.Second, RoundInterval},
	} {
		if got := idleInterval(Options{Period: c.period, Lease: expertmap.LeaseTimes{ExpireAfter: c.expiry}}); got != c.want {
			t.Errorf("period %v, lease expiry %v: idle interval %v, want %v", c.period, c.expiry, got, c.want)
		}
	}
}

package rankagent

import (
	"testing"
	"time"
)

// TestPassTimerCountsWholePasses guards against a wrong pass time: it must be measured over several
// whole passes, and anew after the group has formed again, which restarts the count of passes.
func TestPassTimerCountsWholePasses(t *testing.T) {
	var p passTimer
	start := time.Unix(1_700_000_000, 0)
	for n, step := range []int64{10, 11, 12, 13, 14, 15} {
		p.observe(start.Add(time.Duration(n)*80*time.Millisecond), step)
	}
	if p.passTime != 80*time.Millisecond {
		t.Errorf("a pass takes %v, want 80ms", p.passTime)
	}
	p.observe(start.Add(time.Second), 2) // the group has formed again
	p.observe(start.Add(1300*time.Millisecond), 5)
	if p.passTime != 100*time.Millisecond {
		t.Errorf("a pass takes %v, want 100ms", p.passTime)
	}
}

// TestArmingEstimateFollowsLostOrders guards the estimate while orders go unanswered: it must rise
// with the first slow switch, and return to normal after a few fast ones.
func TestArmingEstimateFollowsLostOrders(t *testing.T) {
	var a armingEstimate
	a.observe(300 * time.Millisecond)
	if a.current() != 300*time.Millisecond {
		t.Errorf("estimate is %v after a switch of 300ms", a.current())
	}
	for range 8 {
		a.observe(30 * time.Millisecond)
	}
	if a.current() > 40*time.Millisecond {
		t.Errorf("estimate is still %v", a.current())
	}
}

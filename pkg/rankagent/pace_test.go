package rankagent

import (
	"testing"
	"time"
)

func TestPaceCountsWholePasses(t *testing.T) {
	var p pace
	start := time.Unix(1_700_000_000, 0)
	for n, step := range []int64{10, 11, 12, 13, 14, 15} {
		p.look(start.Add(time.Duration(n)*80*time.Millisecond), step)
	}
	if p.pass != 80*time.Millisecond {
		t.Errorf("a pass takes %v, want 80ms", p.pass)
	}
	p.look(start.Add(time.Second), 2) // the group has formed anew
	p.look(start.Add(1300*time.Millisecond), 5)
	if p.pass != 100*time.Millisecond {
		t.Errorf("a pass takes %v, want 100ms", p.pass)
	}
}

// TestArmingFollowsLostOrders answers orders that go unanswered for a while: the
// expected time rises with the first switch that took long, and is back after a
// few.
func TestArmingFollowsLostOrders(t *testing.T) {
	var a arming
	a.took(300 * time.Millisecond)
	if a.time() != 300*time.Millisecond {
		t.Errorf("expected %v after a switch of 300ms", a.time())
	}
	for range 8 {
		a.took(30 * time.Millisecond)
	}
	if a.time() > 40*time.Millisecond {
		t.Errorf("still expected %v", a.time())
	}
}

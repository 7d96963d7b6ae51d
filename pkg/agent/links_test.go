package agent

import (
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/rpc"
)

// Each entry must receive heartbeats at the interval that it requested, not at a common one, and
// a changed status must go to every entry at once. The test passes simulated times.
func TestHeartbeatsUseTheIntervalOfEachEntry(t *testing.T) {
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	frequent, rare := &rpc.Conn{}, &rpc.Conn{}
	a := &Agent{links: map[*rpc.Conn]*entryLink{
		frequent: {interval: 400 * time.Millisecond, lastSent: start},
		rare:     {interval: 9 * time.Second, lastSent: start},
	}}
	got := map[*rpc.Conn]int{}
	for now := start; now.Before(start.Add(18*time.Second + 1)); now = now.Add(loadInterval) {
		for _, conn := range a.linksDue(now, 1) {
			got[conn]++
		}
	}
	if got[frequent] != 45 || got[rare] != 2 {
		t.Errorf("%d heartbeats every 400 ms and %d every 9 s in 18 s, want 45 and 2", got[frequent], got[rare])
	}
	if due := a.linksDue(start.Add(18*time.Second), 0); len(due) != 2 {
		t.Errorf("a changed status goes to %d of 2 links", len(due))
	}
}

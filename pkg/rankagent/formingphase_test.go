package rankagent

import (
	"testing"
	"time"
)

// TestFormingPhase guards against requests that wait for the first map of a group longer than
// maxFormingTime, or although the group already has a map.
func TestFormingPhase(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var p formingPhase
	if p.active(start) {
		t.Error("requests wait although no formation was observed")
	}
	p.begin(start, 0)
	if !p.active(start.Add(maxFormingTime - 1)) {
		t.Error("requests do not wait for the first map")
	}
	if p.active(start.Add(maxFormingTime)) {
		t.Error("requests wait longer than maxFormingTime")
	}
	p.begin(start, 0)
	if p.end(); p.active(start) {
		t.Error("requests wait after the first map")
	}
	if p.begin(start, 7); p.active(start) {
		t.Error("requests wait although a map of another planner is in use")
	}
}

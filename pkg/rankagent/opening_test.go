package rankagent

import (
	"testing"
	"time"
)

func TestOpening(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var o opening
	if o.lasts(start) {
		t.Error("requests wait before a formation is seen")
	}
	o.begin(start, 0)
	if !o.lasts(start.Add(openingTime - 1)) {
		t.Error("requests do not wait for the first map")
	}
	if o.lasts(start.Add(openingTime)) {
		t.Error("requests wait too long")
	}
	o.begin(start, 0)
	if o.end(); o.lasts(start) {
		t.Error("requests wait after the first map")
	}
	if o.begin(start, 7); o.lasts(start) {
		t.Error("requests wait though another planner's map is in use")
	}
}

package drain_test

import (
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/drain"
)

// TestAdmitsOnlyWhatCanEnd guards against requests that are sent to a backend server although the process may
// end before they do.
func TestAdmitsOnlyWhatCanEnd(t *testing.T) {
	plan := drain.Plan{Linger: 4 * time.Second, Timeout: 7 * time.Second, AcceptUnbounded: 2 * time.Second, QuietPeriod: time.Second}
	for name, c := range map[string]struct {
		// after is the time since the start of the drain, and limit the time to the deadline.
		after, limit time.Duration
		want         bool
	}{
		"unbounded at the start":          {0, time.Hour, true},
		"unbounded just before the bound": {2*time.Second - 1, time.Hour, true},
		"unbounded at the bound":          {2 * time.Second, time.Hour, false},
		"ends with the drain":             {2 * time.Second, 5 * time.Second, true},
		"ends after the drain":            {2 * time.Second, 5*time.Second + 1, false},
		"short while refusing":            {5 * time.Second, time.Second, true},
		"any after the drain":             {7 * time.Second, 0, false},
	} {
		begin := time.Unix(1000, 0)
		progress := drain.New(plan)
		if !progress.Admits(begin, begin.Add(time.Hour)) {
			t.Errorf("%s: not admitted before the drain", name)
		}
		progress.Start(begin, 1)
		now := begin.Add(c.after)
		progress.Advance(now, 1)
		if got := progress.Admits(now, now.Add(c.limit)); got != c.want {
			t.Errorf("%s: admitted %v, want %v", name, got, c.want)
		}
	}
}

// TestShorterGraceDoesNotEndDrain guards against a change of the settings during a drain that cuts off requests which
// were accepted under the longer time-out.
func TestShorterGraceDoesNotEndDrain(t *testing.T) {
	begin := time.Unix(1000, 0)
	progress := drain.New(drain.Plan{Linger: time.Second, Timeout: 7 * time.Second})
	progress.Start(begin, 1)
	progress.SetPlan(drain.Plan{Linger: time.Second, Timeout: 3 * time.Second})
	if phase := progress.Advance(begin.Add(5*time.Second), 1); phase == drain.Ended {
		t.Error("the drain ended after 5 s, with a request in flight that was accepted for 7 s")
	}
	if now := begin.Add(2 * time.Second); progress.Admits(now, now.Add(2*time.Second)) {
		t.Error("a request was admitted that may outlast the shorter time-out")
	}
	if phase := progress.Advance(begin.Add(7*time.Second), 1); phase != drain.Ended {
		t.Errorf("the drain is %v after 7 s, want ended", phase)
	}
}

package membership

import (
	"context"
	"testing"

	decision "github.com/fescuehub/fescuehub/pkg/membership"
)

// Guards against a membership table that routes to lost or drained agents for longer than
// LeavingBound, resumes late after their restart, leaves requests unanswered, or retries more
// requests than the instance list alone.
func TestTableOutperformsListOnly(t *testing.T) {
	for _, c := range Cases {
		list, table := run(c, true, 1), run(c, false, 1)
		if table.LastAttempt > decision.LeavingBound.Seconds() {
			t.Errorf("%s: attempts at the victims until %.1f s after the fault, want at most LeavingBound", c.Name, table.LastAttempt)
		}
		if c.Victims > 0 && list.LastAttempt <= table.LastAttempt || table.Retried > list.Retried {
			t.Errorf("%s: table result %+v is no better than list-only result %+v", c.Name, table, list)
		}
		if table.Unserved > 3 {
			t.Errorf("%s: %d requests without an answer, want at most 3", c.Name, table.Unserved)
		}
		if c.RestartAfter > 0 && (table.RecoveredAfter < 0 || table.RecoveredAfter > 2*decision.LeavingBound.Seconds()) {
			t.Errorf("%s: attempts at the victims resume %.1f s after their restart (-1 means never), want at most twice LeavingBound", c.Name, table.RecoveredAfter)
		}
	}
}

// Guards against messages that grow beyond half of the node's target of 6000 bytes a second. The
// bytes are counted on loopback.
func TestListAndHeartbeatBytesStayWithinTarget(t *testing.T) {
	const target = 6000.0
	list, err := measureListBytes(context.Background(), 4000)
	if err != nil {
		t.Fatal(err)
	}
	links, err := measureLinkBytes(context.Background(), 60)
	if err != nil {
		t.Fatal(err)
	}
	heartbeats := links.Heartbeat * 60 / decision.HeartbeatInterval(60).Seconds()
	if list.Unchanged <= 0 || links.Heartbeat <= 0 || list.IncrementalPerSecond+heartbeats > target/2 {
		t.Errorf("list reads take %.0f and heartbeats %.0f bytes a second, want at most %.0f in total", list.IncrementalPerSecond, heartbeats, target/2)
	}
}

// Guards against address answers that change although the removed entry was not among their names,
// and against answers with too many names.
func TestRemovingEntryChangesFewAddressAnswers(t *testing.T) {
	a := measureAddressAnswers(40, 60, 6, 4)
	if a.NamesChangedShare <= 0 || a.NamesChangedShare > 0.05 || a.MaxNames > 16 {
		t.Errorf("address answers after the removal of one entry: %+v, want a NamesChangedShare above 0 and at most 0.05, and MaxNames of at most 16", a)
	}
}

package membership

import (
	"context"
	"testing"

	decision "github.com/fescuehub/fescuehub/pkg/membership"
)

// TestTableBeatsTheListAlone holds the table to the bound of the target in
// every case, and the baseline to being worse.
func TestTableBeatsTheListAlone(t *testing.T) {
	for _, c := range Cases {
		list, table := run(c, true, 1), run(c, false, 1)
		if table.LastAttempt > decision.LeavingBound.Seconds() {
			t.Errorf("%s: work until %.1f s after", c.Name, table.LastAttempt)
		}
		if c.Victims > 0 && list.LastAttempt <= table.LastAttempt || table.Retried > list.Retried {
			t.Errorf("%s: %+v is no better than %+v", c.Name, table, list)
		}
		if table.Unserved > 3 {
			t.Errorf("%s: %d requests found no replica", c.Name, table.Unserved)
		}
		if c.RestartAfter > 0 && (table.RecoveredAfter < 0 || table.RecoveredAfter > 2*decision.LeavingBound.Seconds()) {
			t.Errorf("%s: work again after %.1f s", c.Name, table.RecoveredAfter)
		}
	}
}

// TestBytesStayWithinTheTarget measures the messages on loopback.
func TestBytesStayWithinTheTarget(t *testing.T) {
	const target = 6000.0
	list, err := listBytes(context.Background(), 4000)
	if err != nil {
		t.Fatal(err)
	}
	links, err := linkBytes(context.Background(), 60)
	if err != nil {
		t.Fatal(err)
	}
	heartbeats := links.Heartbeat * 60 / decision.HeartbeatInterval(60).Seconds()
	if list.Unchanged <= 0 || links.Heartbeat <= 0 || list.IncrementalPerSecond+heartbeats > target/2 {
		t.Errorf("list %.0f and heartbeats %.0f bytes a second", list.IncrementalPerSecond, heartbeats)
	}
}

func TestAnswersChangeOnlyWhereTheEntryWasNamed(t *testing.T) {
	a := answersOf(40, 60, 6, 4)
	if a.NamesChangedShare <= 0 || a.NamesChangedShare > 0.05 || a.MaxNames > 16 {
		t.Errorf("%+v", a)
	}
}

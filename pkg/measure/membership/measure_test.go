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
		if table.LastWork > decision.LeavingBound.Seconds() {
			t.Errorf("%s: work until %.1f s after", c.Name, table.LastWork)
		}
		if c.Victims > 0 && list.LastWork <= table.LastWork || table.Noticed > list.Noticed {
			t.Errorf("%s: %+v is no better than %+v", c.Name, table, list)
		}
		if table.Lost > 3 {
			t.Errorf("%s: %d requests found no replica", c.Name, table.Lost)
		}
		if c.Back > 0 && (table.WorkAgain < 0 || table.WorkAgain > 2*decision.LeavingBound.Seconds()) {
			t.Errorf("%s: work again after %.1f s", c.Name, table.WorkAgain)
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
	if list.Unchanged <= 0 || links.Heartbeat <= 0 || list.Since+heartbeats > target/2 {
		t.Errorf("list %.0f and heartbeats %.0f bytes a second", list.Since, heartbeats)
	}
}

func TestAnswersChangeOnlyWhereTheEntryWasNamed(t *testing.T) {
	a := answersOf(40, 60, 6, 4)
	if a.Renamed <= 0 || a.Renamed > 0.05 || a.Most > 16 {
		t.Errorf("%+v", a)
	}
}

package departure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/departure"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// A departure that three entries forward in a ring must be new to each of them only once and must
// expire. If an entry renewed the expiry of a forwarded departure, it would circulate forever.
func TestForwardedDepartureExpires(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	ring := []*departure.Tracker{departure.New(), departure.New(), departure.New()}
	if !ring[0].Merge(now, []departure.Departure{{Name: "entry-1", Incarnation: "entry-1@1", RemainingMS: 1000}}) {
		t.Fatal("the departure was not new to the first entry")
	}
	changed := 0
	for step := range 30 {
		now = now.Add(50 * time.Millisecond)
		if ring[(step+1)%3].Merge(now, ring[step%3].List(now)) {
			changed++
		}
	}
	if changed != 2 {
		t.Fatalf("the departure was new %d times at the two other entries, want 2", changed)
	}
	for i, k := range ring {
		if k.Leaving(now, "entry-1") || len(k.List(now)) != 0 {
			t.Fatalf("entry %d still tracks the departure after its expiry", i)
		}
	}
}

// TestRestartedEntryIsNotLeaving guards against an entry that counts as leaving after its restart because
// other entries still pass on the departure of its old incarnation.
func TestRestartedEntryIsNotLeaving(t *testing.T) {
	k := departure.New()
	now := time.Unix(1_800_000_000, 0)
	old := []departure.Departure{{Name: "x", Incarnation: "x@1", RemainingMS: 60_000}}
	k.Merge(now, old)
	k.MarkReturned("x", "x@1")
	if !k.Leaving(now, "x") {
		t.Fatal("the leaving incarnation was treated as a later one")
	}
	k.MarkReturned("x", "x@2")
	if k.Merge(now, old) || k.Leaving(now, "x") {
		t.Fatal("the later incarnation was treated as leaving")
	}
}

func TestDeparturesAreBounded(t *testing.T) {
	k := departure.New()
	now := time.Unix(1_800_000_000, 0)
	for i := range 2 * departure.MaxTracked {
		k.Merge(now, []departure.Departure{{Name: "x", Incarnation: ident.Incarnation(fmt.Sprint("x@", i)), RemainingMS: 1000}})
	}
	if n := len(k.List(now)); n != departure.MaxTracked || !k.Leaving(now, "x") {
		t.Fatalf("%d departures tracked, or the entry is not leaving", n)
	}
}

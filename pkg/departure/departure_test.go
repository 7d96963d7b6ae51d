package departure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/departure"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// TestDepartureEndsEverywhere passes one departure round and round between
// entries: it is news once to each, and no entry remembers it longer than the
// first one did.
func TestDepartureEndsEverywhere(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	ring := []*departure.Tracker{departure.New(), departure.New(), departure.New()}
	if !ring[0].Merge(now, []departure.Departure{{Name: "entry-1", Incarnation: "entry-1@1", RemainingMS: 1000}}) {
		t.Fatal("no news to the first")
	}
	news := 0
	for step := range 30 {
		now = now.Add(50 * time.Millisecond)
		if ring[(step+1)%3].Merge(now, ring[step%3].List(now)) {
			news++
		}
	}
	if news != 2 {
		t.Fatalf("news %d times to two others", news)
	}
	for i, k := range ring {
		if k.Leaving(now, "entry-1") || len(k.List(now)) != 0 {
			t.Fatalf("entry %d remembers the departure after its end", i)
		}
	}
}

// TestALaterLifeIsNamedAgain: the departure of the old life is still passed on
// and does not come back as news.
func TestALaterLifeIsNamedAgain(t *testing.T) {
	k := departure.New()
	now := time.Unix(1_800_000_000, 0)
	old := []departure.Departure{{Name: "x", Incarnation: "x@1", RemainingMS: 60_000}}
	k.Merge(now, old)
	k.MarkReturned("x", "x@1")
	if !k.Leaving(now, "x") {
		t.Fatal("the life that leaves was taken for a later one")
	}
	k.MarkReturned("x", "x@2")
	if k.Merge(now, old) || k.Leaving(now, "x") {
		t.Fatal("the later life is taken for leaving")
	}
}

func TestDeparturesAreBounded(t *testing.T) {
	k := departure.New()
	now := time.Unix(1_800_000_000, 0)
	for i := range 2 * departure.MaxTracked {
		k.Merge(now, []departure.Departure{{Name: "x", Incarnation: ident.Incarnation(fmt.Sprint("x@", i)), RemainingMS: 1000}})
	}
	if n := len(k.List(now)); n != departure.MaxTracked || !k.Leaving(now, "x") {
		t.Fatalf("%d remembered", n)
	}
}

package evacuation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/evacuation"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// world is a shared log with entries that follow it and tell each other what they know.
type world struct {
	rng      *rand.Rand
	timeline sharedlog.Timeline
	records  []evacuation.Record
	entries  []*node
	// wanted holds the operators' last request for each domain.
	wanted map[string]bool
}

// node is an entry. The one that is cut off does not read the log.
type node struct {
	*evacuation.Tracker
	read   sharedlog.Position
	cutOff bool
}

func (w *world) end() sharedlog.Position {
	return sharedlog.Position{Timeline: w.timeline, Next: int64(len(w.records))}
}

// readSnapshot reads the newest record of each domain that has one with a value.
func (w *world) readSnapshot(n *node) {
	if n.read.Timeline != 0 && n.read.Timeline != w.timeline {
		n.Restored()
	}
	newest := make(map[string]evacuation.Record)
	for _, r := range w.records {
		newest[r.Domain] = r
	}
	n.BeginSnapshot(w.end())
	for _, r := range newest {
		if r.Evacuated {
			n.Apply(r)
		}
	}
	n.EndSnapshot()
	n.read = w.end()
}

// follow lets an entry read what is new, or, after a compaction or a restore, a snapshot.
func (w *world) follow(n *node, compacted bool) {
	if n.cutOff {
		return
	}
	if compacted || n.read.Timeline != w.timeline {
		w.readSnapshot(n)
		return
	}
	for _, r := range w.records[n.read.Next:] {
		n.Apply(r)
	}
	n.read = w.end()
}

func (w *world) gossip() {
	for _, i := range w.rng.Perm(len(w.entries)) {
		for j, to := range w.entries {
			if i != j {
				to.Merge(fmt.Sprint(i), w.entries[i].Reports(all))
			}
		}
	}
}

// request writes a record on behalf of an operator. At least one entry reads it as it is written.
func (w *world) request() {
	for _, n := range w.entries {
		w.follow(n, false)
	}
	domain := string(rune('a' + w.rng.IntN(3)))
	w.wanted[domain] = !w.wanted[domain]
	w.records = append(w.records, evacuation.Record{Domain: domain, Evacuated: w.wanted[domain], Offset: int64(len(w.records))})
	reader := w.entries[w.rng.IntN(len(w.entries))]
	reader.cutOff = false
	if reader.read.Timeline != w.timeline {
		w.records = w.records[:len(w.records)-1]
		w.readSnapshot(reader)
		w.records = append(w.records, evacuation.Record{Domain: domain, Evacuated: w.wanted[domain], Offset: int64(len(w.records))})
	}
	w.follow(reader, false)
	w.gossip()
}

func (w *world) step() {
	n := w.entries[w.rng.IntN(len(w.entries))]
	switch w.rng.IntN(8) {
	case 0, 1:
		w.request()
	case 2:
		n.cutOff = !n.cutOff
	case 3:
		w.follow(n, true) // compacted
	case 4:
		w.records = w.records[:len(w.records)-w.rng.IntN(min(len(w.records), 6)+1)]
		w.timeline++
	case 5: // one entry starts anew; the others tell it what the log may lack
		if !n.cutOff {
			n.Tracker, n.read = evacuation.New(), sharedlog.Position{}
			w.follow(n, false)
			w.gossip()
		}
	case 6:
		w.gossip()
	case 7:
		w.follow(n, false)
	}
}

// TestFleetFollowsOperators simulates fleets whose log is compacted and restored from earlier copies, whose
// entries restart and lose the log. It guards against an entry that differs from the operators' last request:
// a request must survive the loss of its record, and one that was taken back must not return with a copy.
func TestFleetFollowsOperators(t *testing.T) {
	for seed := range uint64(seedCount(2000)) {
		w := &world{rng: rand.New(rand.NewPCG(seed, 1)), timeline: 1, wanted: make(map[string]bool)}
		for range 2 + w.rng.IntN(4) {
			n := &node{Tracker: evacuation.New()}
			w.entries = append(w.entries, n)
			w.follow(n, false)
		}
		for range 40 {
			w.step()
		}
		for _, n := range w.entries {
			n.cutOff = false
			w.follow(n, false)
		}
		w.gossip()
		w.gossip()
		for i, n := range w.entries {
			for _, domain := range []string{"a", "b", "c"} {
				if n.Evacuated(domain) != w.wanted[domain] {
					t.Fatalf("seed %d, entry %d: domain %s evacuated is %v, the operators' last request is %v\n%+v", seed, i, domain, n.Evacuated(domain), w.wanted[domain], n.States())
				}
			}
		}
	}
}

// Package evacuation decides which failure domains are evacuated: their backend servers get no new
// requests. Operators write and remove one record for each domain in the shared log, and entries tell
// each other the state that these records give. The package has no I/O, clock or random source.
package evacuation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

const (
	// maxPast bounds the earlier records of a domain that are remembered. Only those that a restored copy
	// of the log can contain matter: the last few.
	maxPast = 8
	// maxDomains bounds the domains that other entries may add, and the domains in service that are
	// remembered. Domains whose record is in the log are always held.
	maxDomains = 256
)

// Record is a record of the shared log that evacuates a failure domain, or that ends its evacuation.
type Record struct {
	Domain    string
	Evacuated bool
	Offset    int64
}

// State is the state of one failure domain with the position that states it.
type State struct {
	Domain    string
	Evacuated bool
	// Position is the position after the record, or the end of the log in which a record was missing.
	Position sharedlog.Position
	// Inherited means that the record was read in a snapshot: if the log was restored from an earlier
	// copy, the record may be older than the timeline of Position.
	Inherited bool
	// Past holds the Next of the positions of the domain's earlier records, up to maxPast.
	Past []int64
	// LearnedFrom is the entry that told this one; empty if this entry read it in the log.
	LearnedFrom string
}

// Change is a change between in service and evacuated.
type Change struct{ State }

// domain is what is known about one failure domain.
type domain struct {
	State
	// presentIn is the newest timeline in which the log contained the record. Only the absence from a later
	// snapshot of that timeline ends the evacuation; lostTimeline means that no absence does.
	presentIn sharedlog.Timeline
	// restores is the number of restores of the log when the state was set.
	restores int
}

const lostTimeline sharedlog.Timeline = -1

// Tracker holds the states of all failure domains. It is not safe for concurrent use.
type Tracker struct {
	domains map[string]domain
	// read is the position up to which all records are known, and complete is false until the first
	// snapshot has been read.
	read     sharedlog.Position
	complete bool
	// snapshot holds the domains of the snapshot that is being read, nil outside of one, and end is the end
	// of the log at its beginning.
	snapshot map[string]bool
	end      sharedlog.Position
	// restores counts the restores of the log. restored is true until the snapshot after one has been
	// read, and unordered once a restore did not raise the timeline: positions up to unorderedTimeline cannot
	// be compared then.
	restores          int
	restored          bool
	unordered         bool
	unorderedTimeline sharedlog.Timeline
}

// New returns a tracker that knows no failure domain.
func New() *Tracker { return &Tracker{domains: make(map[string]domain)} }

// Evacuated reports whether a failure domain is evacuated.
func (t *Tracker) Evacuated(name string) bool { return t.domains[name].Evacuated }

// EvacuatedDomains returns the names of the evacuated domains, nil if there are none.
func (t *Tracker) EvacuatedDomains() map[string]bool {
	var names map[string]bool
	for name, d := range t.domains {
		if d.Evacuated {
			if names == nil {
				names = make(map[string]bool)
			}
			names[name] = true
		}
	}
	return names
}

// States returns the states of all domains that have had a record, by name.
func (t *Tracker) States() []State {
	states := make([]State, 0, len(t.domains))
	for _, name := range slices.Sorted(maps.Keys(t.domains)) {
		states = append(states, t.domains[name].State)
	}
	return states
}

// Restored records that the log was restored from an earlier copy. The snapshot that follows may lack
// records that have been applied, and may contain records that later ones replaced.
func (t *Tracker) Restored() {
	t.restores++
	t.restored = true
}

// BeginSnapshot starts a snapshot of the newest records of the log, whose end is given.
func (t *Tracker) BeginSnapshot(end sharedlog.Position) {
	t.snapshot, t.end = make(map[string]bool), end
	if t.restored && end.Timeline <= t.read.Timeline {
		t.unordered, t.unorderedTimeline = true, max(t.unorderedTimeline, end.Timeline)
	}
}

// EndSnapshot ends a snapshot. A domain without a record in it is in service again, unless its record
// was lost by a restore of the log.
func (t *Tracker) EndSnapshot() []Change {
	var changes []Change
	rewound := t.restored && t.end.Timeline <= t.read.Timeline
	for _, name := range slices.Sorted(maps.Keys(t.domains)) {
		d := t.domains[name]
		switch {
		case t.snapshot[name] || !d.Evacuated:
		case rewound:
			d.presentIn = lostTimeline
			t.domains[name] = d
		case d.presentIn == t.end.Timeline && (d.Position.Timeline != t.end.Timeline || d.Position.Next <= t.end.Next):
			changes = append(changes, t.set(State{Domain: name, Position: t.end, Past: d.Past}, t.end.Timeline)...)
		}
	}
	t.read, t.complete, t.snapshot, t.restored = t.end, true, nil, false
	return changes
}

// Apply applies a record of the log. It returns the change, if there is one.
func (t *Tracker) Apply(r Record) []Change {
	s := State{Domain: r.Domain, Evacuated: r.Evacuated, Position: sharedlog.Position{Timeline: t.read.Timeline, Next: r.Offset + 1}}
	if t.snapshot != nil {
		s.Position.Timeline, s.Inherited = t.end.Timeline, true
		t.snapshot[r.Domain] = true
	} else {
		t.read.Next = max(t.read.Next, s.Position.Next)
	}
	d, known := t.domains[r.Domain]
	// After a restore that did not raise the timeline, the order of reading is the only one.
	rewritten := known && t.unordered && !s.Inherited && d.restores < t.restores && s.Position.Timeline <= d.Position.Timeline
	if known && !rewritten && !newer(s, d.State) {
		t.confirm(d, s)
		return nil
	}
	return t.set(s, s.Position.Timeline)
}

// Merge adopts what another entry knows. It returns the changes.
func (t *Tracker) Merge(from string, reports []Report) []Change {
	var changes []Change
	for _, r := range reports[:min(len(reports), maxDomains)] {
		s, ok := r.state()
		if !ok || t.unordered && s.Position.Timeline <= t.unorderedTimeline {
			continue
		}
		s.LearnedFrom = from
		d, known := t.domains[s.Domain]
		switch {
		case known && !newer(s, d.State):
			t.confirm(d, s)
		case !known && len(t.domains) >= maxDomains:
		case s.Evacuated && !d.Evacuated && t.complete && s.Position.Timeline == t.read.Timeline && s.Position.Next <= t.read.Next:
			// This entry has read past the record, and the log does not contain it any more. Knowing the
			// end, it can tell the entry that does not.
			t.set(State{Domain: s.Domain, Position: t.read, Past: append(s.Past, s.Position.Next)}, t.read.Timeline)
		default:
			changes = append(changes, t.set(s, s.Position.Timeline)...)
		}
	}
	return changes
}

// set replaces the state of a domain, and returns the change if there is one.
func (t *Tracker) set(s State, presentIn sharedlog.Timeline) []Change {
	old, known := t.domains[s.Domain]
	if known {
		s.Past = mergePast(s.Position.Next, s.Past, old.Past, []int64{old.Position.Next})
	} else {
		s.Past = mergePast(s.Position.Next, s.Past)
	}
	t.domains[s.Domain] = domain{State: s, presentIn: presentIn, restores: t.restores}
	t.forget()
	if old.Evacuated == s.Evacuated {
		return nil
	}
	return []Change{{t.domains[s.Domain].State}}
}

// confirm records what an older or equal state adds to the knowledge about a domain.
func (t *Tracker) confirm(d domain, s State) {
	if s.Position.Next == d.Position.Next && s.Evacuated == d.Evacuated {
		d.presentIn = max(d.presentIn, s.Position.Timeline)
		if s.Position == d.Position {
			d.Inherited = d.Inherited && s.Inherited
		}
	}
	d.Past = mergePast(d.Position.Next, d.Past, s.Past, []int64{s.Position.Next})
	t.domains[d.Domain] = d
}

// forget drops domains in service beyond maxDomains, those with the earliest records first.
func (t *Tracker) forget() {
	for len(t.domains) > maxDomains {
		oldest := ""
		for name, d := range t.domains {
			if !d.Evacuated && (oldest == "" || t.domains[oldest].Position.After(d.Position)) {
				oldest = name
			}
		}
		if oldest == "" {
			return
		}
		delete(t.domains, oldest)
	}
}

// newer reports whether a replaces b. The later position wins. A record that a restored copy of the log
// contains is read in a higher timeline than the one in which it was written; it is recognised by its
// offset.
func newer(a, b State) bool {
	switch {
	case a.Position.Timeline > b.Position.Timeline:
		return !isCopy(a, b)
	case a.Position.Timeline < b.Position.Timeline:
		return isCopy(b, a) && !isSameRecord(b, a)
	}
	return a.Position.Next > b.Position.Next
}

// isCopy reports whether a state of a higher timeline is a copy of a record that the lower one knows.
func isCopy(higher, lower State) bool {
	return higher.Inherited && (isSameRecord(higher, lower) || slices.Contains(lower.Past, higher.Position.Next))
}

func isSameRecord(a, b State) bool {
	return a.Position.Next == b.Position.Next && a.Evacuated == b.Evacuated
}

// mergePast returns the last maxPast different positions of lists, without the current one.
func mergePast(current int64, lists ...[]int64) []int64 {
	var past []int64
	for _, list := range lists {
		for _, next := range list {
			if next != current && !slices.Contains(past, next) {
				past = append(past, next)
			}
		}
	}
	slices.SortFunc(past, func(a, b int64) int { return cmp.Compare(b, a) })
	return past[:min(len(past), maxPast)]
}

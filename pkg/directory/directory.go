// Package directory decides which entries callers are sent to. It has no clock
// and no I/O.
package directory

import (
	"slices"
	"time"
)

const (
	// silence is how long an entry may be silent before callers are not sent to
	// it any more: about ten messages of a small fleet. silenceEntry is added for
	// each entry: in larger fleets messages come less often.
	silence      = 1200 * time.Millisecond
	silenceEntry = 30 * time.Millisecond
	// MaxAddresses bounds an answer.
	MaxAddresses = 64
)

// Entry is what an entry says of itself.
type Entry struct {
	Name string
	// Address is where callers connect.
	Address     string
	Incarnation string
	Sequence    int64
	Ready       bool
	// LogReachable is true while the entry reaches the shared log.
	LogReachable bool
}

// Directory holds what is known of the entries. It is not safe for concurrent
// use.
type Directory struct {
	self    Entry
	entries map[string]*known
}

type known struct {
	Entry
	heard time.Time
}

// New returns a directory of one entry.
func New(self Entry) *Directory {
	return &Directory{self: self, entries: make(map[string]*known)}
}

// SetReady notes whether this entry takes callers.
func (d *Directory) SetReady(ready bool) { d.self.Ready = ready }

// Ready reports whether this entry takes callers.
func (d *Directory) Ready() bool { return d.self.Ready }

// Update takes what an entry says. Older messages of the same incarnation are
// dropped.
func (d *Directory) Update(now time.Time, e Entry) bool {
	old := d.entries[e.Name]
	if old != nil && old.Incarnation == e.Incarnation && old.Sequence >= e.Sequence {
		return false
	}
	d.entries[e.Name] = &known{e, now}
	return old == nil
}

func (d *Directory) silence() time.Duration {
	return silence + silenceEntry*time.Duration(len(d.entries))
}

// Live reports whether an entry was heard of just now.
func (d *Directory) Live(now time.Time, name string) bool {
	e := d.entries[name]
	return e != nil && now.Sub(e.heard) <= d.silence()
}

// Addresses returns the addresses of the entries that take callers. An entry
// that hears no other one is cut off itself: it names those that it knew.
func (d *Directory) Addresses(now time.Time) []string {
	var live, silent []string
	for _, e := range d.entries {
		switch {
		case !e.Ready:
		case now.Sub(e.heard) <= d.silence():
			live = append(live, e.Address)
		default:
			silent = append(silent, e.Address)
		}
	}
	if len(live) == 0 && len(d.entries) > 1 {
		live = silent
	}
	if d.self.Ready {
		live = append(live, d.self.Address)
	}
	slices.Sort(live)
	return live[:min(len(live), MaxAddresses)]
}

// IsLogReader reports whether this entry is one of the first n, by name, of those
// that reach the shared log. One that hears of no such entry leads by itself.
func (d *Directory) IsLogReader(now time.Time, n int) bool {
	before := 0
	for name, e := range d.entries {
		if e.LogReachable && name < d.self.Name && now.Sub(e.heard) <= d.silence() {
			before++
		}
	}
	return before < n
}

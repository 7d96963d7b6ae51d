// Package directory decides which entries callers are directed to. It has no clock and performs
// no I/O.
package directory

import (
	"slices"
	"time"
)

const (
	// maxSilence is how long an entry may send no message before callers are no longer directed to
	// it: about ten messages of a small fleet. maxSilencePerEntry is added for each entry,
	// because larger fleets send messages less often.
	maxSilence         = 1200 * time.Millisecond
	maxSilencePerEntry = 30 * time.Millisecond
	// MaxReaderSilence is how long a log reader, which sends messages more often, may send none before another
	// entry replaces it.
	MaxReaderSilence = 900 * time.Millisecond
	// failureMemory is how long a silent log reader counts as failed. replacementsPerFailure more entries read
	// for each failed reader, up to maxCountedFailures: those that are next in the order may have failed for the
	// same reason, and noticing that takes most of the time in which a change must reach all entries.
	failureMemory          = 10 * time.Second
	replacementsPerFailure = 4
	maxCountedFailures     = 2
	// MaxAddresses bounds the number of addresses that Addresses returns.
	MaxAddresses = 64
)

// Entry is the state that an entry reports about itself.
type Entry struct {
	Name string
	// Address is the host:port that callers connect to.
	Address     string
	Incarnation string
	Sequence    int64
	Ready       bool
	// FailureDomain is the failure domain of the entry's host.
	FailureDomain string
	// LogReachable is true while the entry can read the shared log, and ReadsLog while it does so on behalf of
	// all entries.
	LogReachable, ReadsLog bool
}

// lostLog reports whether an entry that reached the shared log does not any more.
func (e Entry) lostLog(old Entry) bool { return old.LogReachable && !e.LogReachable }

// Directory holds the last reported state of the other entries. It is not safe for concurrent
// use.
type Directory struct {
	self    Entry
	entries map[string]*knownEntry
	// preceding holds the names of the entries that precede this one in the order of log readers; nil if it
	// has to be determined again.
	preceding []string
}

type knownEntry struct {
	Entry
	lastMessageAt time.Time
}

// New returns a directory that knows only this entry.
func New(self Entry) *Directory {
	return &Directory{self: self, entries: make(map[string]*knownEntry)}
}

// SetReady sets whether this entry accepts callers.
func (d *Directory) SetReady(ready bool) { d.self.Ready = ready }

// Ready reports whether this entry accepts callers.
func (d *Directory) Ready() bool { return d.self.Ready }

// Change is what a message of an entry changes.
type Change struct {
	// Started is true if the entry is new or has restarted, and LostLog if it does not reach the shared log any
	// more.
	Started, LostLog bool
}

// Update stores the reported state of an entry. A message that is not newer than the last one of the same
// incarnation is ignored.
func (d *Directory) Update(now time.Time, e Entry) Change {
	old := d.entries[e.Name]
	if old != nil && old.Incarnation == e.Incarnation && old.Sequence >= e.Sequence {
		return Change{}
	}
	if old == nil || old.FailureDomain != e.FailureDomain {
		d.preceding = nil
	}
	d.entries[e.Name] = &knownEntry{e, now}
	return Change{Started: old == nil || old.Incarnation != e.Incarnation, LostLog: old != nil && e.lostLog(old.Entry)}
}

// silenceLimit returns how long an entry may send no message before it counts as silent.
func (d *Directory) silenceLimit() time.Duration {
	return maxSilence + maxSilencePerEntry*time.Duration(len(d.entries))
}

// Live reports whether a message of the entry arrived within the silence limit.
func (d *Directory) Live(now time.Time, name string) bool {
	e := d.entries[name]
	return e != nil && now.Sub(e.lastMessageAt) <= d.silenceLimit()
}

// Addresses returns the addresses of the live entries that accept callers. If more than one
// other entry is known and none that accepts callers is live, this entry assumes that it is
// partitioned itself and returns the addresses of those that last reported to be ready.
func (d *Directory) Addresses(now time.Time) []string {
	var live, silent []string
	for _, e := range d.entries {
		switch {
		case !e.Ready:
		case now.Sub(e.lastMessageAt) <= d.silenceLimit():
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

// ReadyEntries returns the names of the entries that accept callers and are live, and the number of entries
// that have sent a message within the given time, this one included.
func (d *Directory) ReadyEntries(now time.Time, within time.Duration) (ready []string, known int) {
	known = 1
	if d.self.Ready {
		ready = append(ready, d.self.Name)
	}
	for name, e := range d.entries {
		if now.Sub(e.lastMessageAt) > within {
			continue
		}
		known++
		if e.Ready && now.Sub(e.lastMessageAt) <= d.silenceLimit() {
			ready = append(ready, name)
		}
	}
	return ready, known
}

package directory

import (
	"cmp"
	"slices"
	"time"
)

// IsLogReader reports whether this entry is one of those that read the shared log on behalf of all: the first n of
// the live entries that reach it, in an order in which successive entries are in different failure domains. For each
// reader that has failed more entries read, up to a bound. An entry that knows of no other such entry is always a
// reader.
func (d *Directory) IsLogReader(now time.Time, n int) bool {
	preceding, failed := d.precedingReaders(now)
	return preceding < n+replacementsPerFailure*min(failed, maxCountedFailures)
}

// IsLogMonitor reports whether this entry is the first log reader, which notices on behalf of all that the shared log
// does not answer.
func (d *Directory) IsLogMonitor(now time.Time) bool {
	preceding, _ := d.precedingReaders(now)
	return preceding == 0
}

// precedingReaders returns how many entries precede this one in the order of log readers and can read the log, and
// how many of them have read it and failed.
func (d *Directory) precedingReaders(now time.Time) (preceding, failed int) {
	for _, name := range d.precedingEntries() {
		e := d.entries[name]
		silence := now.Sub(e.lastMessageAt)
		switch {
		case e.ReadsLog && (!e.LogReachable || silence > MaxReaderSilence):
			if silence <= failureMemory {
				failed++
			}
		case e.LogReachable && silence <= d.silenceLimit():
			preceding++
		}
	}
	return preceding, failed
}

// precedingEntries returns the names of the entries that precede this one in the order of log readers: the first of
// each failure domain by name, ordered by domain, then the second of each, and so on.
func (d *Directory) precedingEntries() []string {
	if d.preceding != nil {
		return d.preceding
	}
	type place struct {
		entry Entry
		// rank is the entry's rank by name in its failure domain.
		rank int
	}
	places := []place{{entry: d.self}}
	for _, e := range d.entries {
		places = append(places, place{entry: e.Entry})
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(a.entry.Name, b.entry.Name) })
	ranks := make(map[string]int)
	for i, p := range places {
		places[i].rank = ranks[p.entry.FailureDomain]
		ranks[p.entry.FailureDomain]++
	}
	slices.SortStableFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.entry.FailureDomain, b.entry.FailureDomain))
	})
	d.preceding = make([]string, 0, len(places))
	for _, p := range places {
		if p.entry.Name == d.self.Name {
			break
		}
		d.preceding = append(d.preceding, p.entry.Name)
	}
	return d.preceding
}

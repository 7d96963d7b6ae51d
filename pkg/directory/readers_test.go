package directory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/directory"
)

const readers = 2

// fleetOf returns the state of a number of entries in three failure domains, the first of which are all in domain a
// by name.
func fleetOf(entries int) []directory.Entry {
	var all []directory.Entry
	for n := range entries {
		domain := string(rune('a' + n*3/entries))
		all = append(all, directory.Entry{Name: fmt.Sprintf("%s-%03d", domain, n), FailureDomain: domain, Incarnation: "i", Sequence: 1, LogReachable: true})
	}
	return all
}

// logReaders returns the entries that read the log by their own view, given when the last message of each came.
func logReaders(all []directory.Entry, now time.Time, lastMessage func(directory.Entry) time.Time) []directory.Entry {
	var reading []directory.Entry
	for _, self := range all {
		d := directory.New(self)
		for _, other := range all {
			if other.Name != self.Name {
				d.Update(lastMessage(other), other)
			}
		}
		if d.IsLogReader(now, readers) {
			reading = append(reading, self)
		}
	}
	return reading
}

// TestLogReadersAreInDifferentFailureDomains guards against log readers that are all cut off by the loss of one
// failure domain.
func TestLogReadersAreInDifferentFailureDomains(t *testing.T) {
	for _, entries := range []int{3, 9, 37, 149} {
		reading := logReaders(fleetOf(entries), start, func(directory.Entry) time.Time { return start })
		if len(reading) != readers || reading[0].FailureDomain == reading[1].FailureDomain {
			t.Errorf("%d entries: the log readers are %v, want %d in different failure domains", entries, reading, readers)
		}
	}
}

// TestFailedLogReaderIsReplaced guards against entries that learn of changes late because the log reader that has
// failed is replaced too late, or by one that may have failed for the same reason: it does not reach the log, is
// silent, or is about to end. A single one must read where no other is known to.
func TestFailedLogReaderIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		fail    func(e *directory.Entry)
		silence time.Duration
		// replacements is the number of entries that read in place of the one that failed.
		replacements int
	}{
		"cut off":        {func(e *directory.Entry) { e.LogReachable = false }, 0, 5},
		"silent":         {func(*directory.Entry) {}, directory.MaxReaderSilence + 1, 5},
		"silent for 20s": {func(*directory.Entry) {}, 20 * time.Second, 1},
		"drains":         {func(e *directory.Entry) { e.LogReachable, e.ReadsLog = false, false }, 0, 1},
	} {
		for _, entries := range []int{9, 149} {
			all := fleetOf(entries)
			all[0].ReadsLog = true
			c.fail(&all[0])
			reading := logReaders(all, start, func(e directory.Entry) time.Time {
				if e.Name == all[0].Name {
					return start.Add(-c.silence)
				}
				return start
			})
			reading = slices.DeleteFunc(reading, func(e directory.Entry) bool { return e.Name == all[0].Name })
			domains := make(map[string]bool)
			for _, e := range reading {
				domains[e.FailureDomain] = true
			}
			if len(reading) != readers-1+c.replacements || len(domains) < 2 {
				t.Errorf("%s, %d entries: %d others read the log in %d failure domains, want %d in 2 or more", name, entries, len(reading), len(domains), readers-1+c.replacements)
			}
		}
	}
}

// TestOneLogMonitor guards against a fleet without an entry that notices soon that the log does not answer, and
// against many of them, each of which costs calls.
func TestOneLogMonitor(t *testing.T) {
	all := fleetOf(9)
	for range all {
		var monitors []int
		for n, self := range all {
			d := directory.New(self)
			for _, other := range all {
				if other.Name != self.Name {
					d.Update(start, other)
				}
			}
			if d.IsLogMonitor(start) && self.LogReachable {
				monitors = append(monitors, n)
			}
		}
		if len(monitors) != 1 {
			t.Fatalf("the log monitors are %v, want one", monitors)
		}
		all[monitors[0]].LogReachable, all[monitors[0]].ReadsLog = false, true // the next one follows
	}
}

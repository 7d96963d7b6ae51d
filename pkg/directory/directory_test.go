package directory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/directory"
)

var start = time.Unix(1_700_000_000, 0)

func entry(name string, sequence int64, ready bool) directory.Entry {
	return directory.Entry{Name: name, Address: name + ":1", Incarnation: "i", Sequence: sequence, Ready: ready, LogReachable: true}
}

// TestAddresses: callers must not be directed to entries that are not ready or are silent, except
// that a partitioned entry lists the silent ones. Older messages must not overwrite newer ones.
func TestAddresses(t *testing.T) {
	d := directory.New(directory.Entry{Name: "m", Address: "m:1"})
	d.SetReady(true)
	for _, name := range []string{"a", "b", "z"} {
		d.Update(start, entry(name, 5, true))
	}
	d.Update(start, entry("b", 4, false)) // an older message is ignored
	if got := fmt.Sprint(d.Addresses(start)); got != "[a:1 b:1 m:1 z:1]" {
		t.Error(got)
	}
	d.Update(start, entry("b", 6, false))
	if got := fmt.Sprint(d.Addresses(start)); got != "[a:1 m:1 z:1]" {
		t.Error("an entry that is not ready is listed:", got)
	}
	later := start.Add(2 * time.Second)
	d.Update(later, entry("a", 6, true))
	if got := fmt.Sprint(d.Addresses(later)); got != "[a:1 m:1]" {
		t.Error("a silent entry is listed:", got)
	}
	if got := fmt.Sprint(d.Addresses(later.Add(5 * time.Second))); got != "[a:1 m:1 z:1]" {
		t.Error("a partitioned entry must list the entries that it knew:", got)
	}
	d.SetReady(false)
	if got := fmt.Sprint(d.Addresses(later)); got != "[a:1]" {
		t.Error(got)
	}
}

// TestFirstTwoReachableEntriesReadLog: the shared log is read by the first two entries, by name, of
// those that reach it, and by an entry that knows of no other one, so that it never lacks a reader.
func TestFirstTwoReachableEntriesReadLog(t *testing.T) {
	d := directory.New(directory.Entry{Name: "m"})
	if !d.IsLogReader(start, 2) {
		t.Error("a single entry must read the log")
	}
	d.Update(start, entry("a", 1, true))
	d.Update(start, entry("z", 1, true))
	if !d.IsLogReader(start, 2) {
		t.Error("the second of three entries must read the log")
	}
	d.Update(start, entry("b", 1, true))
	if d.IsLogReader(start, 2) {
		t.Error("the third entry must not read the log")
	}
	unreachable := entry("a", 2, true)
	unreachable.LogReachable = false
	d.Update(start, unreachable)
	if !d.IsLogReader(start, 2) {
		t.Error("the third entry must read the log when one of the first two does not reach it")
	}
}

// TestUpdateReportsStarts guards against an entry that restarts under its name and is not told what the others
// know.
func TestUpdateReportsStarts(t *testing.T) {
	d := directory.New(directory.Entry{Name: "m", Address: "m:1"})
	restarted := entry("a", 1, true)
	restarted.Incarnation = "j"
	for n, c := range []struct {
		entry directory.Entry
		want  bool
	}{{entry("a", 5, true), true}, {entry("a", 6, true), false}, {restarted, true}, {restarted, false}} {
		if got := d.Update(start, c.entry).Started; got != c.want {
			t.Errorf("update %d: reported %v, want %v", n, got, c.want)
		}
	}
}

// TestReadyEntries checks which entries can take a task for the others, and how many may share a figure that
// is stated for all.
func TestReadyEntries(t *testing.T) {
	d := directory.New(directory.Entry{Name: "m", Address: "m:1"})
	d.SetReady(true)
	d.Update(start, entry("ready", 1, true))
	d.Update(start, entry("draining", 1, false))
	d.Update(start.Add(-10*time.Second), entry("silent", 1, true))
	d.Update(start.Add(-2*time.Minute), entry("gone", 1, true))
	ready, known := d.ReadyEntries(start, time.Minute)
	slices.Sort(ready)
	if fmt.Sprint(ready) != "[m ready]" || known != 4 {
		t.Errorf("ready are %v of %d, want m and ready of 4", ready, known)
	}
}

package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/directory"
)

var start = time.Unix(1_700_000_000, 0)

func entry(name string, sequence int64, ready bool) directory.Entry {
	return directory.Entry{Name: name, Address: name + ":1", Incarnation: "i", Sequence: sequence, Ready: ready, LogReachable: true}
}

func TestAddresses(t *testing.T) {
	d := directory.New(directory.Entry{Name: "m", Address: "m:1"})
	d.SetReady(true)
	for _, name := range []string{"a", "b", "z"} {
		d.Update(start, entry(name, 5, true))
	}
	d.Update(start, entry("b", 4, false)) // an older message changes nothing
	if got := fmt.Sprint(d.Addresses(start)); got != "[a:1 b:1 m:1 z:1]" {
		t.Error(got)
	}
	d.Update(start, entry("b", 6, false))
	if got := fmt.Sprint(d.Addresses(start)); got != "[a:1 m:1 z:1]" {
		t.Error("a leaving entry is named:", got)
	}
	later := start.Add(2 * time.Second)
	d.Update(later, entry("a", 6, true))
	if got := fmt.Sprint(d.Addresses(later)); got != "[a:1 m:1]" {
		t.Error("a silent entry is named:", got)
	}
	if got := fmt.Sprint(d.Addresses(later.Add(5 * time.Second))); got != "[a:1 m:1 z:1]" {
		t.Error("an entry that is cut off itself must name those that it knew:", got)
	}
	d.SetReady(false)
	if got := fmt.Sprint(d.Addresses(later)); got != "[a:1]" {
		t.Error(got)
	}
}

// TestTwoEntriesLead: those that reach the log, by name; one that hears of none
// leads by itself.
func TestTwoEntriesLead(t *testing.T) {
	d := directory.New(directory.Entry{Name: "m"})
	if !d.IsLogReader(start, 2) {
		t.Error("an entry by itself must lead")
	}
	d.Update(start, entry("a", 1, true))
	d.Update(start, entry("z", 1, true))
	if !d.IsLogReader(start, 2) {
		t.Error("the second of three must lead")
	}
	d.Update(start, entry("b", 1, true))
	if d.IsLogReader(start, 2) {
		t.Error("the third must not lead")
	}
	cut := entry("a", 2, true)
	cut.LogReachable = false
	d.Update(start, cut)
	if !d.IsLogReader(start, 2) {
		t.Error("one of the first two does not reach the log")
	}
}

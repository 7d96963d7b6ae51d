package confighistory_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/confighistory"
)

func TestNeverBack(t *testing.T) {
	read := func(entry string, start, end, offset int64) confighistory.Observation {
		return confighistory.Observation{Entry: entry, Start: start, End: end, Offset: offset}
	}
	for _, c := range []struct {
		name     string
		readings []confighistory.Observation
		want     bool
	}{
		{"forward", []confighistory.Observation{read("a", 0, 1, 1), read("a", 2, 3, 1), read("a", 4, 5, 4)}, true},
		{"back", []confighistory.Observation{read("a", 0, 1, 2), read("a", 2, 3, 1)}, false},
		{"back, but at the same time", []confighistory.Observation{read("a", 0, 5, 2), read("a", 2, 3, 1)}, true},
		{"two entries", []confighistory.Observation{read("a", 0, 1, 2), read("b", 2, 3, 1)}, true},
	} {
		if got := confighistory.OffsetsNeverFall(c.readings); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestSame(t *testing.T) {
	a := confighistory.Observation{Entry: "a", Offset: 3, Digest: "x"}
	b := confighistory.Observation{Entry: "b", Offset: 3, Digest: "x"}
	if !confighistory.DigestsAgree([]confighistory.Observation{a, b}) {
		t.Error("equal digests differ")
	}
	b.Digest = "y"
	if confighistory.DigestsAgree([]confighistory.Observation{a, b}) {
		t.Error("other records at one offset are not seen")
	}
}

package confighistory_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/confighistory"
)

func TestNeverBack(t *testing.T) {
	read := func(entry string, start, end, offset int64) confighistory.Reading {
		return confighistory.Reading{Entry: entry, Start: start, End: end, Offset: offset}
	}
	for _, c := range []struct {
		name     string
		readings []confighistory.Reading
		want     bool
	}{
		{"forward", []confighistory.Reading{read("a", 0, 1, 1), read("a", 2, 3, 1), read("a", 4, 5, 4)}, true},
		{"back", []confighistory.Reading{read("a", 0, 1, 2), read("a", 2, 3, 1)}, false},
		{"back, but at the same time", []confighistory.Reading{read("a", 0, 5, 2), read("a", 2, 3, 1)}, true},
		{"two entries", []confighistory.Reading{read("a", 0, 1, 2), read("b", 2, 3, 1)}, true},
	} {
		if got := confighistory.NeverBack(c.readings); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestSame(t *testing.T) {
	a := confighistory.Reading{Entry: "a", Offset: 3, Digest: "x"}
	b := confighistory.Reading{Entry: "b", Offset: 3, Digest: "x"}
	if !confighistory.Same([]confighistory.Reading{a, b}) {
		t.Error("equal digests differ")
	}
	b.Digest = "y"
	if confighistory.Same([]confighistory.Reading{a, b}) {
		t.Error("other records at one offset are not seen")
	}
}

package confighistory_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/confighistory"
)

func TestOffsetsNeverFall(t *testing.T) {
	observe := func(entry string, start, end, offset int64) confighistory.Observation {
		return confighistory.Observation{Entry: entry, Start: start, End: end, Offset: offset}
	}
	for _, c := range []struct {
		name         string
		observations []confighistory.Observation
		want         bool
	}{
		{"increasing", []confighistory.Observation{observe("a", 0, 1, 1), observe("a", 2, 3, 1), observe("a", 4, 5, 4)}, true},
		{"decreasing", []confighistory.Observation{observe("a", 0, 1, 2), observe("a", 2, 3, 1)}, false},
		{"decreasing but concurrent", []confighistory.Observation{observe("a", 0, 5, 2), observe("a", 2, 3, 1)}, true},
		{"two entries", []confighistory.Observation{observe("a", 0, 1, 2), observe("b", 2, 3, 1)}, true},
	} {
		if got := confighistory.OffsetsNeverFall(c.observations); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestDigestsAgree(t *testing.T) {
	a := confighistory.Observation{Entry: "a", Offset: 3, Digest: "x"}
	b := confighistory.Observation{Entry: "b", Offset: 3, Digest: "x"}
	if !confighistory.DigestsAgree([]confighistory.Observation{a, b}) {
		t.Error("equal digests are reported as different")
	}
	b.Digest = "y"
	if confighistory.DigestsAgree([]confighistory.Observation{a, b}) {
		t.Error("different digests at one offset are not detected")
	}
}

package entrylink

import (
	"fmt"
	"testing"
)

// TestNewsCrossesTheRingInFewHops follows news along the links, in either
// direction, at sizes up to the target's.
func TestNewsCrossesTheRingInFewHops(t *testing.T) {
	for _, c := range []struct{ entries, links, hops int }{{1, 0, 0}, {2, 1, 1}, {9, 8, 1}, {16, 15, 1}, {100, 7, 7}, {410, 9, 9}} {
		names := make([]string, c.entries)
		for i := range names {
			names[i] = fmt.Sprintf("entry-%d", i)
		}
		links := make(map[string][]string)
		for _, n := range names {
			chosen := SelectPeers(n, names)
			if len(chosen) != c.links {
				t.Fatalf("%d entries: %d links", c.entries, len(chosen))
			}
			for _, o := range chosen {
				links[n] = append(links[n], o)
				links[o] = append(links[o], n)
			}
		}
		reached, edge, hops := map[string]bool{names[0]: true}, []string{names[0]}, 0
		for len(reached) < c.entries && hops < c.hops {
			hops++
			var next []string
			for _, n := range edge {
				for _, o := range links[n] {
					if !reached[o] {
						reached[o] = true
						next = append(next, o)
					}
				}
			}
			edge = next
		}
		if len(reached) != c.entries {
			t.Errorf("%d of %d entries after %d hops", len(reached), c.entries, hops)
		}
	}
}

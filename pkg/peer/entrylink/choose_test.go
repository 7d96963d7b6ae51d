package entrylink

import (
	"fmt"
	"testing"
)

// TestAnnouncementsReachEveryEntryWithinHopLimit guards against a selection of links that leaves
// entries unreachable or too many hops away. It forwards an announcement along the links in both
// directions, with up to 410 entries, the size of the target deployment.
func TestAnnouncementsReachEveryEntryWithinHopLimit(t *testing.T) {
	for _, c := range []struct{ entries, links, hops int }{{1, 0, 0}, {2, 1, 1}, {9, 8, 1}, {16, 15, 1}, {100, 7, 7}, {410, 9, 9}} {
		names := make([]string, c.entries)
		for i := range names {
			names[i] = fmt.Sprintf("entry-%d", i)
		}
		links := make(map[string][]string)
		for _, n := range names {
			selected := SelectPeers(n, names)
			if len(selected) != c.links {
				t.Fatalf("%d entries: got %d links", c.entries, len(selected))
			}
			for _, o := range selected {
				links[n] = append(links[n], o)
				links[o] = append(links[o], n)
			}
		}
		reached, frontier, hops := map[string]bool{names[0]: true}, []string{names[0]}, 0
		for len(reached) < c.entries && hops < c.hops {
			hops++
			var next []string
			for _, n := range frontier {
				for _, o := range links[n] {
					if !reached[o] {
						reached[o] = true
						next = append(next, o)
					}
				}
			}
			frontier = next
		}
		if len(reached) != c.entries {
			t.Errorf("announcement reached %d of %d entries after %d hops", len(reached), c.entries, hops)
		}
	}
}

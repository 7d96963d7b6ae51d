package entrylink

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fullMesh is the number of entries up to which each links to every other.
const fullMesh = 16

// SelectPeers returns the entries that self links to. Up to fullMesh entries that
// is all of them; beyond, those at the distances 1, 2, 4 and so on around a
// ring, so that news crosses n entries in log2(n) hops.
func SelectPeers(self string, entries []string) []string {
	ring := slices.Clone(entries)
	if !slices.Contains(ring, self) {
		ring = append(ring, self)
	}
	slices.SortFunc(ring, compareHash)
	ring = slices.Compact(ring)
	at := slices.Index(ring, self)
	var out []string
	for d := 1; d < len(ring); d = nextDistance(d, len(ring)) {
		out = append(out, ring[(at+d)%len(ring)])
	}
	return out
}

func nextDistance(d, n int) int {
	if n <= fullMesh {
		return d + 1
	}
	return 2 * d
}

func compareHash(a, b string) int {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

package entrylink

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxFullMesh is the largest number of entries at which each entry links to every other.
const maxFullMesh = 16

// SelectPeers returns the entries that self links to. With at most maxFullMesh entries, these are
// all the others. With more, they are the entries at the distances 1, 2, 4, 8 and so on along a
// ring sorted by hash, so that an announcement reaches all n entries within log2(n) hops, rounded
// up.
func SelectPeers(self string, entries []string) []string {
	ring := slices.Clone(entries)
	if !slices.Contains(ring, self) {
		ring = append(ring, self)
	}
	slices.SortFunc(ring, compareHash)
	ring = slices.Compact(ring)
	selfIndex := slices.Index(ring, self)
	var out []string
	for d := 1; d < len(ring); d = nextDistance(d, len(ring)) {
		out = append(out, ring[(selfIndex+d)%len(ring)])
	}
	return out
}

func nextDistance(d, n int) int {
	if n <= maxFullMesh {
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

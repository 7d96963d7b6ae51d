package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAddresses and maxAddresses bound the entries named to one caller.
	minAddresses = 3
	maxAddresses = 16
	// spreadPerShare is how many times its share of the entries a large
	// organisation is spread over.
	spreadPerShare = 2
)

// Caller is what address answers know of who asks.
type Caller struct {
	Organisation string
	// Share is the organisation's part of all shares, from 0 to 1.
	Share float64
	// Key tells callers of one organisation apart.
	Key string
	// FailureDomain that the caller is near to.
	FailureDomain string
}

// Addresses returns the entries that a caller should use, in order of
// preference. Every entry finds the same for the same caller. Half of them are
// near and come first; a large organisation is spread over more entries; and
// callers of one organisation begin at different ones. An entry that joins or
// leaves changes only the answers that name it.
func Addresses(c Caller, entries []Node) []Node {
	wanted := addressCount(c.Share, len(entries))
	byOrganisation := ranked(c.Organisation, entries)
	out := make([]Node, 0, wanted)
	for _, e := range byOrganisation {
		if e.FailureDomain == c.FailureDomain && len(out) < (wanted+1)/2 {
			out = append(out, e)
		}
	}
	for _, e := range byOrganisation {
		if len(out) < wanted && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return nearFirst(c, out)
}

func addressCount(share float64, entries int) int {
	spread := int(math.Ceil(share * float64(entries) * spreadPerShare))
	return min(entries, max(minAddresses, min(spread, maxAddresses)))
}

// nearFirst orders the entries by failure domain and then for the caller.
func nearFirst(c Caller, entries []Node) []Node {
	out := ranked(c.Organisation+"\x00"+c.Key, entries)
	slices.SortStableFunc(out, func(a, b Node) int {
		return cmp.Compare(far(c, a), far(c, b))
	})
	return out
}

func far(c Caller, e Node) int {
	if e.FailureDomain == c.FailureDomain {
		return 0
	}
	return 1
}

// ranked returns the nodes by falling rendezvous hash of the key.
func ranked(key string, nodes []Node) []Node {
	type scored struct {
		node Node
		hash uint64
	}
	k := xxhash.Sum64String(key)
	all := make([]scored, len(nodes))
	for i, n := range nodes {
		all[i] = scored{n, mix(k ^ xxhash.Sum64String(n.Name))}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.hash, a.hash) })
	out := make([]Node, len(all))
	for i, s := range all {
		out[i] = s.node
	}
	return out
}

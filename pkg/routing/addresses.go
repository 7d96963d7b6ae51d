package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAddresses and maxAddresses bound the number of entries returned to one caller.
	minAddresses = 3
	maxAddresses = 16
	// spreadPerShare is the multiple of its share of the entries that a large organisation is
	// spread over.
	spreadPerShare = 2
)

// Caller identifies the caller that asks for addresses.
type Caller struct {
	Organisation string
	// Share is the organisation's fraction of the sum of all shares, from 0 to 1.
	Share float64
	// Key distinguishes the callers of one organisation.
	Key string
	// FailureDomain is the failure domain nearest to the caller.
	FailureDomain string
}

// Addresses returns the entries that a caller should use, in order of preference. Every entry
// computes the same result for the same caller. At least half of the entries are in the caller's
// failure domain if it has that many, and they come first. A large organisation is spread over more
// entries, and its callers start at different ones. An entry that joins or leaves changes only the
// results that contain it.
func Addresses(c Caller, entries []Node) []Node {
	wanted := addressCount(c.Share, len(entries))
	byOrganisation := byHash(c.Organisation, entries)
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
	return sortNearFirst(c, out)
}

func addressCount(share float64, entries int) int {
	spread := int(math.Ceil(share * float64(entries) * spreadPerShare))
	return min(entries, max(minAddresses, min(spread, maxAddresses)))
}

// sortNearFirst orders the entries by failure domain, the caller's first, and then by the
// rendezvous hash of the caller's key.
func sortNearFirst(c Caller, entries []Node) []Node {
	out := byHash(c.Organisation+"\x00"+c.Key, entries)
	slices.SortStableFunc(out, func(a, b Node) int {
		return cmp.Compare(domainOrder(c, a), domainOrder(c, b))
	})
	return out
}

func domainOrder(c Caller, e Node) int {
	if e.FailureDomain == c.FailureDomain {
		return 0
	}
	return 1
}

// byHash returns the nodes in descending order of their rendezvous hash with the key.
func byHash(key string, nodes []Node) []Node {
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

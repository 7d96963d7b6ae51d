package routing

import "github.com/cespare/xxhash/v2"

// Affinity scores the time to process a prompt whose prefix the replica is not expected to have
// cached. Entries determine the owners of a prefix by rendezvous hashing, so all agree without
// exchanging cache events.
type Affinity struct {
	// MissSteps is the number of steps that processing the prefix takes.
	MissSteps float64
}

// Cost implements Scorer.
func (s Affinity) Cost(v *View, r *Replica) float64 {
	switch {
	case v.affinityKey() == 0 || r == v.prefixOwners[0]:
		return 0
	case r == v.prefixOwners[1]:
		return s.MissSteps * v.MedianStepMS / 2
	}
	return s.MissSteps * v.MedianStepMS
}

// affinityKey returns the hash of what requests must have in common to benefit from the same
// replica: the prefix and the adapter. It is 0 if there is neither.
func (v *View) affinityKey() uint64 {
	key := v.Request.PrefixHash
	if v.Request.Adapter != "" {
		key = mix(key ^ xxhash.Sum64String(v.Request.Adapter))
	}
	return key
}

// findPrefixOwners sets prefixOwners to the two candidates with the highest rendezvous hashes.
func (v *View) findPrefixOwners(candidates []*Replica) {
	key := v.affinityKey()
	if key == 0 {
		return
	}
	var first, second uint64
	for _, r := range candidates {
		h := mix(key ^ xxhash.Sum64String(r.Name))
		switch {
		case v.prefixOwners[0] == nil || h > first:
			v.prefixOwners[1], second = v.prefixOwners[0], first
			v.prefixOwners[0], first = r, h
		case v.prefixOwners[1] == nil || h > second:
			v.prefixOwners[1], second = r, h
		}
	}
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

package routing

import "github.com/cespare/xxhash/v2"

// Affinity is the time to process a prompt whose prefix the replica is not
// expected to hold. Every entry finds the same owners of a prefix by
// rendezvous hashing, so it needs no cache event to know them.
type Affinity struct {
	// MissSteps is the number of steps that processing the prefix takes.
	MissSteps float64
}

// Cost implements Scorer.
func (s Affinity) Cost(v *View, r *Replica) float64 {
	switch {
	case v.affinityKey() == 0 || r == v.owners[0]:
		return 0
	case r == v.owners[1]:
		return s.MissSteps * v.MedianStepMS / 2
	}
	return s.MissSteps * v.MedianStepMS
}

// affinityKey returns what requests must share to profit from the same
// replica: the prefix and the adapter, 0 if there is neither.
func (v *View) affinityKey() uint64 {
	key := v.Request.PrefixHash
	if v.Request.Adapter != "" {
		key = mix(key ^ xxhash.Sum64String(v.Request.Adapter))
	}
	return key
}

// findOwners sets the two candidates with the highest rendezvous hashes.
func (v *View) findOwners(candidates []*Replica) {
	key := v.affinityKey()
	if key == 0 {
		return
	}
	var first, second uint64
	for _, r := range candidates {
		h := mix(key ^ xxhash.Sum64String(r.Name))
		switch {
		case v.owners[0] == nil || h > first:
			v.owners[1], second = v.owners[0], first
			v.owners[0], first = r, h
		case v.owners[1] == nil || h > second:
			v.owners[1], second = r, h
		}
	}
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

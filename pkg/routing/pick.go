package routing

// Sampled picks the cheapest of a few random candidates and the owners of the request's prefix.
// Without the random sample, all entries with the same old load reports would choose the same
// replica.
type Sampled struct {
	// Choices is the number of random candidates.
	Choices int
}

// Pick implements Picker.
func (p Sampled) Pick(v *View, candidates []*Replica, cost func(*Replica) float64, random uint64) *Replica {
	var best *Replica
	var bestCost float64
	consider := func(r *Replica) {
		if c := cost(r); best == nil || c < bestCost {
			best, bestCost = r, c
		}
	}
	for _, r := range v.prefixOwners {
		if r != nil {
			consider(r)
		}
	}
	n := uint64(len(candidates))
	at := random % n
	for range min(p.Choices, len(candidates)) {
		consider(candidates[at])
		random = mix(random + 1)
		at = (at + 1 + random%max(1, n-1)) % n
	}
	return best
}

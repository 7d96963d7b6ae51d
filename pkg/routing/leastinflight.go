package routing

import "time"

// LeastInFlight selects the replica with the fewest requests in flight from this entry. The random
// number breaks ties.
type LeastInFlight struct{}

// Select implements Selector.
func (LeastInFlight) Select(_ time.Time, request Request, replicas []Replica, random uint64) (Replica, bool) {
	candidates := eligible(request, replicas)
	if len(candidates) == 0 {
		return Replica{}, false
	}
	start := int(random % uint64(len(candidates)))
	best := candidates[start]
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if c.InFlight < best.InFlight {
			best = c
		}
	}
	return *best, true
}

package routing

import "time"

// Distance is the time on the way to a replica. It prefers the entry's own
// failure domain, and lets requests spill over as soon as load there costs
// more than the way to another.
type Distance struct {
	// CrossDomainPenalty is added for a replica in another failure domain.
	CrossDomainPenalty time.Duration
}

// Cost implements Scorer.
func (s Distance) Cost(v *View, r *Replica) float64 {
	way := r.RTT
	if r.FailureDomain != v.Request.FailureDomain {
		way += s.CrossDomainPenalty
	}
	return float64(way) / float64(time.Millisecond)
}

package routing

import "time"

// Distance scores the network latency to a replica. It prefers the entry's own failure domain;
// requests spill over to another one as soon as the load in their own costs more than the
// additional latency.
type Distance struct {
	// CrossDomainPenalty is added to the round-trip time of a replica in another failure domain.
	CrossDomainPenalty time.Duration
}

// Cost implements Scorer.
func (s Distance) Cost(v *View, r *Replica) float64 {
	latency := r.RTT
	if r.FailureDomain != v.Request.FailureDomain {
		latency += s.CrossDomainPenalty
	}
	return float64(latency) / float64(time.Millisecond)
}

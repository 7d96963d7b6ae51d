package routing

// LoadCost scores the delay caused by the requests already at a replica. Requests beyond its
// concurrency wait for a slot and cost much more.
type LoadCost struct {
	// StepsPerRequest is the number of steps by which each request at the replica delays the first
	// token of the next one.
	StepsPerRequest float64
	// StepsPerWaiting is the additional number of steps for each request beyond the concurrency.
	StepsPerWaiting float64
}

// Cost implements Scorer.
func (s LoadCost) Cost(v *View, r *Replica) float64 {
	n := v.Requests(r)
	steps := n * s.StepsPerRequest
	if over := n + 1 - float64(r.Concurrency); r.Concurrency > 0 && over > 0 {
		steps += over * s.StepsPerWaiting
	}
	return steps * v.StepMS(r)
}

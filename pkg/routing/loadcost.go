package routing

// LoadCost is the time that the requests already at a replica add. Requests
// beyond its concurrency wait for a place and cost much more.
type LoadCost struct {
	// StepsPerRequest is the number of steps that each request at the replica
	// adds to the first token of the next.
	StepsPerRequest float64
	// StepsPerWaiting is the number of steps that each request beyond the
	// concurrency adds.
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

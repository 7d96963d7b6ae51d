package routing

// StepTime scores the time that a slow group adds to every token of a response. A group runs in
// lock-step, so its step time is that of its slowest rank.
type StepTime struct {
	// Steps is the number of steps of a response that are charged.
	Steps float64
}

// Cost implements Scorer.
func (s StepTime) Cost(v *View, r *Replica) float64 {
	return s.Steps * v.StepMS(r)
}

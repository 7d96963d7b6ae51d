package routing

// StepTime is the time that a slow group adds to every token of an answer. A
// group runs in lock-step, so its step time is that of its slowest rank.
type StepTime struct {
	// Steps is the number of steps of an answer that count.
	Steps float64
}

// Cost implements Scorer.
func (s StepTime) Cost(v *View, r *Replica) float64 {
	return s.Steps * v.StepMS(r)
}

package routing

import "time"

// Outlier ejects replicas that fail again and again or whose steps take much
// longer than the others'. At least half of the candidates stay: where more
// would go, the cause is not theirs alone and none is ejected.
type Outlier struct {
	// Failures is the number of consecutive failures that ejects a replica.
	Failures int
	// BaseEjection is the time of the first ejection. It doubles with each further
	// failure, up to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// StepRatio is the step time, as a multiple of the median, that ejects.
	StepRatio float64
}

// Keep implements Filter.
func (f Outlier) Keep(v *View, candidates []*Replica) []*Replica {
	return keepSome(candidates, (len(candidates)+1)/2, func(r *Replica) bool {
		return !f.failing(v, r) && v.StepMS(r) <= f.StepRatio*v.MedianStepMS
	})
}

func (f Outlier) failing(v *View, r *Replica) bool {
	if r.Failures < f.Failures {
		return false
	}
	ejected := f.BaseEjection
	for n := f.Failures; n < r.Failures && ejected < f.MaxEjection; n++ {
		ejected *= 2
	}
	return v.Now.Sub(r.FailedAt) < min(ejected, f.MaxEjection)
}

package routing

import "time"

// Outlier ejects replicas that fail repeatedly or whose steps take much longer than the others'. At
// least half of the candidates remain: if more would be ejected, the fault is probably a shared
// one, and none is ejected.
type Outlier struct {
	// Failures is the number of consecutive failures after which a replica is ejected.
	Failures int
	// BaseEjection is the duration of the first ejection. It doubles with each further failure, up
	// to MaxEjection.
	BaseEjection, MaxEjection time.Duration
	// StepRatio is the multiple of the median step time above which a replica is ejected.
	StepRatio float64
}

// Keep implements Filter.
func (f Outlier) Keep(v *View, candidates []*Replica) []*Replica {
	return filterWithFloor(candidates, (len(candidates)+1)/2, func(r *Replica) bool {
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

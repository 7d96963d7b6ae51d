package routing

import "time"

// SlowStart limits the requests at a new incarnation, because its caches are cold and its step time
// is unknown. The limit rises linearly to the replica's concurrency.
type SlowStart struct {
	// Window is how long an incarnation counts as new.
	Window time.Duration
}

// Keep implements Filter. If every candidate is at its limit, all are kept.
func (f SlowStart) Keep(v *View, candidates []*Replica) []*Replica {
	return filterWithFloor(candidates, 1, func(r *Replica) bool {
		age := v.Now.Sub(r.FirstSeen)
		if age >= f.Window {
			return true
		}
		bound := max(1, float64(r.Concurrency)*float64(age)/float64(f.Window))
		return v.Requests(r) < bound
	})
}

// filterWithFloor returns the candidates that pass, or all candidates if fewer than floor pass.
func filterWithFloor(candidates []*Replica, floor int, pass func(*Replica) bool) []*Replica {
	out := make([]*Replica, 0, len(candidates))
	for _, r := range candidates {
		if pass(r) {
			out = append(out, r)
		}
	}
	if len(out) < floor {
		return candidates
	}
	return out
}

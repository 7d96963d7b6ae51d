package routing

import "time"

// SlowStart bounds the requests at an incarnation that is new, because its
// caches are cold and its step time is not known.
type SlowStart struct {
	// Window is how long an incarnation counts as new.
	Window time.Duration
}

// Keep implements Filter. Where every candidate is at its bound, all are kept.
func (f SlowStart) Keep(v *View, candidates []*Replica) []*Replica {
	return keepSome(candidates, 1, func(r *Replica) bool {
		age := v.Now.Sub(r.FirstSeen)
		if age >= f.Window {
			return true
		}
		bound := max(1, float64(r.Concurrency)*float64(age)/float64(f.Window))
		return v.Requests(r) < bound
	})
}

// keepSome returns the candidates that pass, or all of them where fewer than
// floor pass.
func keepSome(candidates []*Replica, floor int, pass func(*Replica) bool) []*Replica {
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

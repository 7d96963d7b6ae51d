package routing

import (
	"sync/atomic"
	"time"
)

// Random selects a replica uniformly at random.
type Random struct{}

// Select implements Selector.
func (Random) Select(_ time.Time, request Request, replicas []Replica, random uint64) (Replica, bool) {
	candidates := eligible(request, replicas)
	if len(candidates) == 0 {
		return Replica{}, false
	}
	return *candidates[random%uint64(len(candidates))], true
}

// RoundRobin selects the replicas in turn. It is safe for concurrent use.
type RoundRobin struct{ next atomic.Uint64 }

// Select implements Selector.
func (s *RoundRobin) Select(_ time.Time, request Request, replicas []Replica, _ uint64) (Replica, bool) {
	candidates := eligible(request, replicas)
	if len(candidates) == 0 {
		return Replica{}, false
	}
	return *candidates[s.next.Add(1)%uint64(len(candidates))], true
}

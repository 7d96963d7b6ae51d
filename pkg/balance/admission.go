package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

const (
	// usualStream is how long a stream takes where none has ended yet: 28 events
	// every 60 ms.
	usualStream = 1700 * time.Millisecond
	// standTime is how long a queue may stand: a shorter one drains by itself once
	// what made it has passed.
	standTime = time.Second
	// streamWeight is the weight of the newest stream in the mean time.
	streamWeight = 0.05
)

// Stands reports whether requests have waited for more than a limit for standTime
// without a break: whoever joins such a queue is late, and so are all behind. wait
// is what Wait tells of the best engine now.
func (b *Balancer) Stands(now time.Time, service string, wait, limit time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait <= limit {
		b.drained[service] = now
		return false
	}
	since, known := b.drained[service]
	if !known {
		b.drained[service] = now
	}
	return known && now.Sub(since) > standTime
}

// Wait returns how long one more request is expected to wait for a free slot of
// an engine: slots become free one by one, as streams end. It is 0 for a server
// that is no engine.
func (b *Balancer) Wait(now time.Time, service *fleet.Service, id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil || service.Engine == nil || service.Engine.Slots <= 0 {
		return 0
	}
	place := s.requests(now, b.sumOthers(now)[id]) + 1 - service.Engine.Slots
	stream := b.streams[service.Name]
	if stream == 0 {
		stream = usualStream
	}
	return time.Duration(max(place, 0)) * stream / time.Duration(service.Engine.Slots)
}

// requests returns the number of requests at a server: those of the entries, or
// what its planner told and this entry has sent since, whichever is more.
func (s *server) requests(now time.Time, elsewhere Load) int {
	n := s.own.Requests + elsewhere.Requests
	if s.known(now) {
		n = max(n, s.engine.Running+s.engine.Waiting+s.sent)
	}
	return n
}

// learnStream takes the time of a whole answer; b.mu is held.
func (b *Balancer) learnStream(service string, took time.Duration) {
	mean := b.streams[service]
	if mean == 0 {
		mean = took
	}
	b.streams[service] = mean + time.Duration(streamWeight*float64(took-mean))
}

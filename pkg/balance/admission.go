package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

const (
	// usualStream is how long a stream takes where none has ended yet: 28 events
	// every 60 ms.
	usualStream = 1700 * time.Millisecond
	// standTime is how long a queue may stand: one that follows the loss of all
	// engines drains by itself in that time, and callers leave after two seconds.
	standTime = 1500 * time.Millisecond
	// streamWeight is the weight of the newest stream in the mean time.
	streamWeight = 0.05
)

// QueueLimits say how long a request may wait for a slot.
type QueueLimits struct {
	// MaxWait is the wait above which a queue stands once it lasts for standTime.
	MaxWait time.Duration
	// MaxWaitStanding is the wait up to which requests are taken while a queue stands: they
	// are still served as they should be.
	MaxWaitStanding time.Duration
}

// queue is what is known of the queue at a service's engines.
type queue struct {
	// stands is true while the queue stands; full is when a request was last refused.
	stands bool
	full   time.Time
	// drained is when the wait was last within limits.
	drained time.Time
}

// ShouldRefuse reports whether a request would join a queue that stands: whoever does is
// late, and so are all behind. wait is what Wait tells of the best engine now.
func (b *Balancer) ShouldRefuse(now time.Time, service string, wait time.Duration, l QueueLimits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[service]
	if q == nil {
		q = &queue{drained: now}
		b.queues[service] = q
	}
	if q.stands {
		return q.refuses(now, wait, l)
	}
	if wait <= l.MaxWait {
		q.drained = now
		return false
	}
	if q.stands = now.Sub(q.drained) > standTime; q.stands {
		q.full = now
	}
	return q.stands
}

// refuses decides while the queue stands. It has drained once nobody was refused for
// standTime.
func (q *queue) refuses(now time.Time, wait time.Duration, l QueueLimits) bool {
	if wait > l.MaxWaitStanding {
		q.full = now
		return true
	}
	if now.Sub(q.full) > standTime {
		q.stands, q.drained = false, now
	}
	return false
}

// ExpectedWait returns how long one more request is expected to wait for a free slot of
// an engine: slots become free one by one, as streams end. It is 0 for a server
// that is no engine.
func (b *Balancer) ExpectedWait(now time.Time, service *fleet.Service, id string) time.Duration {
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

// lateShare is the part of a service's slots that late requests may use. At the rates
// that deployments are sized for, requests that come on time use four slots in five
// (56 streams a second of 1.85 s each, 144 slots).
const lateShare = 0.25

// AcquireLateSlot reports whether a request that is late already may be sent now, and counts
// it until GiveLate. After an outage as many wait as there are slots; sent all at once
// they would make everyone late who comes in the seconds after.
func (b *Balancer) AcquireLateSlot(now time.Time, service *fleet.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.late[service.Name] >= b.part(now, len(b.services[service.Name])*service.Engine.Slots, lateShare) {
		return false
	}
	b.late[service.Name]++
	return true
}

// ReleaseLateSlot ends what TakeLate began.
func (b *Balancer) ReleaseLateSlot(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.late[service]--
}

// part returns this entry's part of a share of a number of slots, at least one; b.mu is
// held.
func (b *Balancer) part(now time.Time, slots int, share float64) int {
	entries := 1
	for _, o := range b.entries {
		if now.Sub(o.at) <= othersLifetime {
			entries++
		}
	}
	return max(int(share*float64(slots)/float64(entries)), 1)
}

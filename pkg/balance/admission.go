package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

const (
	// defaultStreamTime is the assumed duration of a stream until one has ended: 28 events at
	// intervals of 60 ms.
	defaultStreamTime = 1700 * time.Millisecond
	// standingTime is how long the queue must exceed its limit to count as a standing queue. The
	// queue that follows the loss of all engines drains within that time, and callers disconnect
	// after two seconds.
	standingTime = 1500 * time.Millisecond
	// streamWeight is the weight of a new sample in the mean stream time.
	streamWeight = 0.05
)

// QueueLimits bounds how long a request may wait for a slot.
type QueueLimits struct {
	// MaxWait is the expected wait above which the queue counts as standing once it has lasted for
	// standingTime.
	MaxWait time.Duration
	// MaxWaitStanding is the expected wait up to which requests are accepted while the queue is
	// standing. They are still served within the target latency.
	MaxWaitStanding time.Duration
}

// queue is the state of the queue at a service's engines.
type queue struct {
	// standing is true while the queue is a standing queue; refusedAt is when a request was last
	// refused.
	standing  bool
	refusedAt time.Time
	// drainedAt is when the expected wait was last within its limit.
	drainedAt time.Time
}

// ShouldRefuse reports whether a request would join a standing queue: it would be late, and so
// would all requests behind it. It also updates the state of the queue. wait is the ExpectedWait of
// the best engine.
func (b *Balancer) ShouldRefuse(now time.Time, service string, wait time.Duration, limits QueueLimits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[service]
	if q == nil {
		q = &queue{drainedAt: now}
		b.queues[service] = q
	}
	if q.standing {
		return q.refuseStanding(now, wait, limits)
	}
	if wait <= limits.MaxWait {
		q.drainedAt = now
		return false
	}
	if q.standing = now.Sub(q.drainedAt) > standingTime; q.standing {
		q.refusedAt = now
	}
	return q.standing
}

// refuseStanding decides while the queue is standing. The queue has drained once no request was
// refused for standingTime.
func (q *queue) refuseStanding(now time.Time, wait time.Duration, limits QueueLimits) bool {
	if wait > limits.MaxWaitStanding {
		q.refusedAt = now
		return true
	}
	if now.Sub(q.refusedAt) > standingTime {
		q.standing, q.drainedAt = false, now
	}
	return false
}

// ExpectedWait returns how long one more request is expected to wait for a free slot of an engine.
// It assumes that slots are released one by one as streams end. It returns 0 for a server that is
// not an engine.
func (b *Balancer) ExpectedWait(now time.Time, service *fleet.Service, id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil || service.Engine == nil || service.Engine.Slots <= 0 {
		return 0
	}
	return b.slotWait(service, s.requests(now, b.sumEntryLoads(now)[id]))
}

// slotWait returns how long one more request is expected to wait for a slot of an engine with a number of
// requests; 0 for a server that is not an engine. b.mu is held.
func (b *Balancer) slotWait(service *fleet.Service, requests int) time.Duration {
	if service.Engine == nil || service.Engine.Slots <= 0 {
		return 0
	}
	position := requests + 1 - service.Engine.Slots
	return time.Duration(max(position, 0)) * b.streamTime(service.Name) / time.Duration(service.Engine.Slots)
}

// requests returns the number of requests at a server: the sum of the entries' counts, or the
// planner's last report plus the requests that this entry sent since, whichever is larger.
func (s *server) requests(now time.Time, others Load) int {
	n := s.ownLoad.Requests + others.Requests
	if s.reportIsFresh(now) {
		n = max(n, s.engine.Running+s.engine.Waiting+s.sentSinceReport)
	}
	return n
}

// recordStreamTime updates the mean duration of a complete response. b.mu is held.
func (b *Balancer) recordStreamTime(service string, took time.Duration) {
	mean := b.meanStreamTime[service]
	if mean == 0 {
		mean = took
	}
	b.meanStreamTime[service] = mean + time.Duration(streamWeight*float64(took-mean))
}

// lateShare is the share of a service's slots that late requests may use. At the rates that
// deployments are sized for, requests on time use almost three slots in four: 56 streams per second
// of 1.85 s each at 144 slots.
const lateShare = 0.25

// AcquireLateSlot reports whether a request that is already late may be sent now, and counts it
// until ReleaseLateSlot. After an outage as many requests wait as there are slots. If all were sent
// at once, they would delay every request that arrives within the next seconds.
func (b *Balancer) AcquireLateSlot(now time.Time, service *fleet.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lateInFlight[service.Name] >= b.entryShare(now, len(b.services[service.Name])*service.Engine.Slots, lateShare) {
		return false
	}
	b.lateInFlight[service.Name]++
	return true
}

// ReleaseLateSlot releases a slot that AcquireLateSlot acquired.
func (b *Balancer) ReleaseLateSlot(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lateInFlight[service]--
}

// entryShare returns this entry's part of a share of the slots, at least one. b.mu is held.
func (b *Balancer) entryShare(now time.Time, slots int, share float64) int {
	entries := 1
	for _, o := range b.entries {
		if now.Sub(o.at) <= entryLoadLifetime {
			entries++
		}
	}
	return max(int(share*float64(slots)/float64(entries)), 1)
}

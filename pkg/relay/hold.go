package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/shortage"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// holdPollInterval is the time between checks whether a request that others come before may be sent. A
	// service of 72 engines with 10 slots releases one every 5 ms under full load.
	holdPollInterval = 10 * time.Millisecond
	// holdMargin is the time before it would be late at which a request is sent in any case. A late one would wait
	// again, for a late slot.
	holdMargin = 2 * holdPollInterval
	// maxHoldBeforeRefusal is the part of the target latency, as a divisor, for which a request may be held
	// before it is refused for lack of slots. One that was held for longer is sent.
	maxHoldBeforeRefusal = 8
	// maxRetryAfterRank bounds the growth of the Retry-After of the less urgent.
	maxRetryAfterRank = 3
	// waitedForOthers is the Report's WaitedFor of a request that was held for others.
	waitedForOthers = "the free slots are left to requests that come first"
)

// shortageQueues holds the queue of each service with engines.
type shortageQueues struct {
	mu     sync.Mutex
	queues map[string]*shortage.Queue
}

// queue returns the queue of a service.
func (s *shortageQueues) queue(service string) *shortage.Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[service]
	if q == nil {
		q = shortage.NewQueue()
		if s.queues == nil {
			s.queues = make(map[string]*shortage.Queue)
		}
		s.queues[service] = q
	}
	return q
}

// Waiting returns the number of requests that wait for a slot, by priority.
func (r *Relay) Waiting() map[int]int {
	r.shortage.mu.Lock()
	defer r.shortage.mu.Unlock()
	counts := make(map[int]int)
	for _, q := range r.shortage.queues {
		for priority, n := range q.Waiting() {
			counts[priority] += n
		}
	}
	return counts
}

// joinShortage counts the request among those that compete for the slots of the service's engines.
func (x *exchange) joinShortage(now time.Time) {
	x.began = now
	if x.q.Service.Engine == nil {
		return
	}
	x.queue = x.shortage.queue(x.q.Service.Name)
	x.queue.Arrive(now, x.q.Priority, x.q.Organisation, x.q.Route.TargetLatency)
}

// leaveShortage gives up what the request still holds when it ends.
func (x *exchange) leaveShortage() {
	x.leaveLateQueue()
	if x.holdsLateSlot {
		x.balancer.ReleaseLateSlot(x.q.Service.Name)
	}
}

// leaveLateQueue gives up the place of the request among the late ones, and the slot that it may have got there.
func (x *exchange) leaveLateQueue() {
	if x.lateTicket != nil && x.queue.LeaveLate(x.lateTicket) {
		x.balancer.ReleaseLateSlot(x.q.Service.Name)
	}
	x.lateTicket = nil
}

// holdForOthers holds a request before its first attempt while others come before it to the free slots. It
// is then sent early enough to be on time. It reports whether the request was held.
func (x *exchange) holdForOthers(ctx context.Context) bool {
	if x.queue == nil || x.held || x.started || len(x.report.Attempts) > 0 || x.q.Route.TargetLatency <= 0 {
		return false
	}
	x.held = true
	now := time.Now()
	capacity := func() shortage.Capacity { return x.balancer.Capacity(time.Now(), x.q.Service) }
	ticket := x.queue.Join(now, x.shortageRequest(), capacity)
	if ticket == nil {
		return false
	}
	defer x.queue.Leave(ticket) // the caller may leave before its turn
	x.report.WaitedFor = waitedForOthers
	for ctx.Err() == nil && x.admitted() && !x.isQuarantined() && !x.queue.MaySend(time.Now(), ticket, capacity) {
		wait.For(ctx, min(holdPollInterval, max(time.Until(ticket.SendBy), time.Millisecond)))
	}
	return true
}

func (x *exchange) shortageRequest() shortage.Request {
	route := x.q.Route
	return shortage.Request{
		Priority: x.q.Priority, Organisation: x.q.Organisation,
		SendBy: x.q.Arrived.Add(route.TargetLatency - firstEventTime - holdMargin), MaxGap: route.TargetGap,
	}
}

// acquireLateSlot reports whether the late request has a late slot. Late requests get them in the order of
// the queue.
func (x *exchange) acquireLateSlot(now time.Time) bool {
	x.holdsLateSlot = x.queue.GrantLate(x.lateTicket, func() bool { return x.balancer.AcquireLateSlot(now, x.q.Service) })
	if x.holdsLateSlot {
		x.lateTicket = nil
	}
	return x.holdsLateSlot
}

// heldTooLong reports whether the request, which competes with others, has been held for so long that it may not be
// refused for lack of slots.
func (x *exchange) heldTooLong(now time.Time) bool {
	return len(x.report.Attempts) == 0 && now.Sub(x.began) > x.q.Route.TargetLatency/maxHoldBeforeRefusal && x.queue.Competing()
}

// recordGap records the pause before an event of a stream, which is the length of a pass of the engine.
func (x *exchange) recordGap(now time.Time) {
	if x.queue != nil && x.attemptEvents > 1 {
		x.queue.RecordGap(now, now.Sub(x.lastProgress))
	}
}

// retryAfterByUrgency returns the mean Retry-After of a request that is refused for lack of slots: the ranges of
// two priorities do not overlap, so that the most urgent return first.
func (x *exchange) retryAfterByUrgency(mean time.Duration) time.Duration {
	rank, _ := slices.BinarySearch(x.q.Priorities, x.q.Priority)
	for range min(rank, maxRetryAfterRank) {
		mean = mean * 5 / 3 // 5/4 of one mean is 3/4 of the next
	}
	return mean
}

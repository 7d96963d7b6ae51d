package relay

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/shortage"
)

// RefusalOf returns why a request that arrives now would be refused because of the wait for a slot; empty if it
// would not. It decides as refusalReason does for the first attempt, without a change of any state.
func (r *Relay) RefusalOf(now time.Time, q *Request, slotWait time.Duration) string {
	if q.Route.TargetLatency <= 0 || q.Service.Engine == nil {
		return ""
	}
	x := &exchange{q: q, lastProgress: now}
	return x.slotRefusal(now, slotWait, r.shortage.order(now, q), r.balancer.WouldRefuse)
}

// order returns the place of a request among the recent arrivals. It creates no queue.
func (s *shortageQueues) order(now time.Time, q *Request) shortage.Order {
	s.mu.Lock()
	queue := s.queues[q.Service.Name]
	s.mu.Unlock()
	if queue == nil {
		return shortage.Order{ShareBefore: 1}
	}
	return queue.Order(now, q.Priority)
}

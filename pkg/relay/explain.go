package relay

import (
	"fmt"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
)

// RefusalOf returns why a request that arrives now would be refused because of the wait for a slot; empty if it
// would not. It decides as refusalReason does for the first attempt, without a change of any state.
func RefusalOf(now time.Time, b *balance.Balancer, q *Request, slotWait time.Duration) string {
	target := q.Route.TargetLatency
	if target <= 0 || q.Service.Engine == nil {
		return ""
	}
	limits := balance.QueueLimits{MaxWait: target, MaxWaitStanding: max(target-firstEventTime, 0)}
	if b.WouldRefuse(now, q.Service.Name, slotWait, limits) {
		return fmt.Sprintf("standing queue at the engines: the expected wait for a slot is %v", slotWait.Round(time.Millisecond))
	}
	x := &exchange{q: q, lastProgress: now}
	if now.Add(slotWait + firstEventTime).After(x.callerDisconnectsAt()) {
		return fmt.Sprintf("expected wait of %v for a slot exceeds the time until the caller leaves", slotWait.Round(time.Millisecond))
	}
	return ""
}

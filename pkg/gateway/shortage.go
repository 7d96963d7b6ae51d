package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/relay"
)

// waitingInterval is the time between two updates of the gauge of waiting requests.
const waitingInterval = time.Second

// countWaiting updates the gauge of the requests that wait for a slot of an engine, by priority.
func (g *Gateway) countWaiting(ctx context.Context) {
	seen := make(map[int]bool)
	runEvery(ctx, waitingInterval, func() {
		waiting := g.relay.Waiting()
		for priority := range waiting {
			seen[priority] = true
		}
		for priority := range seen {
			g.priorityScope(priority).Gauge("requests_waiting_for_slots").Update(float64(waiting[priority]))
		}
	})
}

// countShortOfSlots counts a request that was refused because the engines had no slot for it in time.
func (g *Gateway) countShortOfSlots(q *relay.Request, report relay.Report) {
	if report.ShortOfSlots {
		g.priorityScope(q.Priority).Counter("requests_refused_for_slots").Inc(1)
	}
}

func (g *Gateway) priorityScope(priority int) tally.Scope {
	return g.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
}

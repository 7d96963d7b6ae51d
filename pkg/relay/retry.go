package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/wait"
)

// shouldRetry decides whether another attempt follows an attempt without a complete response. It
// backs off before the next attempt, or ends the request if there is none.
func (x *exchange) shouldRetry(ctx context.Context, o outcome) bool {
	if ctx.Err() != nil {
		x.finish(ctx, "")
		return false
	}
	switch o {
	case brokenOff:
		if !x.repeatable || x.possibleRuns >= x.q.Route.MaxAttempts {
			x.abort("response truncated: the backend server failed after part of it was sent")
			return false
		}
		if !x.order.Resumable() {
			x.abort("response truncated: its last event has no id after which another backend server could continue")
			return false
		}
		return x.mayRepeat(ctx)
	case ran, notKnown:
		if !x.repeatable || x.possibleRuns >= x.q.Route.MaxAttempts {
			x.finish(ctx, x.mayHaveRunReason())
			return false
		}
		return x.mayRepeat(ctx)
	case notRun:
		if x.serversFull() {
			x.report.ShortOfSlots = x.q.Service.Engine != nil
			x.finish(ctx, "backend servers are at capacity")
			return false
		}
		x.backOff(ctx)
	}
	return true
}

// mayHaveRunReason says why the request is not retried after an attempt that may have run.
func (x *exchange) mayHaveRunReason() string {
	const reason = "the request may have run and must not be retried"
	last := x.report.Attempts[len(x.report.Attempts)-1]
	if !last.Uncertified {
		return reason
	}
	return fmt.Sprintf("the backend server answered with status %d, but did not certify that it has not run the request: %s", last.Status, reason)
}

// serversFull reports whether servers have refused the request so often that a slot in time is
// unlikely. The request is then refused while its caller has time to retry.
func (x *exchange) serversFull() bool {
	return !x.groupFault && x.refusals >= maxRefusalRounds*max(x.balancer.ServerCount(x.q.Service.Name), 1) ||
		!x.groupFault && x.q.Service.Engine != nil && x.refusals >= maxEngineRefusals
}

// backOff waits before the next attempt, longer each time. It returns at once if the last server
// did not respond or was the wrong one, if a plain service has more servers to try, or if the group
// is broken.
func (x *exchange) backOff(ctx context.Context) {
	last := x.report.Attempts[len(x.report.Attempts)-1]
	if last.Status == 0 || last.Status == http.StatusMisdirectedRequest {
		return
	}
	if x.groupFault {
		clear(x.excluded)
		return // waitForGroup waits for the group's state to change
	}
	x.refusals++
	servers := x.balancer.ServerCount(x.q.Service.Name)
	if x.q.Service.Engine == nil && x.refusals < servers {
		return
	}
	clear(x.excluded)
	bound := min(initialRefusalBackoff<<min(x.refusals-1, 6), maxRefusalBackoff)
	wait.For(ctx, bound/2+rand.N(bound/2))
}

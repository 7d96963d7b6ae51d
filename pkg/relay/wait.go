package relay

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
	"github.com/fescuehub/fescuehub/pkg/shortage"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// pollInterval is the time between checks of a broken group's state or of an exhausted retry
	// budget. Reports arrive five times per second.
	pollInterval = 50 * time.Millisecond
	// A caller is assumed to disconnect from a stream after the longest of minIdleTimeout,
	// idleTargetLatencies times the target latency and idleTargetGaps times the target gap without
	// an event.
	minIdleTimeout      = 2 * time.Second
	idleTargetLatencies = 4
	idleTargetGaps      = 8
	// firstEventTime is the usual time from an attempt to its first event.
	firstEventTime = 250 * time.Millisecond
	// lateSendMargin is the time before its caller disconnects at which a late request is sent in
	// any case: first events take up to 0.9 s in the seconds after an outage.
	lateSendMargin = 1000 * time.Millisecond
	// maxFreeReconnects is the number of failed connections after which further attempts need the retry
	// budget, so that a large service that is down does not get a connection from each request to each server.
	maxFreeReconnects = 3
	// maxPermitWait bounds the waits before one attempt for permits of other entries, which answer within a
	// round trip.
	maxPermitWait = 150 * time.Millisecond
	// permitPollInterval is the time between checks whether a permit is still awaited.
	permitPollInterval = 25 * time.Millisecond
)

// waitedForPermit is the Report's WaitedFor of a request that waited for a permit.
const waitedForPermit = "rate-limit-permit"

// waitForGroup waits while the group of engines accepts no requests, but not with a prompt that is
// refused nor once this process stops before the request can end, and reports whether enough time for an
// attempt remains.
func (x *exchange) waitForGroup(ctx context.Context) bool {
	if x.q.Service.Engine == nil {
		return x.remaining() > minAttemptTime
	}
	x.groupFault = false
	for !x.isQuarantined() && (x.started || x.admitted()) {
		reason := x.waitReason(time.Now())
		if reason == "" {
			break
		}
		x.report.WaitedFor = string(reason)
		x.groupFault = reason == balance.WaitGroupBroken
		if !x.worthWaiting(ctx) {
			return false
		}
		wait.For(ctx, pollInterval)
	}
	x.groupFault = false
	return ctx.Err() == nil && x.remaining() > minAttemptTime
}

// waitReason returns why the request has to wait: for the group, or, if the request is late, for a
// late slot. Requests whose caller is expected to disconnect within lateSendMargin are sent without
// a slot.
func (x *exchange) waitReason(now time.Time) balance.WaitReason {
	needsSlot := !x.holdsLateSlot && x.possibleRuns == 0 && x.isLate(now)
	if needsSlot && x.lateTicket == nil {
		x.lateTicket = x.queue.JoinLate(x.shortageRequest())
	}
	if !needsSlot {
		return x.balancer.WaitReason(now, x.q.Service)
	}
	// Only a request that may be sent takes the probe of a broken group.
	if reason := x.balancer.PeekWaitReason(now, x.q.Service); reason != "" {
		return reason
	}
	if !x.allEvacuated() && !x.acquireLateSlot(now) {
		if x.callerDisconnectsAt().Sub(now) > lateSendMargin {
			return balance.WaitLateLimit
		}
		x.leaveLateQueue()
	}
	return x.balancer.WaitReason(now, x.q.Service)
}

// isLate reports whether the first event of an attempt that begins now is expected after the target
// latency.
func (x *exchange) isLate(now time.Time) bool {
	target := x.q.Route.TargetLatency
	return !x.started && target > 0 && now.Sub(x.q.Arrived)+firstEventTime > target
}

// priority returns the priority of an attempt that begins now. A late request to an engine yields to
// all that are on time: after an outage a backlog of them would take the slots from requests that can
// still be on time.
func (x *exchange) priority(now time.Time) int {
	if x.q.Service.Engine != nil && x.isLate(now) {
		return latePriority(x.q.Priority, x.q.Priorities)
	}
	return x.q.Priority
}

// latePriority returns the priority of a late request among requests with the given priorities, which are in
// ascending order. Late requests have the last of the priorities up to LowestPriority, in the order of their
// own ones and below those of the requests on time. If there are too few, the least urgent share the last one.
func latePriority(priority int, priorities []int) int {
	if len(priorities) == 0 {
		return LowestPriority
	}
	lastOnTime := priorities[len(priorities)-1]
	first := max(LowestPriority+1-len(priorities), lastOnTime+1)
	rank, _ := slices.BinarySearch(priorities, priority)
	return min(first+rank, LowestPriority)
}

// acquireRetry acquires the retry budget for the next attempt, if it needs any: the first attempts that reach no
// server add nothing to the load of the service.
func (x *exchange) acquireRetry(ctx context.Context) bool {
	if x.sent == 0 && len(x.report.Attempts) <= maxFreeReconnects || x.retryAcquired.Load() {
		return true
	}
	acquired := x.waitForBudget(ctx)
	x.retryAcquired.Store(acquired)
	return acquired
}

// waitForBudget waits until the service's retry budget allows another attempt. Only a request to an
// engine that has certainly not run waits: it can still be refused.
func (x *exchange) waitForBudget(ctx context.Context) bool {
	for !x.isQuarantined() && (x.started || x.admitted()) && !x.budget.Acquire(time.Now(), x.q.Service.Name) {
		if x.possibleRuns > 0 || x.q.Service.Engine == nil || !x.worthWaiting(ctx) || x.allEvacuated() {
			return false
		}
		wait.For(ctx, pollInterval)
	}
	return true
}

// allEvacuated reports whether the service has no server because of evacuated failure domains. Waiting would not
// help: the request is refused at once.
func (x *exchange) allEvacuated() bool { return x.balancer.EvacuatedReason(x.q.Service.Name) != "" }

// takePermit takes the permit that a server with a rate limit needs. If another entry grants it, it is
// asked for. It reports false if the request may not be sent to the server now.
func (x *exchange) takePermit(ctx context.Context, s fleet.Server) bool {
	if x.limits.Take(time.Now(), s.ID, s.Incarnation) {
		return true
	}
	if !x.permitDeadline.IsZero() && !time.Now().Before(x.permitDeadline) {
		x.exclude(s.ID) // no time is left to ask for a permit
		return false
	}
	x.limits.Want(time.Now(), s.ID, s.Incarnation)
	x.waitForPermit(ctx, func(now time.Time) bool { return x.limits.Awaited(now, s.ID, s.Incarnation) })
	return x.limits.Take(time.Now(), s.ID, s.Incarnation)
}

// waitForAnyPermit waits for the answer to a request for a permit if all servers need one. It reports false
// if none is awaited.
func (x *exchange) waitForAnyPermit(ctx context.Context) bool {
	return x.waitForPermit(ctx, func(now time.Time) bool { return x.balancer.PermitAwaited(now, x.q.Service.Name) })
}

// waitForPermit waits until another entry has answered a request for a permit, while one is awaited. It
// reports false if it did not wait.
func (x *exchange) waitForPermit(ctx context.Context, awaited func(time.Time) bool) bool {
	waited := false
	for {
		answered, now := x.limits.Answered(), time.Now()
		if x.permitDeadline.IsZero() {
			x.permitDeadline = now.Add(maxPermitWait)
		}
		left := min(x.permitDeadline.Sub(now), x.remaining()-minAttemptTime)
		if left <= 0 || ctx.Err() != nil || !awaited(now) {
			return waited
		}
		waited = true
		x.report.WaitedFor = waitedForPermit
		select {
		case <-answered:
		case <-time.After(min(left, permitPollInterval)):
		case <-ctx.Done():
		}
	}
}

// worthWaiting reports whether the first event of an attempt that begins after one more
// pollInterval would reach the caller before it disconnects.
func (x *exchange) worthWaiting(ctx context.Context) bool {
	return ctx.Err() == nil && time.Until(x.callerDisconnectsAt())-firstEventTime-pollInterval > 0
}

// callerDisconnectsAt returns when the caller is expected to disconnect if it gets no data.
func (x *exchange) callerDisconnectsAt() time.Time {
	deadline := x.q.Deadline()
	r := x.q.Route
	if r.Kind != fleet.Streaming {
		return deadline
	}
	if at := x.lastProgress.Add(x.callerPatience()); at.Before(deadline) {
		return at
	}
	return deadline
}

// callerPatience returns how long a caller is expected to wait for the next event of a stream.
func (x *exchange) callerPatience() time.Duration {
	r := x.q.Route
	return max(minIdleTimeout, idleTargetLatencies*r.TargetLatency, idleTargetGaps*r.TargetGap)
}

// refusalReason returns why a request that has certainly not run should be refused; empty if it
// should be sent. It is refused if its first event is expected after the caller disconnects, or if
// it would join a standing queue, in which all requests are late.
func (x *exchange) refusalReason(s fleet.Server) string {
	target := x.q.Route.TargetLatency
	if x.started || x.possibleRuns > 0 || target <= 0 || x.q.Service.Engine == nil {
		return ""
	}
	now := time.Now()
	if x.heldTooLong(now) {
		return ""
	}
	slotWait := x.balancer.ExpectedWait(now, x.q.Service, s.ID)
	if slotWait == 0 && (x.limits.Admission(now, s.ID, s.Incarnation) != ratelimit.Unlimited || x.balancer.IsCold(now, s)) {
		return "" // a cold server or one at its rate limit has free slots, whatever queue stands at the others
	}
	return x.slotRefusal(now, slotWait, x.queue.Order(now, x.q.Priority), x.balancer.ShouldRefuse)
}

// slotRefusal returns why the request is refused because of the expected wait for a slot; empty if it is not.
// shouldRefuse is ShouldRefuse or WouldRefuse of the balancer.
func (x *exchange) slotRefusal(now time.Time, slotWait time.Duration, order shortage.Order, shouldRefuse func(time.Time, string, time.Duration, balance.QueueLimits) bool) string {
	if shouldRefuse(now, x.q.Service.Name, slotWait, queueLimits(x.q.Route.TargetLatency, order)) {
		return fmt.Sprintf("standing queue at the engines: the expected wait for a slot is %v", slotWait.Round(time.Millisecond))
	}
	slotWait = time.Duration(order.ShareBefore * float64(slotWait))
	if now.Add(slotWait + firstEventTime).After(x.callerDisconnectsAt()) {
		return fmt.Sprintf("expected wait of %v for a slot exceeds the time until the caller leaves", slotWait.Round(time.Millisecond))
	}
	return ""
}

// queueLimits returns the limits of the wait for a slot of a request with a target latency. At an engine it overtakes
// the less urgent requests, so that it waits only for a part of the queue, and it is not refused before them.
func queueLimits(target time.Duration, order shortage.Order) balance.QueueLimits {
	standing := max(target, order.LongestTargetAfter) - firstEventTime
	return balance.QueueLimits{
		MaxWait:         max(target, order.LongestTarget),
		MaxWaitStanding: time.Duration(float64(max(standing, 0)) / order.ShareBefore),
	}
}

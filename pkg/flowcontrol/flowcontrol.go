// Package flowcontrol implements admission control and fair queueing for one pool. It decides which
// requests run now, which wait and which are refused. It has no clock, goroutines or random source:
// the caller passes the time and random numbers and carries out the returned actions. A Controller
// is not safe for concurrent use.
package flowcontrol

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Controller is the admission queue of one pool at one entry.
type Controller struct {
	limits   Limits
	window   Window
	inFlight int
	classes  [2]classQueue
	flows    map[flowKey]*flow
	// sinceBatch counts the interactive admissions since the last batch admission.
	sinceBatch int
	// busyPeriod is incremented whenever a slot is free. A flow's virtual-time debt of an earlier
	// busy period is discarded, because it delayed no request of another flow.
	busyPeriod int64
	// arrivals counts the requests since the last sweep of idle flows; flowsAfterSweep is the
	// number of flows that remained after that sweep.
	arrivals        int
	flowsAfterSweep int
	serviceTimes    serviceTimes
	retrySlots      retrySlots
	responseGaps    responseGaps
	// pausedUntil is when admissions resume after every replica refused a request. A served request
	// ends the pause early, because it frees a slot.
	pausedUntil time.Time
}

// New returns a controller with no capacity. It refuses all requests until SetCapacity is called.
func New(limits Limits) *Controller {
	c := &Controller{flows: make(map[flowKey]*flow)}
	c.SetLimits(limits)
	return c
}

// SetLimits replaces the limits. Zero values select the defaults. Requests that already wait stay
// queued even if the new limit is lower.
func (c *Controller) SetLimits(limits Limits) {
	if limits.QueueLimit <= 0 {
		limits.QueueLimit = tables.DefaultQueueLimit
	}
	if limits.AgingBound <= 0 {
		limits.AgingBound = DefaultAgingBound
	}
	if limits.BatchEvery <= 0 {
		limits.BatchEvery = DefaultBatchEvery
	}
	c.limits = limits
}

// SetCapacity sets the bounds of the window of in-flight requests: share is the entry's equal share
// of the pool, total the capacity of the whole pool. A total of 0 refuses all waiting requests.
func (c *Controller) SetCapacity(now time.Time, share, total int, random uint64) []Action {
	c.window.SetBounds(share, total)
	if total <= 0 {
		return c.refuseAll(now, random)
	}
	return c.admitWaiting(now, nil, random)
}

// Arrive submits a request. The returned actions decide on its ticket, unless it has to wait, and
// possibly on tickets that already waited.
func (c *Controller) Arrive(now time.Time, r Request, random uint64) (*Ticket, []Action) {
	r.Share = max(r.Share, 1)
	t := &Ticket{request: r, arrived: now}
	if c.window.Size() == 0 {
		return t, []Action{c.refuse(now, t, NoCapacity, random)}
	}
	c.sweep()
	f := c.flowOf(r)
	actions := c.admitWaiting(now, nil, random)
	victim, reason := c.makeRoom(now, f, r)
	if reason != "" {
		c.removeIfIdle(f)
		return t, append(actions, c.refuse(now, t, reason, random))
	}
	if victim != nil {
		c.dequeue(victim)
		actions = append(actions, c.refuse(now, victim, Displaced, random))
	}
	c.enqueue(f, t)
	return t, c.admitWaiting(now, actions, random)
}

// Done ends an admitted request and returns the decisions that follow from the free slot.
func (c *Controller) Done(now time.Time, t *Ticket, result Result, random uint64) []Action {
	if t.state != running {
		return nil
	}
	took := c.finish(now, t)
	f := t.flow
	if result == Served {
		c.pausedUntil = time.Time{}
		c.responseGaps.add(now, c.waitingCount() > 0)
		c.serviceTimes.add(f.key.class, took)
		c.window.Grow(c.waitingCount() > 0)
	}
	c.removeIfIdle(f)
	return c.admitWaiting(now, nil, random)
}

// finish releases the slot of a request and returns how long it was held, in seconds. It replaces
// the estimated charge of the flow by the actual time.
func (c *Controller) finish(now time.Time, t *Ticket) float64 {
	t.state = ended
	c.inFlight--
	f := t.flow
	f.inFlight--
	took := now.Sub(t.admitted).Seconds()
	c.class(f).adjust(f, (took-t.charge)/float64(t.request.Share))
	return took
}

// Requeue returns an admitted request to the head of its flow's queue after every replica that was
// tried refused it. It refuses the request after maxRequeues, or if its deadline can no longer be
// met.
func (c *Controller) Requeue(now time.Time, t *Ticket, random uint64) []Action {
	if t.state != running {
		return nil
	}
	c.finish(now, t)
	c.window.Shrink(now, c.inFlight)
	c.pausedUntil = now.Add(c.admissionPause(random))
	if c.window.Size() == 0 {
		return []Action{c.refuse(now, t, NoCapacity, random)}
	}
	if !c.canMeetDeadline(t, now) {
		return []Action{c.refuse(now, t, DeadlineUnreachable, random)}
	}
	t.requeues++
	if t.requeues > maxRequeues {
		return []Action{c.refuse(now, t, ReplicasFull, random)}
	}
	t.state = waiting
	c.enqueueFront(t.flow, t)
	return nil
}

// admissionPause returns how long to admit nothing after every replica refused a request: about the
// time in which one of this entry's slots becomes free, with random jitter.
func (c *Controller) admissionPause(random uint64) time.Duration {
	bound := minPause
	if rate := c.serviceRate(); rate > 0 {
		bound = min(max(time.Duration(2/rate*float64(time.Second)), minPause), maxPause)
	}
	return bound/2 + time.Duration(random%uint64(bound/2))
}

// Cancel removes a ticket whose caller has disconnected.
func (c *Controller) Cancel(now time.Time, t *Ticket, random uint64) []Action {
	switch t.state {
	case waiting:
		c.dequeue(t)
		c.removeIfIdle(t.flow)
	case running:
		return c.Done(now, t, Failed, random)
	}
	return nil
}

// Reassess refuses the waiting requests that can no longer be answered before their deadlines. The
// caller invokes it periodically while requests wait.
func (c *Controller) Reassess(now time.Time, random uint64) []Action {
	var late []*Ticket
	for i := range c.classes {
		for _, f := range c.classes[i].heap {
			position := 1
			for t := f.head; t != nil; t = t.next {
				left := t.request.Deadline.Sub(now)
				if !c.canMeetDeadline(t, now) || c.predictWait(f, position) > time.Duration(reassessMargin*float64(left)) {
					late = append(late, t)
					continue
				}
				position++
			}
		}
	}
	var actions []Action
	for _, t := range late {
		c.dequeue(t)
		c.removeIfIdle(t.flow)
		actions = append(actions, c.refuse(now, t, DeadlineUnreachable, random))
	}
	return c.admitWaiting(now, actions, random)
}

// RetryAfter reserves a retry time for a caller whose request was admitted and then refused by
// every replica, and returns the delay until then.
func (c *Controller) RetryAfter(now time.Time, random uint64) time.Duration {
	return c.retrySlots.reserve(now, c.serviceRate(), c.waitingCount(), random)
}

// MinUsefulTime returns the time that must remain before the deadline for a request of the class to
// be worth sending to a replica: the mean service time plus usefulDeviations. It is 0 until a
// request of the class has been served.
func (c *Controller) MinUsefulTime(class tables.Class) time.Duration {
	return time.Duration(c.serviceTimes.withDeviations(class, usefulDeviations) * float64(time.Second))
}

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int { return c.waitingCount() }

// InFlight returns the number of admitted requests that have not ended.
func (c *Controller) InFlight() int { return c.inFlight }

// Window returns the current bound on in-flight requests.
func (c *Controller) Window() int { return c.window.Size() }

// Flows returns the number of flows, one for each organisation and class, that the controller keeps
// in memory.
func (c *Controller) Flows() int { return len(c.flows) }

// makeRoom decides whether a request may be queued. It returns the reason for a refusal, or, if the
// queue is full, the request to displace: the newest one of the flow with the longest queue
// relative to its share.
func (c *Controller) makeRoom(now time.Time, f *flow, r Request) (*Ticket, Reason) {
	if c.freeSlots() > 0 && c.waitingCount() == 0 {
		return nil, ""
	}
	if f.waiting >= max(1, c.limits.QueueLimit/organisationQueueDivisor) {
		return nil, OrganisationQueueFull
	}
	left := r.Deadline.Sub(now).Seconds()
	if arrivalMargin*c.predictWait(f, f.waiting+1).Seconds()+c.serviceTimes.withDeviations(r.Class, arrivalDeviations) > left {
		return nil, DeadlineUnreachable
	}
	if c.waitingCount() < c.limits.QueueLimit {
		return nil, ""
	}
	longest := c.longestFlow(f.key.class)
	if longest == nil || longest.relativeLength(0) <= f.relativeLength(1) {
		return nil, QueueFull
	}
	return longest.tail, ""
}

// admitWaiting admits waiting requests while the window has free slots, and refuses those that can
// no longer meet their deadlines.
func (c *Controller) admitWaiting(now time.Time, actions []Action, random uint64) []Action {
	for c.freeSlots() > 0 && !now.Before(c.pausedUntil) {
		f := c.nextFlow(now)
		if f == nil {
			break
		}
		t := f.head
		if !c.canMeetDeadline(t, now) {
			c.dequeue(t)
			c.removeIfIdle(f)
			actions = append(actions, c.refuse(now, t, DeadlineUnreachable, random))
			continue
		}
		actions = append(actions, c.admit(now, t))
	}
	if c.freeSlots() > 0 {
		c.busyPeriod++
	}
	return actions
}

// nextFlow returns the flow whose request is admitted next, or nil if no request waits.
func (c *Controller) nextFlow(now time.Time) *flow {
	interactive, batch := &c.classes[0], &c.classes[1]
	switch {
	case batch.waiting == 0:
		return interactive.next()
	case interactive.waiting == 0 || c.batchDue(now):
		return batch.next()
	}
	return interactive.next()
}

// batchDue reports whether the next admission goes to the batch class when requests of both classes
// wait.
func (c *Controller) batchDue(now time.Time) bool {
	every := c.limits.BatchEvery
	if now.Sub(c.classes[1].next().head.arrived) >= c.limits.AgingBound {
		every = min(every, agedBatchEvery)
	}
	return c.sinceBatch >= every-1
}

func (c *Controller) admit(now time.Time, t *Ticket) Action {
	f := t.flow
	q := c.class(f)
	t.charge = c.serviceTimes.charge(f.key.class)
	q.charge(f, t.charge/float64(t.request.Share))
	c.dequeue(t)
	t.state = running
	t.admitted = now
	c.inFlight++
	f.inFlight++
	if f.key.class == tables.Batch {
		c.sinceBatch = 0
	} else {
		c.sinceBatch++
	}
	return Action{Ticket: t}
}

func (c *Controller) refuse(now time.Time, t *Ticket, reason Reason, random uint64) Action {
	t.state = ended
	wait := c.retrySlots.reserve(now, c.serviceRate(), c.waitingCount(), random)
	return Action{Ticket: t, Refusal: &Refusal{Reason: reason, RetryAfter: wait}}
}

func (c *Controller) refuseAll(now time.Time, random uint64) []Action {
	var actions []Action
	for i := range c.classes {
		for c.classes[i].waiting > 0 {
			t := c.classes[i].next().head
			c.dequeue(t)
			c.removeIfIdle(t.flow)
			actions = append(actions, c.refuse(now, t, NoCapacity, random))
		}
	}
	return actions
}

// canMeetDeadline reports whether a request that is admitted now can be answered before its
// deadline.
func (c *Controller) canMeetDeadline(t *Ticket, now time.Time) bool {
	return t.request.Deadline.Sub(now) > c.MinUsefulTime(t.request.Class)
}

func (c *Controller) freeSlots() int { return c.window.Size() - c.inFlight }

func (c *Controller) waitingCount() int { return c.classes[0].waiting + c.classes[1].waiting }

// serviceRate returns the number of requests served per second, or 0 if unknown. While requests
// wait it is bounded by the rate at which responses ended, because slots are also held by requests
// that no replica has accepted yet.
func (c *Controller) serviceRate() float64 {
	mean := c.serviceTimes.overall.value
	if mean <= 0 {
		return 0
	}
	rate := float64(c.window.Size()) / mean
	if c.waitingCount() > 0 && c.responseGaps.gap.known {
		return min(rate, 1/c.responseGaps.gap.value)
	}
	return rate
}

// predictWait estimates how long the request at a position of the flow's queue (counted from 1)
// will wait. It returns 0 while the service time is unknown.
func (c *Controller) predictWait(f *flow, position int) time.Duration {
	rate := c.serviceRate()
	if rate == 0 {
		return 0
	}
	q, other := &c.classes[0], &c.classes[1]
	classShare := 1 - 1/float64(c.limits.BatchEvery)
	if f.key.class == tables.Batch {
		q, other = other, q
		classShare = 1 / float64(c.limits.BatchEvery)
	}
	if other.waiting > 0 {
		rate *= classShare
	}
	shares := q.waitingShares
	if f.waiting == 0 {
		shares += f.share
	}
	rounds := float64(position) * float64(shares) / float64(f.share)
	ahead := min(rounds, float64(q.waiting+1))
	return time.Duration(ahead / rate * float64(time.Second))
}

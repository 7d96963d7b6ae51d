// Package flowcontrol decides which requests for one pool run now, which wait
// and which are refused. It has no clock, goroutine or random source of its
// own: the caller passes the time and random numbers and carries out the
// actions. A Controller is not safe for concurrent use.
package flowcontrol

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Controller holds the queue of one pool at one entry.
type Controller struct {
	limits   Limits
	window   Window
	inFlight int
	classes  [2]classQueue
	flows    map[flowKey]*flow
	// sinceBatch counts the interactive admissions since the last batch one.
	sinceBatch int
	// period is raised whenever a slot is free: debts of earlier periods are
	// void, because nobody waited for them.
	period int64
	// arrivals counts towards sweepAfter, when idle flows are dropped.
	arrivals   int
	sweepAfter int
	service    serviceTimes
	returns    returnSlots
	answers    answerGaps
	// heldUntil is when admission goes on after a refusal by every replica. An
	// answer ends the hold: its slot is free.
	heldUntil time.Time
}

// New returns a controller without capacity.
func New(limits Limits) *Controller {
	c := &Controller{flows: make(map[flowKey]*flow)}
	c.SetLimits(limits)
	return c
}

// SetLimits replaces the limits. Requests that wait already stay.
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

// SetCapacity bounds the requests in flight: the window moves between the
// entry's share of the pool and the whole pool.
func (c *Controller) SetCapacity(now time.Time, share, whole int, random uint64) []Action {
	c.window.SetBounds(share, whole)
	if whole <= 0 {
		return c.refuseAll(now, random)
	}
	return c.pump(now, nil, random)
}

// Arrive takes a request. The actions decide on its ticket, unless it waits,
// and perhaps on others.
func (c *Controller) Arrive(now time.Time, r Request, random uint64) (*Ticket, []Action) {
	r.Share = max(r.Share, 1)
	t := &Ticket{request: r, arrived: now}
	if c.window.Size() == 0 {
		return t, []Action{c.refuse(now, t, NoCapacity, random)}
	}
	c.sweep()
	f := c.flowOf(r)
	actions := c.pump(now, nil, random)
	victim, reason := c.makeRoom(now, f, r)
	if reason != "" {
		c.forgetIfIdle(f)
		return t, append(actions, c.refuse(now, t, reason, random))
	}
	if victim != nil {
		c.dequeue(victim)
		actions = append(actions, c.refuse(now, victim, Displaced, random))
	}
	c.enqueue(f, t)
	return t, c.pump(now, actions, random)
}

// Done takes the end of an admitted request.
func (c *Controller) Done(now time.Time, t *Ticket, result Result, random uint64) []Action {
	if t.state != running {
		return nil
	}
	took := c.finish(now, t)
	f := t.flow
	if result == Served {
		c.heldUntil = time.Time{}
		c.answers.add(now, c.waitingCount() > 0)
		c.service.add(f.key.class, took)
		c.window.Grow(c.waitingCount() > 0)
	}
	c.forgetIfIdle(f)
	return c.pump(now, nil, random)
}

// finish gives the slot of a request back and returns how long it was held, in
// seconds.
func (c *Controller) finish(now time.Time, t *Ticket) float64 {
	t.state = ended
	c.inFlight--
	f := t.flow
	f.inFlight--
	took := now.Sub(t.admitted).Seconds()
	c.class(f).correct(f, (took-t.charge)/float64(t.request.Share))
	return took
}

// Requeue takes back an admitted request that every tried replica refused. It
// waits again, first of its organisation, unless that has happened too often or
// its deadline is out of reach.
func (c *Controller) Requeue(now time.Time, t *Ticket, random uint64) []Action {
	if t.state != running {
		return nil
	}
	c.finish(now, t)
	c.window.Shrink(now, c.inFlight)
	c.heldUntil = now.Add(c.hold(random))
	if c.window.Size() == 0 {
		return []Action{c.refuse(now, t, NoCapacity, random)}
	}
	if !c.useful(t, now) {
		return []Action{c.refuse(now, t, DeadlineUnreachable, random)}
	}
	t.requeues++
	if t.requeues > maxRequeues {
		return []Action{c.refuse(now, t, ReplicasFull, random)}
	}
	t.state = waiting
	c.enqueueFirst(t.flow, t)
	return nil
}

// hold returns how long nothing is admitted after a refusal by every replica:
// about the time in which one of this entry's slots becomes free.
func (c *Controller) hold(random uint64) time.Duration {
	bound := minHold
	if rate := c.rate(); rate > 0 {
		bound = min(max(time.Duration(2/rate*float64(time.Second)), minHold), maxHold)
	}
	return bound/2 + time.Duration(random%uint64(bound/2))
}

// Cancel takes out a ticket whose caller has gone.
func (c *Controller) Cancel(now time.Time, t *Ticket, random uint64) []Action {
	switch t.state {
	case waiting:
		c.dequeue(t)
		c.forgetIfIdle(t.flow)
	case running:
		return c.Done(now, t, Failed, random)
	}
	return nil
}

// Reassess refuses the waiting requests that can no longer be answered in
// time. It is called at intervals while requests wait.
func (c *Controller) Reassess(now time.Time, random uint64) []Action {
	var late []*Ticket
	for i := range c.classes {
		for _, f := range c.classes[i].heap {
			position := 1
			for t := f.head; t != nil; t = t.next {
				left := t.request.Deadline.Sub(now)
				if !c.useful(t, now) || c.predictWait(f, position) > time.Duration(reassessMargin*float64(left)) {
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
		c.forgetIfIdle(t.flow)
		actions = append(actions, c.refuse(now, t, DeadlineUnreachable, random))
	}
	return c.pump(now, actions, random)
}

// RetryAfter books a return for a caller that was admitted and then refused by
// every replica.
func (c *Controller) RetryAfter(now time.Time, random uint64) time.Duration {
	return c.returns.book(now, c.rate(), c.waitingCount(), random)
}

// MinUsefulTime returns the least time in which a request of the class is usefully
// sent to a replica, 0 while it is not known.
func (c *Controller) MinUsefulTime(class tables.Class) time.Duration {
	return time.Duration(c.service.within(class, usefulDeviations) * float64(time.Second))
}

// Waiting returns the number of requests in the queue.
func (c *Controller) Waiting() int { return c.waitingCount() }

// InFlight returns the number of admitted requests that have not ended.
func (c *Controller) InFlight() int { return c.inFlight }

// Window returns the present bound of the requests in flight.
func (c *Controller) Window() int { return c.window.Size() }

// Flows returns the number of organisations that the controller remembers.
func (c *Controller) Flows() int { return len(c.flows) }

// makeRoom decides whether the request may wait. Where the queue is full, the
// newest request of the flow with the longest queue for its share gives way.
func (c *Controller) makeRoom(now time.Time, f *flow, r Request) (*Ticket, Reason) {
	if c.free() > 0 && c.waitingCount() == 0 {
		return nil, ""
	}
	if f.waiting >= max(1, c.limits.QueueLimit/organisationPart) {
		return nil, OrganisationQueueFull
	}
	left := r.Deadline.Sub(now).Seconds()
	if arrivalMargin*c.predictWait(f, f.waiting+1).Seconds()+c.service.within(r.Class, safeDeviations) > left {
		return nil, DeadlineUnreachable
	}
	if c.waitingCount() < c.limits.QueueLimit {
		return nil, ""
	}
	longest := c.longestFlow(f.key.class)
	if longest == nil || longest.load(0) <= f.load(1) {
		return nil, QueueFull
	}
	return longest.tail, ""
}

// pump admits waiting requests while the window has room.
func (c *Controller) pump(now time.Time, actions []Action, random uint64) []Action {
	for c.free() > 0 && !now.Before(c.heldUntil) {
		f := c.pick(now)
		if f == nil {
			break
		}
		t := f.head
		if !c.useful(t, now) {
			c.dequeue(t)
			c.forgetIfIdle(f)
			actions = append(actions, c.refuse(now, t, DeadlineUnreachable, random))
			continue
		}
		actions = append(actions, c.admit(now, t))
	}
	if c.free() > 0 {
		c.period++
	}
	return actions
}

// pick returns the flow whose turn it is, nil if none waits.
func (c *Controller) pick(now time.Time) *flow {
	interactive, batch := &c.classes[0], &c.classes[1]
	switch {
	case batch.waiting == 0:
		return interactive.first()
	case interactive.waiting == 0 || c.batchDue(now):
		return batch.first()
	}
	return interactive.first()
}

// batchDue reports whether the next admission belongs to the batch class while
// both classes wait.
func (c *Controller) batchDue(now time.Time) bool {
	every := c.limits.BatchEvery
	if now.Sub(c.classes[1].first().head.arrived) >= c.limits.AgingBound {
		every = min(every, agedBatchEvery)
	}
	return c.sinceBatch >= every-1
}

func (c *Controller) admit(now time.Time, t *Ticket) Action {
	f := t.flow
	q := c.class(f)
	t.charge = c.service.charge(f.key.class)
	q.start(f, t.charge/float64(t.request.Share))
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
	wait := c.returns.book(now, c.rate(), c.waitingCount(), random)
	return Action{Ticket: t, Refusal: &Refusal{Reason: reason, RetryAfter: wait}}
}

func (c *Controller) refuseAll(now time.Time, random uint64) []Action {
	var actions []Action
	for i := range c.classes {
		for c.classes[i].waiting > 0 {
			t := c.classes[i].first().head
			c.dequeue(t)
			c.forgetIfIdle(t.flow)
			actions = append(actions, c.refuse(now, t, NoCapacity, random))
		}
	}
	return actions
}

// useful reports whether an admission now could still be answered in time.
func (c *Controller) useful(t *Ticket, now time.Time) bool {
	return t.request.Deadline.Sub(now) > c.MinUsefulTime(t.request.Class)
}

func (c *Controller) free() int { return c.window.Size() - c.inFlight }

func (c *Controller) waitingCount() int { return c.classes[0].waiting + c.classes[1].waiting }

// rate returns the requests that are served in a second, 0 if unknown. While
// requests wait it is the rate at which answers came, because slots are also
// held by requests that look for a replica.
func (c *Controller) rate() float64 {
	mean := c.service.overall.value
	if mean <= 0 {
		return 0
	}
	rate := float64(c.window.Size()) / mean
	if c.waitingCount() > 0 && c.answers.gap.known {
		return min(rate, 1/c.answers.gap.value)
	}
	return rate
}

// predictWait estimates how long the request at the position of the flow's
// queue will wait. It is 0 while the service time is not known.
func (c *Controller) predictWait(f *flow, position int) time.Duration {
	rate := c.rate()
	if rate == 0 {
		return 0
	}
	q, other := &c.classes[0], &c.classes[1]
	part := 1 - 1/float64(c.limits.BatchEvery)
	if f.key.class == tables.Batch {
		q, other = other, q
		part = 1 / float64(c.limits.BatchEvery)
	}
	if other.waiting > 0 {
		rate *= part
	}
	shares := q.shares
	if f.waiting == 0 {
		shares += f.share
	}
	rounds := float64(position) * float64(shares) / float64(f.share)
	ahead := min(rounds, float64(q.waiting+1))
	return time.Duration(ahead / rate * float64(time.Second))
}

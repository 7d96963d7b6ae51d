// Package shortage decides which requests to a service wait at an entry, and in which order they go on, while
// the slots of its engines are short. It has no I/O, clock or random source.
package shortage

import (
	"math"
	"sync"
	"time"
)

const (
	// shareWindow is the time constant of the counts of arrivals by class and organisation. Bursts last 3
	// to 6 s, so that the counts follow within one.
	shareWindow = 4 * time.Second
	// An organisation that sends fairShareFactor times the mean of the others, or more, takes more than its fair share.
	// At one entry, counts of a few requests scatter by less than that.
	fairShareFactor = 2
	// gapWeight is the weight of a new sample in the mean pause between events. An entry passes on
	// some hundred events per second.
	gapWeight = 0.05
	// forgotten is the count of arrivals below which a class or an organisation no longer counts: one request
	// of 12 s ago.
	forgotten = 0.05
)

// Capacity is what an entry knows about the slots of a service.
type Capacity struct {
	// Slots is the number of slots of the usable engines; Free is the number of those that are free.
	Slots, Free int
	// StreamTime is the mean time for which a request occupies a slot.
	StreamTime time.Duration
}

// Queue holds the requests to one service that wait at one entry. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	waiting line
	late    line
	// classes and organisations count the recent arrivals.
	classes       map[int]*class
	organisations map[string]*count
	forgottenAt   time.Time
	// gap is the mean pause between events, as of gapAt.
	gap   time.Duration
	gapAt time.Time
}

// class is what a queue knows about the requests of one priority.
type class struct {
	count
	// target is the target latency of these requests.
	target time.Duration
}

// count is a decaying count.
type count struct {
	value float64
	at    time.Time
}

func (c *count) get(now time.Time) float64 {
	return c.value * math.Exp(-float64(now.Sub(c.at))/float64(shareWindow))
}

func (c *count) add(now time.Time) {
	c.value, c.at = c.get(now)+1, now
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{classes: make(map[int]*class), organisations: make(map[string]*count)}
}

// Arrive counts a request that has arrived. target is its target latency.
func (q *Queue) Arrive(now time.Time, priority int, organisation string, target time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.classes[priority]
	if c == nil {
		c = &class{count: count{at: now}}
		q.classes[priority] = c
	}
	c.add(now)
	c.target = target
	o := q.organisations[organisation]
	if o == nil {
		o = &count{at: now}
		q.organisations[organisation] = o
	}
	o.add(now)
	q.forget(now)
}

// forget removes the organisations that have sent nothing for long. q.mu is held.
func (q *Queue) forget(now time.Time) {
	if now.Sub(q.forgottenAt) < shareWindow {
		return
	}
	q.forgottenAt = now
	for name, o := range q.organisations {
		if o.get(now) < forgotten {
			delete(q.organisations, name)
		}
	}
}

// RecordGap records the pause between two events of a stream.
func (q *Queue) RecordGap(now time.Time, gap time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gap += time.Duration(gapWeight * float64(gap-q.gap))
	q.gapAt = now
}

// Competing reports whether requests of several priorities or organisations have arrived: otherwise none waits here.
func (q *Queue) Competing() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.competing()
}

// competing is Competing. q.mu is held.
func (q *Queue) competing() bool { return len(q.classes) > 1 || len(q.organisations) > 1 }

// Join returns the place of a request, which Arrive has counted, if it has to wait; nil if it is to be sent at once. No
// more requests wait than the service has slots. capacity is called only if there are several priorities or
// organisations.
func (q *Queue) Join(now time.Time, r Request, capacity func() Capacity) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !now.Before(r.SendBy) || !q.competing() {
		return nil
	}
	if c := capacity(); q.waiting.length >= c.Slots || !q.short(now, r, c) {
		return nil
	}
	return q.waiting.join(r)
}

// MaySend reports whether a waiting request may be sent now: its turn has come and slots are free, or it can wait no
// longer. It then leaves the queue. A guaranteed turn takes the slot of the most urgent request, so that it never waits
// for more free slots than that one, which it precedes. capacity is called only for the first in the order.
func (q *Queue) MaySend(now time.Time, t *Ticket, capacity func() Capacity) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !now.Before(t.SendBy) {
		q.waiting.leave(t, false)
		return true
	}
	if next, urgent := q.waiting.first(); next != t || q.short(now, urgent.Request, capacity()) {
		return false
	}
	q.waiting.leave(t, true)
	return true
}

// Leave removes a request whose caller has left from the queue.
func (q *Queue) Leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.leave(t, false)
}

// short reports whether a request has to wait for others that come before it. It waits for more urgent ones while
// fewer slots are free than those take within their target latency, or while passes last longer than it tolerates. It
// waits for other organisations while no slot is free, if its own sends more than its fair share. q.mu is held.
func (q *Queue) short(now time.Time, r Request, c Capacity) bool {
	if c.Slots <= 0 || c.StreamTime <= 0 {
		return false
	}
	if reserved := q.slotsOfMoreUrgent(now, r.Priority, c); reserved > 0 {
		slow := r.MaxGap > 0 && q.gap > r.MaxGap && now.Sub(q.gapAt) <= r.MaxGap
		if slow || float64(c.Free) <= reserved {
			return true
		}
	}
	return c.Free <= 0 && q.overShare(now, r.Organisation)
}

// slotsOfMoreUrgent returns the number of slots that requests more urgent than a priority take within their target
// latency while all slots are in use; 0 if there are none. q.mu is held.
func (q *Queue) slotsOfMoreUrgent(now time.Time, priority int, c Capacity) float64 {
	total, seconds := 0.0, 0.0
	for p, other := range q.classes {
		n := other.get(now)
		if n < forgotten {
			continue
		}
		total += n
		if p < priority {
			seconds += n * min(other.target, c.StreamTime).Seconds() // a slot is free again after StreamTime
		}
	}
	if seconds <= 0 {
		return 0
	}
	return float64(c.Slots) * seconds / total / c.StreamTime.Seconds()
}

// overShare reports whether an organisation sends more than its fair share. q.mu is held.
func (q *Queue) overShare(now time.Time, organisation string) bool {
	own := q.organisations[organisation]
	if own == nil || len(q.organisations) < 2 {
		return false
	}
	total, active := 0.0, 0
	for _, o := range q.organisations {
		if n := o.get(now); n >= forgotten {
			total += n
			active++
		}
	}
	n := own.get(now)
	return active >= 2 && n*float64(active-1) >= fairShareFactor*(total-n)
}

// Order is the place of a priority among the recent arrivals.
type Order struct {
	// ShareBefore is the share of the arrivals that are at least as urgent: at an engine a request waits only
	// for these. It is positive.
	ShareBefore float64
	// LongestTarget is the longest target latency of the arrivals, and LongestTargetAfter that of the less urgent
	// ones; 0 if there are none.
	LongestTarget, LongestTargetAfter time.Duration
}

// Order returns the place of a priority among the recent arrivals, if there are several priorities.
func (q *Queue) Order(now time.Time, priority int) Order {
	q.mu.Lock()
	defer q.mu.Unlock()
	o := Order{ShareBefore: 1}
	total, before := 0.0, 0.0
	for p, c := range q.classes {
		n := c.get(now)
		if n < forgotten {
			continue
		}
		total += n
		if p <= priority {
			before += n
		}
		if p != priority {
			o.LongestTarget = max(o.LongestTarget, c.target)
		}
		if p > priority {
			o.LongestTargetAfter = max(o.LongestTargetAfter, c.target)
		}
	}
	if before > 0 {
		o.ShareBefore = before / total
	}
	return o
}

// JoinLate returns the place of a late request among those that wait for a late slot.
func (q *Queue) JoinLate(r Request) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.late.join(r)
}

// GrantLate gives slots to the first of the late requests while acquire returns true, and reports whether t has
// got one.
func (q *Queue) GrantLate(t *Ticket, acquire func() bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !t.granted {
		first, _ := q.late.first()
		if first == nil || !acquire() {
			break
		}
		first.granted = true
		q.late.leave(first, true)
	}
	return t.granted
}

// LeaveLate removes a late request, and reports whether it had got a slot.
func (q *Queue) LeaveLate(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.late.leave(t, false)
	return t.granted
}

// Waiting returns the number of waiting requests by priority.
func (q *Queue) Waiting() map[int]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := make(map[int]int)
	q.waiting.lengths(counts)
	q.late.lengths(counts)
	return counts
}

package flowcontrol

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuehub/fescuehub/pkg/tables"
)

var start = time.Unix(1_700_000_000, 0)

func classOf(batch bool) tables.Class {
	if batch {
		return tables.Batch
	}
	return tables.Interactive
}

// TestControllerInvariants sends random events to a controller. After each event it is
// work-conserving, every bound holds, and each ticket has at most one final decision.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		c := New(Limits{QueueLimit: limit, AgingBound: 5 * time.Second})
		total := rapid.IntRange(1, 6).Draw(t, "capacity")
		c.SetCapacity(now, 1, total, 0)
		decided := make(map[*Ticket]int)
		queue := make(map[*Ticket]bool)
		var active []*Ticket
		requeued := 0
		apply := func(actions []Action) {
			for _, a := range actions {
				decided[a.Ticket]++
				delete(queue, a.Ticket)
				if decided[a.Ticket] > 1 {
					t.Fatalf("ticket decided %d times", decided[a.Ticket])
				}
				if a.Refusal == nil {
					active = append(active, a.Ticket)
					continue
				}
				if w := a.Refusal.RetryAfter; w < minRetryAfter || w > maxRetryAfter {
					t.Fatalf("RetryAfter %v is out of range", w)
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			random := rapid.Uint64().Draw(t, "random")
			if !c.pausedUntil.IsZero() && !now.Before(c.pausedUntil) {
				apply(c.Reassess(now, random)) // the caller's timer at the end of a pause
			}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				r := Request{
					Organisation: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "organisation")),
					Share:        rapid.IntRange(0, 4).Draw(t, "share"),
					Class:        classOf(rapid.Bool().Draw(t, "batch")),
					Deadline:     now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "deadline")) * time.Second),
				}
				ticket, actions := c.Arrive(now, r, random)
				queue[ticket] = true
				apply(actions)
			case 3:
				if len(active) > 0 {
					i := rapid.IntRange(0, len(active)-1).Draw(t, "done")
					ticket := active[i]
					active = append(active[:i], active[i+1:]...)
					apply(c.Done(now, ticket, Result(rapid.IntRange(0, 1).Draw(t, "result")), random))
				}
			case 6:
				if len(active) > 0 {
					ticket := active[0]
					active = active[1:]
					decided[ticket]--
					requeued++
					queue[ticket] = true
					apply(c.Requeue(now, ticket, random))
				}
			case 4:
				apply(c.Reassess(now, random))
			case 5:
				total = rapid.IntRange(0, 6).Draw(t, "capacity")
				apply(c.SetCapacity(now, 1, total, random))
			}
			if c.pausedUntil.Sub(now) > maxPause {
				t.Fatalf("admissions paused for %v", c.pausedUntil.Sub(now))
			}
			if c.freeSlots() > 0 && c.Waiting() > 0 && !now.Before(c.pausedUntil) {
				t.Fatalf("%d slots free while %d requests wait", c.freeSlots(), c.Waiting())
			}
			if c.Waiting() != len(queue) || c.Waiting() > limit+requeued || c.InFlight() != len(active) {
				t.Fatalf("%d requests wait, want %d and at most the limit of %d and those queued again; %d in flight, want %d", c.Waiting(), len(queue), limit, c.InFlight(), len(active))
			}
			for _, f := range c.flows {
				if f.waiting > max(1, limit/organisationQueueDivisor)+requeued {
					t.Fatalf("%d requests of one organisation wait, limit %d", f.waiting, limit)
				}
			}
		}
	})
}

// runBacklog keeps the queue of each organisation filled and serves requests of one second each
// until n have been admitted. It returns the organisations in order of admission.
func runBacklog(c *Controller, shares map[string]int, class func(string) tables.Class, n int) []string {
	now := start
	var order []string
	var active []*Ticket
	names := make(map[*Ticket]string)
	apply := func(actions []Action) {
		for _, a := range actions {
			if a.Refusal == nil {
				active = append(active, a.Ticket)
				order = append(order, names[a.Ticket])
			}
		}
	}
	for len(order) < n {
		for name, share := range shares {
			for f := c.flows[flowKey{name, class(name)}]; f == nil || f.waiting <= c.Window(); f = c.flows[flowKey{name, class(name)}] {
				r := Request{Organisation: name, Share: share, Class: class(name), Deadline: now.Add(time.Hour)}
				ticket, actions := c.Arrive(now, r, 0)
				names[ticket] = name
				for _, a := range actions {
					names[a.Ticket] = a.Ticket.request.Organisation
				}
				apply(actions)
			}
		}
		now = now.Add(time.Second)
		done := active
		active = nil
		for _, ticket := range done {
			apply(c.Done(now, ticket, Served, 0))
		}
	}
	return order
}

// TestAdmissionsFollowShares checks that, while all organisations have waiting requests, the number
// of admissions of each stays within two windows of its share.
func TestAdmissionsFollowShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := rapid.IntRange(1, 8).Draw(t, "window")
		c := New(Limits{QueueLimit: 1000})
		c.SetCapacity(start, window, window, 0)
		shares := make(map[string]int)
		sum := 0
		for i := range rapid.IntRange(2, 6).Draw(t, "organisations") {
			shares[fmt.Sprint(i)] = rapid.IntRange(1, 5).Draw(t, "share")
			sum += shares[fmt.Sprint(i)]
		}
		const n = 600
		got := make(map[string]int)
		for _, name := range runBacklog(c, shares, func(string) tables.Class { return tables.Interactive }, n) {
			got[name]++
		}
		for name, share := range shares {
			want := float64(n*share) / float64(sum)
			if slack := float64(2*window + 2); float64(got[name]) < want-slack || float64(got[name]) > want+slack {
				t.Fatalf("window %d: organisation %s with share %d of %d was admitted %d times, want about %.0f", window, name, share, sum, got[name], want)
			}
		}
	})
}

// TestBatchIsNotStarved checks that, while requests of both classes wait, one admission in
// DefaultBatchEvery is batch, and past the aging bound one in agedBatchEvery.
func TestBatchIsNotStarved(t *testing.T) {
	for _, aged := range []bool{false, true} {
		limits := Limits{QueueLimit: 1000, AgingBound: time.Hour}
		every := DefaultBatchEvery
		if aged {
			limits.AgingBound = time.Nanosecond
			every = agedBatchEvery
		}
		c := New(limits)
		c.SetCapacity(start, 3, 3, 0)
		order := runBacklog(c, map[string]int{"interactive": 4, "batch": 1}, func(name string) tables.Class { return classOf(name == "batch") }, 300)
		interactiveRun, batch := 0, 0
		for _, name := range order[6:] {
			interactiveRun++
			if name == "batch" {
				interactiveRun = 0
				batch++
			}
			if interactiveRun >= every {
				t.Fatalf("aged %t: %d interactive admissions in a row", aged, interactiveRun)
			}
		}
		if aged == false && batch > len(order)/DefaultBatchEvery+2 {
			t.Fatalf("batch got %d of %d admissions, want one in DefaultBatchEvery", batch, len(order))
		}
	}
}

// TestUnreachableDeadlineIsRefused checks that a request that cannot meet its deadline is refused
// on arrival, and a waiting one as soon as its deadline becomes unreachable.
func TestUnreachableDeadlineIsRefused(t *testing.T) {
	c := New(Limits{})
	c.SetCapacity(start, 1, 1, 0)
	request := func(d time.Duration) Request {
		return Request{Organisation: "a", Class: tables.Interactive, Deadline: start.Add(d)}
	}
	first, _ := c.Arrive(start, request(time.Hour), 0)
	now := start.Add(10 * time.Second)
	c.Done(now, first, Served, 0)
	runningTicket, _ := c.Arrive(now, request(time.Hour), 0)
	if _, actions := c.Arrive(now, request(20*time.Second), 0); len(actions) != 1 || actions[0].Refusal.Reason != DeadlineUnreachable {
		t.Fatalf("a request that cannot meet its deadline: got %+v, want one refusal", actions)
	}
	waitingTicket, actions := c.Arrive(now, request(40*time.Second), 0)
	if len(actions) != 0 {
		t.Fatalf("a request that can meet its deadline: got %+v, want it to wait", actions)
	}
	later := now.Add(25 * time.Second)
	if actions := c.Reassess(later, 0); len(actions) != 1 || actions[0].Ticket != waitingTicket {
		t.Fatalf("Reassess with an unreachable deadline: got %+v, want a refusal of the waiting request", actions)
	}
	c.Cancel(later, runningTicket, 0)
	if c.InFlight() != 0 || c.Waiting() != 0 {
		t.Fatalf("%d requests in flight and %d waiting after all have ended", c.InFlight(), c.Waiting())
	}
}

// TestFullQueueDisplacesLongestFlow checks that, with the queue full, a request of an organisation
// with a shorter queue displaces the newest request of the longest queue.
func TestFullQueueDisplacesLongestFlow(t *testing.T) {
	c := New(Limits{QueueLimit: 4})
	c.SetCapacity(start, 1, 1, 0)
	arrive := func(name string) []Action {
		_, actions := c.Arrive(start, Request{Organisation: name, Class: tables.Interactive, Deadline: start.Add(time.Hour)}, 0)
		return actions
	}
	for _, name := range []string{"large", "large", "large", "b", "c"} {
		arrive(name)
	}
	if a := arrive("large"); len(a) != 1 || a[0].Refusal.Reason != OrganisationQueueFull {
		t.Fatalf("got %+v, want a refusal with organisation-queue-full", a)
	}
	if a := arrive("d"); len(a) != 1 || a[0].Refusal.Reason != Displaced || a[0].Ticket.request.Organisation != "large" {
		t.Fatalf("got %+v, want a request of the organisation with the longest queue to be displaced", a)
	}
	if a := arrive("e"); len(a) != 1 || a[0].Refusal.Reason != QueueFull {
		t.Fatalf("got %+v, want a refusal with queue-full", a)
	}
}

// TestWindowBounds checks that the window stays within its bounds, grows only while requests wait,
// and counts the refusals of one burst once.
func TestWindowBounds(t *testing.T) {
	var w Window
	w.SetBounds(4, 20)
	w.Grow(false)
	if w.Size() != 4 {
		t.Fatalf("grew to %d although no request waited", w.Size())
	}
	for range 1000 {
		w.Grow(true)
	}
	if w.Size() != 20 {
		t.Fatalf("size %d after 1000 responses, want the capacity of 20", w.Size())
	}
	w.Shrink(start, 20)
	w.Shrink(start.Add(minDecreaseInterval/2), 20)
	if w.Size() != 19 {
		t.Fatalf("size %d after the refusals of one burst, want 19", w.Size())
	}
	for i := range 100 {
		w.Shrink(start.Add(time.Duration(i+1)*minDecreaseInterval), 20)
	}
	if w.Size() != 4 {
		t.Fatalf("size %d after many refusals, want the share of 4", w.Size())
	}
	w.SetBounds(4, 0)
	if w.Size() != 0 {
		t.Fatalf("size %d without capacity, want 0", w.Size())
	}
}

// TestRetryAfterIsSpread checks that callers refused at the same instant are told to retry in
// consecutive slots, at half the pool's service rate.
func TestRetryAfterIsSpread(t *testing.T) {
	var r retrySlots
	const rate = 40
	perSecond := make(map[int]int)
	for range 1000 {
		perSecond[int(r.reserve(start, rate, 0, 0)/time.Second)]++
	}
	for second, n := range perSecond {
		if n > rate*retryRateShare+1 {
			t.Fatalf("%d callers retry in second %d, more than half the service rate", n, second)
		}
	}
}

// TestIdleFlowsAreRemoved checks that organisations without requests do not stay in memory.
func TestIdleFlowsAreRemoved(t *testing.T) {
	c := New(Limits{})
	c.SetCapacity(start, 8, 8, 0)
	now := start
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		r := Request{Organisation: fmt.Sprint(i), Class: tables.Interactive, Deadline: now.Add(time.Hour)}
		ticket, _ := c.Arrive(now, r, 0)
		c.Done(now.Add(time.Second), ticket, Served, 0)
	}
	if c.Flows() > 2*minSweepArrivals+2 {
		t.Fatalf("%d flows kept in memory", c.Flows())
	}
}

// BenchmarkAdmit measures one cycle of arrival, wait, admission and end while requests of every
// organisation wait.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 4_900} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			c := New(Limits{QueueLimit: 4 * n})
			c.SetCapacity(start, 8, 8, 0)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("organisation-%d", i)
			}
			deadline := start.Add(24 * time.Hour)
			var active []*Ticket
			arrive := func(i int) {
				_, actions := c.Arrive(start, Request{Organisation: names[i%n], Class: tables.Interactive, Deadline: deadline}, 0)
				for _, a := range actions {
					active = append(active, a.Ticket)
				}
			}
			for i := range n + 8 {
				arrive(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				ticket := active[0]
				active = active[1:]
				for _, a := range c.Done(start, ticket, Served, 0) {
					active = append(active, a.Ticket)
				}
				arrive(i)
			}
			b.ReportMetric(float64(c.Waiting()), "waiting")
		})
	}
}

// BenchmarkMemory measures the bytes held for each organisation with a waiting request.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{100, 1_000, 4_900} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := New(Limits{QueueLimit: 2 * n})
				c.SetCapacity(start, 8, 8, 0)
				for i := range n + 8 {
					c.Arrive(start, Request{Organisation: strconv.Itoa(i), Class: tables.Interactive, Deadline: start.Add(time.Hour)}, 0)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				if c.Waiting() != n {
					b.Fatalf("%d requests wait", c.Waiting())
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/organisation")
		})
	}
}

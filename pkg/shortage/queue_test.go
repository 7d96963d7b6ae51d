package shortage_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/shortage"
)

var start = time.Unix(1_700_000_000, 0)

const target = 500 * time.Millisecond

// full is a service without a free slot.
var full = shortage.Capacity{Slots: 720, StreamTime: 1800 * time.Millisecond}

func noneFree() shortage.Capacity { return full }

func free(slots int) shortage.Capacity {
	c := full
	c.Free = slots
	return c
}

func request(priority int, organisation string) shortage.Request {
	return shortage.Request{Priority: priority, Organisation: organisation, SendBy: start.Add(target)}
}

// arrive counts n requests of a priority and an organisation.
func arrive(q *shortage.Queue, n, priority int, organisation string) {
	for range n {
		q.Arrive(start, priority, organisation, target)
	}
}

// sendAll returns the names of the waiting requests in the order in which they are sent while all slots are free.
func sendAll(q *shortage.Queue, names []string, tickets []*shortage.Ticket) []string {
	var order []string
	for range tickets {
		for n, t := range tickets {
			if t != nil && q.MaySend(start, t, func() shortage.Capacity { return free(720) }) {
				order, tickets[n] = append(order, names[n]), nil
				break
			}
		}
	}
	return order
}

// TestOrderOfWaitingRequests guards against less urgent requests that go before more urgent ones, and against an
// organisation that takes the turns of another one because it has more requests.
func TestOrderOfWaitingRequests(t *testing.T) {
	q := shortage.NewQueue()
	arrive(q, 50, 0, "a")
	arrive(q, 1, 1, "a")
	var names []string
	var tickets []*shortage.Ticket
	for n, r := range []shortage.Request{request(2, "a"), request(1, "a"), request(1, "a"), request(1, "a"), request(1, "b"), request(2, "b"), request(1, "b")} {
		names = append(names, fmt.Sprintf("%d%s%d", r.Priority, r.Organisation, n))
		tickets = append(tickets, q.Join(start, r, noneFree))
	}
	if got, want := sendAll(q, names, tickets), []string{"1a1", "1b4", "1a2", "1b6", "1a3", "2a0", "2b5"}; !slices.Equal(got, want) {
		t.Errorf("the order is %v, want %v", got, want)
	}
	if n := q.Waiting()[1] + q.Waiting()[2]; n != 0 {
		t.Errorf("%d requests still wait", n)
	}
}

// TestLeastUrgentGetTurns guards against requests of low urgency that get no turn while more urgent ones always wait.
func TestLeastUrgentGetTurns(t *testing.T) {
	q := shortage.NewQueue()
	arrive(q, 50, 0, "")
	arrive(q, 1, 1, "")
	var names []string
	var tickets []*shortage.Ticket
	for n := range 48 {
		priority := 1
		if n < 2 {
			priority = 2 + n
		}
		names, tickets = append(names, fmt.Sprint(priority)), append(tickets, q.Join(start, request(priority, ""), noneFree))
	}
	order := sendAll(q, names, tickets)
	if second, third := slices.Index(order, "2"), slices.Index(order, "3"); min(second, third) != 7 || max(second, third) != 15 {
		t.Errorf("the least urgent have turns %d and %d, want 7 and 15 in every order", second, third)
	}
}

// TestWhoWaits guards against requests that wait although nothing comes before them: the most urgent ones, those of
// services with one priority and one organisation, and all while enough slots are free.
func TestWhoWaits(t *testing.T) {
	for _, c := range []struct {
		name    string
		arrived func(q *shortage.Queue)
		r       shortage.Request
		c       shortage.Capacity
		gap     time.Duration
		waits   bool
	}{
		{"one priority, one organisation", func(q *shortage.Queue) { arrive(q, 50, 1, "a") }, request(1, "a"), full, 0, false},
		{"the most urgent", func(q *shortage.Queue) { arrive(q, 50, 0, ""); arrive(q, 50, 1, "") }, request(0, ""), full, 0, false},
		{"less urgent, no free slot", func(q *shortage.Queue) { arrive(q, 50, 0, ""); arrive(q, 50, 1, "") }, request(1, ""), full, 0, true},
		// Half of the arrivals are more urgent. They take half of 720 slots in 1.8 s, so 100 in their 0.5 s.
		{"fewer slots than the urgent take", func(q *shortage.Queue) { arrive(q, 50, 0, ""); arrive(q, 50, 1, "") }, request(1, ""), free(99), 0, true},
		{"more slots than the urgent take", func(q *shortage.Queue) { arrive(q, 50, 0, ""); arrive(q, 50, 1, "") }, request(1, ""), free(101), 0, false},
		{"long passes", func(q *shortage.Queue) { arrive(q, 50, 0, ""); arrive(q, 50, 1, "") }, request(1, ""), free(700), 200 * time.Millisecond, true},
		{"long passes, the most urgent", func(q *shortage.Queue) { arrive(q, 50, 0, ""); arrive(q, 50, 1, "") }, request(0, ""), free(700), 200 * time.Millisecond, false},
		{"large of two organisations, no free slot", func(q *shortage.Queue) { arrive(q, 50, 1, "a"); arrive(q, 5, 1, "b") }, request(1, "a"), full, 0, true},
		{"large of three organisations, no free slot", func(q *shortage.Queue) { arrive(q, 50, 1, "a"); arrive(q, 5, 1, "b"); arrive(q, 5, 1, "c") }, request(1, "a"), full, 0, true},
		{"large of three organisations, a free slot", func(q *shortage.Queue) { arrive(q, 50, 1, "a"); arrive(q, 5, 1, "b"); arrive(q, 5, 1, "c") }, request(1, "a"), free(1), 0, false},
		{"small organisation, no free slot", func(q *shortage.Queue) { arrive(q, 50, 1, "a"); arrive(q, 5, 1, "b"); arrive(q, 5, 1, "c") }, request(1, "b"), full, 0, false},
	} {
		q := shortage.NewQueue()
		c.arrived(q)
		for range 100 {
			q.RecordGap(start, c.gap)
		}
		r := c.r
		r.MaxGap = 150 * time.Millisecond
		if waits := q.Join(start, r, func() shortage.Capacity { return c.c }) != nil; waits != c.waits {
			t.Errorf("%s: waits %v, want %v", c.name, waits, c.waits)
		}
	}
}

// TestNoRequestWaitsPastItsTime guards against requests that become late in the queue, and against a queue that grows
// beyond the slots of the service.
func TestNoRequestWaitsPastItsTime(t *testing.T) {
	q := shortage.NewQueue()
	arrive(q, 50, 0, "")
	arrive(q, 1, 1, "")
	first, second := q.Join(start, request(1, ""), noneFree), q.Join(start, request(1, ""), noneFree)
	if q.MaySend(start.Add(target-1), second, noneFree) {
		t.Error("a request is sent before its time although no slot is free")
	}
	if !q.MaySend(start.Add(target), second, noneFree) {
		t.Error("a request that can wait no longer is not sent")
	}
	q.Leave(first)
	q.Leave(first) // a second time has no effect
	if n := q.Waiting()[1]; n != 0 {
		t.Errorf("%d requests wait, want none", n)
	}
	if q.Join(start.Add(target), request(1, ""), noneFree) != nil {
		t.Error("a request waits that can wait no longer")
	}
	held := 0
	for range 2 * full.Slots {
		if q.Join(start, request(1, ""), noneFree) != nil {
			held++
		}
	}
	if held != full.Slots {
		t.Errorf("%d requests are held at %d slots", held, full.Slots)
	}
}

// TestCallerThatLeavesFreesItsPlace guards against a queue that stands still behind a request whose caller has left.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	q := shortage.NewQueue()
	arrive(q, 50, 0, "")
	arrive(q, 1, 1, "")
	left, next := q.Join(start, request(1, ""), noneFree), q.Join(start, request(2, ""), noneFree)
	all := func() shortage.Capacity { return free(720) }
	if q.MaySend(start, next, all) {
		t.Error("the less urgent request goes before the more urgent one")
	}
	q.Leave(left)
	if !q.MaySend(start, next, all) {
		t.Error("the next request does not go on")
	}
}

// TestLateSlotsFollowUrgency guards against late slots that go to whichever request asks first, and against a slot that
// is lost with a request whose caller leaves.
func TestLateSlotsFollowUrgency(t *testing.T) {
	q := shortage.NewQueue()
	least, urgent := q.JoinLate(request(2, "")), q.JoinLate(request(0, ""))
	slots := 1
	acquire := func() bool { slots--; return slots >= 0 }
	if q.GrantLate(least, acquire) {
		t.Error("the least urgent request gets the only slot")
	}
	if !q.GrantLate(urgent, acquire) {
		t.Error("the most urgent request gets no slot")
	}
	if !q.LeaveLate(urgent) || q.LeaveLate(least) {
		t.Error("only the request that got a slot has to release it")
	}
}

// TestUrgentAreRefusedLast guards against urgent requests that count the less urgent ones as a queue before them.
func TestUrgentAreRefusedLast(t *testing.T) {
	q := shortage.NewQueue()
	arrive(q, 36, 0, "")
	arrive(q, 48, 1, "")
	for range 16 {
		q.Arrive(start, 2, "", 2*target)
	}
	for _, c := range []struct {
		priority int
		want     shortage.Order
	}{
		{0, shortage.Order{ShareBefore: 0.36, LongestTarget: 2 * target, LongestTargetAfter: 2 * target}},
		{1, shortage.Order{ShareBefore: 0.84, LongestTarget: 2 * target, LongestTargetAfter: 2 * target}},
		{2, shortage.Order{ShareBefore: 1, LongestTarget: target}},
	} {
		got := q.Order(start, c.priority)
		got.ShareBefore = float64(int(got.ShareBefore*100+0.5)) / 100
		if got != c.want {
			t.Errorf("priority %d: %+v, want %+v", c.priority, got, c.want)
		}
	}
	if got := shortage.NewQueue().Order(start, 0); got != (shortage.Order{ShareBefore: 1}) {
		t.Errorf("without arrivals: %+v", got)
	}
}

// BenchmarkQueue measures the decisions for one request: count it, join, one check that it is first, leave. The
// requests that wait at one entry are as many as its part of one second of L's requests at the given number of entries.
func BenchmarkQueue(b *testing.B) {
	for _, entries := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(entries, "-entries"), func(b *testing.B) {
			q := shortage.NewQueue()
			for n := range 24 {
				arrive(q, 10, n%3, fmt.Sprint(n))
			}
			for n := range max(253/entries, 1) {
				q.Join(start, request(1+n%2, fmt.Sprint(n%24)), noneFree)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Arrive(start, 1, "1", target)
				t := q.Join(start, request(1, "1"), noneFree)
				q.MaySend(start, t, noneFree)
				q.Order(start, 1)
				q.Leave(t)
			}
		})
	}
}

// TestGuaranteedTurnHoldsNobodyUp guards against a less urgent request whose guaranteed turn has come but for which too
// few slots are free, and which keeps all more urgent ones waiting until they are sent without a turn.
func TestGuaranteedTurnHoldsNobodyUp(t *testing.T) {
	q := shortage.NewQueue()
	arrive(q, 40, 0, "a")
	arrive(q, 40, 1, "a")
	arrive(q, 20, 2, "a")
	less := q.Join(start, request(2, "a"), noneFree)
	var urgent []*shortage.Ticket
	for range 20 {
		urgent = append(urgent, q.Join(start, request(1, "a"), noneFree))
	}
	// Priority 0 takes 80 of the 720 slots within its target latency, priorities 0 and 1 take 160.
	between := func() shortage.Capacity { return free(120) }
	lessSent := 0
	for round := range urgent {
		sent := false
		for n, ticket := range append(urgent, less) {
			if ticket == nil || !q.MaySend(start, ticket, between) {
				continue
			}
			sent = true
			if ticket == less {
				less, lessSent = nil, round
			} else {
				urgent[n] = nil
			}
			break
		}
		if !sent {
			t.Fatalf("after %d requests no more is sent although 120 slots are free", round)
		}
	}
	if lessSent != 7 {
		t.Errorf("the guaranteed turn is number %d, want number 7, counted from 0", lessSent)
	}
}

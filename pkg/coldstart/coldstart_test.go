package coldstart_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/fleet"
)

func coldServer(left time.Duration) fleet.Server {
	return fleet.Server{ID: "i", Service: "s", Incarnation: 1, WarmupLeft: left}
}

// newLimiter returns the limiter of the first of several entries, which it has learned at second 0.
func newLimiter(entries int, rate float64, b coldstart.Bounds) *coldstart.Limiter {
	l := coldstart.New("front-0", b)
	l.SetServices([]fleet.Service{{Name: "s", ColdPerSecond: rate}})
	for n := 1; n < entries; n++ {
		l.Hear(at(0), fmt.Sprint("front-", n))
	}
	l.EntriesRead(at(0))
	return l
}

// takeAll returns how many requests an entry may send to a server at a time.
func takeAll(l *coldstart.Limiter, now time.Time, s fleet.Server) int {
	n := 0
	for n < 1000 && l.Take(now, s) {
		n++
	}
	return n
}

// TestServicesWithoutRateHaveNoLimit guards against a change of services whose configuration states no rate.
func TestServicesWithoutRateHaveNoLimit(t *testing.T) {
	for _, services := range [][]fleet.Service{nil, {{Name: "s"}}, {{Name: "s"}, {Name: "other", ColdPerSecond: 18}}} {
		l := coldstart.New("front-0", coldstart.Bounds{})
		l.SetServices(services)
		s := coldServer(3 * time.Second)
		l.Announce(at(0), s)
		l.SetServers([]fleet.Server{s})
		if l.Admission(at(1), s) != coldstart.Open || l.Wait(at(1), s) != 0 || !l.Take(at(1), s) || l.Cold(at(1), s) {
			t.Errorf("%+v: the server is limited", services)
		}
		if changes, cold, usage := l.Advance(at(1)); len(changes) != 0 || cold != 0 || usage.Sent != 0 {
			t.Errorf("%+v: changes %v, %d cold, usage %+v; want none", services, changes, cold, usage)
		}
	}
}

// TestSharesAddUpToTheRate guards against shares that together are more or less than what a server can handle, also where
// the entries are fewer or more than its requests.
func TestSharesAddUpToTheRate(t *testing.T) {
	for _, entries := range []int{1, 3, 10, 18, 42, 150, 300} {
		for _, rate := range []float64{0.5, 1, 18, 18.9, 200} {
			sum := 0
			for self := range entries {
				l := coldstart.New(fmt.Sprint("front-", self), coldstart.Bounds{})
				l.SetServices([]fleet.Service{{Name: "s", ColdPerSecond: rate}})
				for n := range entries {
					l.Hear(at(0), fmt.Sprint("front-", n))
				}
				l.EntriesRead(at(0))
				s := coldServer(20 * time.Second)
				l.Announce(at(0), s)
				l.SetServers([]fleet.Server{s})
				sum += takeAll(l, at(5), s)
				if more := takeAll(l, at(5.9), s); more != 0 {
					t.Errorf("%d entries, rate %g: %d more requests within a second", entries, rate, more)
				}
			}
			if want := max(int(rate), 1); sum != want {
				t.Errorf("%d entries, rate %g: %d requests of all, want %d", entries, rate, sum, want)
			}
		}
	}
}

// TestShareIsEmptyUntilEntriesAreKnown guards against an entry that restarts and sends its share a second time, and
// one that takes itself for the only one.
func TestShareIsEmptyUntilEntriesAreKnown(t *testing.T) {
	s := coldServer(20 * time.Second)
	for name, c := range map[string]struct {
		learn      func(l *coldstart.Limiter)
		closed     float64
		open       float64
		closedWait time.Duration
	}{
		"unknown":           {func(*coldstart.Limiter) {}, 19, 20.5, time.Second},
		"read":              {func(l *coldstart.Limiter) { l.EntriesRead(at(1)) }, 1.9, 2.1, 100 * time.Millisecond},
		"only told":         {func(l *coldstart.Limiter) { l.Hear(at(1), "front-1") }, 3.9, 4.1, 100 * time.Millisecond},
		"told, then read":   {func(l *coldstart.Limiter) { l.Hear(at(1), "front-1"); l.EntriesRead(at(1.5)) }, 2.4, 2.6, 100 * time.Millisecond},
		"told by itself":    {func(l *coldstart.Limiter) { l.Hear(at(1), "front-0") }, 19, 20.5, time.Second},
		"told, read late":   {func(l *coldstart.Limiter) { l.Hear(at(1), "front-1"); l.EntriesRead(at(9)) }, 3.9, 4.1, 100 * time.Millisecond},
		"read for a second": {func(l *coldstart.Limiter) { l.EntriesRead(at(1)); l.EntriesRead(at(1.8)) }, 1.9, 2.1, 100 * time.Millisecond},
	} {
		l := coldstart.New("front-0", coldstart.Bounds{})
		l.SetServices([]fleet.Service{{Name: "s", ColdPerSecond: 18}})
		l.Announce(at(0), s)
		l.SetServers([]fleet.Server{s})
		c.learn(l)
		if l.Take(at(c.closed), s) {
			t.Errorf("%s: a request was sent at %g s", name, c.closed)
		}
		if wait := l.Wait(at(c.closed), s); (wait - c.closedWait).Abs() > time.Millisecond {
			t.Errorf("%s: wait of %v at %g s, want %v", name, wait, c.closed, c.closedWait)
		}
		if !l.Take(at(c.open), s) {
			t.Errorf("%s: no request may be sent at %g s", name, c.open)
		}
	}
}

// TestColdStateFollowsAnnouncements guards against a cold state that ends early or late: it ends when the stated time
// has passed since the reading or when an announcement says so, and starts again at any moment.
func TestColdStateFollowsAnnouncements(t *testing.T) {
	l := newLimiter(1, 18, coldstart.Bounds{})
	step := func(seconds float64, sequence int64, left time.Duration) {
		s := coldServer(left)
		s.Sequence = sequence
		l.Announce(at(seconds), s)
	}
	check := func(seconds float64, want bool) {
		t.Helper()
		if got := l.Cold(at(seconds), coldServer(0)); got != want {
			t.Errorf("at %g s: cold %v, want %v", seconds, got, want)
		}
	}
	check(1, false)
	step(1, 4, 3*time.Second)
	check(3.9, true)
	check(4, false) // the next announcement is late
	step(2, 5, 3*time.Second)
	step(3, 5, 3*time.Second) // the same record is read again
	check(4.9, true)
	check(5, false)
	step(3.5, 6, 0)
	step(3.6, 5, 3*time.Second) // an older record
	check(3.6, false)
	step(6, 7, 2*time.Second) // it turns cold again
	check(7, true)
	restarted := coldServer(time.Second)
	restarted.Incarnation, restarted.Sequence = 2, 1
	l.Announce(at(7), restarted)
	if !l.Cold(at(7.5), restarted) || l.Cold(at(8.1), restarted) {
		t.Error("the restarted server must be cold for a second")
	}
	step(9, 0, time.Second) // a server that states no sequence
	check(9.5, true)
}

// TestRequestsBeforeTheColdStateCount guards against an entry that sends its share to a server that has just turned
// cold, right after as many requests to the same start of it.
func TestRequestsBeforeTheColdStateCount(t *testing.T) {
	l := newLimiter(1, 18, coldstart.Bounds{})
	s := coldServer(0)
	l.Announce(at(2), s)
	l.SetServers([]fleet.Server{s})
	for range 12 {
		l.Take(at(5), s)
	}
	s.WarmupLeft = 3 * time.Second
	l.Announce(at(5.5), s)
	if n := takeAll(l, at(5.5), s); n != 6 {
		t.Errorf("%d requests, want the 6 that are left of 18", n)
	}
	if wait := l.Wait(at(5.5), s); wait != 500*time.Millisecond {
		t.Errorf("wait of %v, want 0.5 s until the first request is a second old", wait)
	}
	if n := takeAll(l, at(6), s); n != 12 {
		t.Errorf("%d requests a second after the first, want 12", n)
	}
}

// TestAimFollowsTheRule guards against entries that aim above the operators' rule where it allows less than the rate.
func TestAimFollowsTheRule(t *testing.T) {
	for _, c := range []struct {
		bounds coldstart.Bounds
		want   int
	}{{coldstart.Bounds{}, 18}, {coldstart.Bounds{Overage: 1.5, Slack: 5}, 18}, {coldstart.Bounds{Overage: 0.5}, 9}, {coldstart.Bounds{Slack: 4}, 4}} {
		l := newLimiter(1, 18, c.bounds)
		s := coldServer(5 * time.Second)
		l.Announce(at(1), s)
		if n := takeAll(l, at(2), s); n != c.want {
			t.Errorf("%+v: %d requests a second, want %d", c.bounds, n, c.want)
		}
	}
}

// TestEntriesWithoutShareGetTheRoom guards against entries that serve nothing while all servers of a service are cold,
// and against more requests than half of the room between the rate and the rule for them.
func TestEntriesWithoutShareGetTheRoom(t *testing.T) {
	const entries = 42
	var servers []fleet.Server
	for n := range 4 {
		servers = append(servers, fleet.Server{ID: fmt.Sprint("i-", n), Service: "s", Incarnation: 1, WarmupLeft: 3 * time.Second})
	}
	sent, unserved := make(map[string]int), 0
	for self := range entries {
		l := coldstart.New(fmt.Sprint("front-", self), coldstart.Bounds{Overage: overage, Slack: slack})
		l.SetServices([]fleet.Service{{Name: "s", ColdPerSecond: perSecond}})
		for n := range entries {
			l.Hear(at(0), fmt.Sprint("front-", n))
		}
		l.EntriesRead(at(0))
		l.SetServers(servers)
		for _, s := range servers {
			l.Announce(at(1), s)
		}
		all := 0
		for _, s := range servers {
			n := takeAll(l, at(2), s)
			sent[s.ID] += n
			all += n
		}
		if all == 0 {
			unserved++
		}
	}
	for id, n := range sent {
		if n < perSecond || n > perSecond+7 {
			t.Errorf("%d requests of all at %s, want 18 to 25", n, id)
		}
	}
	if unserved > 0 {
		t.Errorf("%d of %d entries have no server", unserved, entries)
	}
}

// TestSilentEntriesKeepTheirShare guards against entries that take the share of one that is cut off from them and
// still reaches the servers, and against shares of entries that are gone for good.
func TestSilentEntriesKeepTheirShare(t *testing.T) {
	for after, want := range map[float64]int{1800: 9, 3700: 18} {
		l := newLimiter(2, 18, coldstart.Bounds{})
		l.Advance(at(after))
		s := coldServer(3 * time.Second)
		l.Announce(at(after), s)
		if n := takeAll(l, at(after+1), s); n != want {
			t.Errorf("%g s after the last message of the other entry: %d requests, want %d", after, n, want)
		}
	}
}

// TestAdvanceReportsChangesAndUsage checks what logs and metrics show.
func TestAdvanceReportsChangesAndUsage(t *testing.T) {
	l := newLimiter(2, 18, coldstart.Bounds{})
	s := coldServer(3 * time.Second)
	l.Announce(at(2), s)
	l.SetServers([]fleet.Server{s})
	takeAll(l, at(2), s)
	l.RecordRefusal()
	changes, cold, usage := l.Advance(at(2))
	if len(changes) != 1 || !changes[0].Cold || changes[0].Share != 9 || changes[0].Entries != 2 || changes[0].Left != 3*time.Second || cold != 1 {
		t.Errorf("changes %+v, %d cold", changes, cold)
	}
	if usage.Sent != 9 || usage.Refused != 1 {
		t.Errorf("usage %+v, want 9 sent and 1 refused", usage)
	}
	if changes, cold, _ = l.Advance(at(5)); len(changes) != 1 || changes[0].Cold || cold != 0 {
		t.Errorf("after the cold state: changes %+v, %d cold", changes, cold)
	}
}

// TestExtremeRates guards against a configuration whose rate exceeds the integers: it must neither end the process nor
// lift the limit.
func TestExtremeRates(t *testing.T) {
	for _, c := range []struct {
		rate float64
		want int
	}{{1e300, 1000}, {1 << 62, 1000}, {1e-12, 1}, {5e-324, 1}} {
		l := newLimiter(1, c.rate, coldstart.Bounds{})
		s := coldServer(time.Minute)
		l.Announce(at(0), s)
		l.SetServers([]fleet.Server{s})
		if n := takeAll(l, at(2), s); n != c.want {
			t.Errorf("rate %g: %d requests, want %d", c.rate, n, c.want)
		}
		s.WarmupLeft = 0
		l.Announce(at(3), s)
		if state := l.Admission(at(3.5), s); state == coldstart.Closed || c.rate > 1 && state != coldstart.Open {
			t.Errorf("rate %g: state %d after the cold state", c.rate, state)
		}
	}
}

// TestWarmServersTakeBoundedMemory guards against memory that grows with the requests to servers that are not cold,
// where the rate for cold ones is low.
func TestWarmServersTakeBoundedMemory(t *testing.T) {
	l := newLimiter(1, 0.001, coldstart.Bounds{})
	s := coldServer(0)
	l.Announce(at(0), s)
	l.SetServers([]fleet.Server{s})
	const requests = 100_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range requests {
		if !l.Take(at(10+float64(n)/1000), s) {
			t.Fatalf("request %d is not sent", n)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 256<<10 {
		t.Errorf("the heap grew by %d bytes with %d requests, want at most 256 KB", grown, requests)
	}
	runtime.KeepAlive(l)
}

package coldstart_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

const (
	// perSecond is the rate that a cold server can handle, and overage and slack state the operators' rule.
	perSecond, overage, slack = 18, 1.5, 5
	// coldTime is how long servers are cold.
	coldTime = 3 * time.Second
	// The announcements of a server come every announceInterval, and reach each entry within readDelay.
	announceInterval = 1200 * time.Millisecond
	readDelay        = 300 * time.Millisecond
	// serviceTime is how long a server takes for a request.
	serviceTime = 300 * time.Millisecond
	// travelTime is the longest time from an entry to a server.
	travelTime = 8 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// scenario is a load on a fleet whose servers turn cold.
type scenario struct {
	name             string
	entries, servers int
	// perSecond is the number of requests per second at all entries together.
	load float64
	// cold returns whether server n of the fleet turns cold at 2 s.
	cold func(n int) bool
	// known is the share of the other entries that each entry has in its list at first; it hears of the rest within
	// learnTime, never if that is 0.
	known     float64
	learnTime time.Duration
	// restart is the time between two restarts of entries, each under a new name; 0 for none.
	restart time.Duration
	// idle is true if the cold servers have restarted and have nothing to do, rather than turned cold at work.
	idle bool
	// stagger is the time in which the servers turn cold one after another.
	stagger time.Duration
	// served is true if at most 1 in 100 requests may be refused.
	served bool
	// off is true if the entries do not limit their requests.
	off bool
}

// modelEntry is an entry of the model.
type modelEntry struct {
	name     string
	limiter  *coldstart.Limiter
	balancer *balance.Balancer
	servers  map[string]fleet.Server
}

// modelServer is a server of the model.
type modelServer struct {
	fleet.Server
	coldAt, coldUntil time.Time
	// arrivals are the times at which requests arrived while it was cold.
	arrivals []time.Time
	// after counts the arrivals in the second after that.
	after int
}

type event struct {
	at  time.Time
	run func(now time.Time)
}

// events is a heap of events by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type model struct {
	scenario
	random   *rand.Rand
	service  *fleet.Service
	members  []*modelEntry
	backends []*modelServer
	byID     map[string]*modelServer
	events   events
	started  int
	sent     int
	refused  int
}

func (m *model) later(at time.Time, run func(now time.Time)) {
	heap.Push(&m.events, event{at, run})
}

func (m *model) delay(longest time.Duration) time.Duration {
	return time.Duration(m.random.Float64() * float64(longest))
}

// start starts an entry, which reads the list of those before it and tells them of itself.
func (m *model) start(now time.Time) *modelEntry {
	m.started++
	name := fmt.Sprintf("front-%d", m.started)
	e := &modelEntry{name: name, limiter: coldstart.New(name, coldstart.Bounds{Overage: overage, Slack: slack}), balancer: balance.New(ratelimit.New(name))}
	e.balancer.LimitCold(e.limiter)
	if !m.off {
		e.limiter.SetServices([]fleet.Service{*m.service})
	}
	m.readServers(now, e)
	return e
}

// introduce makes an entry known to the others and the others to it.
func (m *model) introduce(now time.Time, e *modelEntry) {
	for _, other := range m.members {
		if other == e {
			continue
		}
		for _, pair := range [][2]*modelEntry{{e, other}, {other, e}} {
			if m.random.Float64() < m.known {
				pair[0].limiter.Hear(now, pair[1].name)
			} else if m.learnTime > 0 {
				m.later(now.Add(m.delay(m.learnTime)), func(now time.Time) { pair[0].limiter.Hear(now, pair[1].name) })
			}
		}
	}
	e.limiter.EntriesRead(now)
}

// readServers gives an entry the announcements of all servers.
func (m *model) readServers(now time.Time, e *modelEntry) {
	e.servers = make(map[string]fleet.Server)
	for _, s := range m.backends {
		e.apply(now, s.announcement(now))
	}
}

// announcement returns what a server announces.
func (s *modelServer) announcement(now time.Time) fleet.Server {
	a := s.Server
	a.WarmupLeft = max(s.coldUntil.Sub(now), 0)
	return a
}

// apply gives the entry one announcement.
func (e *modelEntry) apply(now time.Time, a fleet.Server) {
	e.limiter.Announce(now, a)
	old, known := e.servers[a.ID]
	if known && old.Incarnation >= a.Incarnation {
		return
	}
	e.servers[a.ID] = a
	e.balancer.SetServers(slices.SortedFunc(maps.Values(e.servers), func(a, b fleet.Server) int { return strings.Compare(a.ID, b.ID) }))
}

// announce sends the announcement of one server to all entries.
func (m *model) announce(now time.Time, s *modelServer) {
	s.Sequence++
	a := s.announcement(now)
	for _, e := range m.members {
		m.later(now.Add(m.delay(readDelay)), func(now time.Time) { e.apply(now, a) })
	}
}

func (m *model) request(now time.Time) {
	e := m.members[m.random.IntN(len(m.members))]
	s, ok := e.balancer.Choose(now, m.service, nil, m.random.Float64)
	m.sent++
	if !ok || !e.balancer.TakeCold(now, s) {
		m.refused++
		return
	}
	e.balancer.Begin(now, s.ID, 0)
	m.later(now.Add(m.delay(travelTime)), func(now time.Time) {
		switch b := m.byID[s.ID]; {
		case now.Before(b.coldAt):
		case now.Before(b.coldUntil):
			b.arrivals = append(b.arrivals, now)
		case now.Sub(b.coldUntil) < time.Second && !b.coldAt.IsZero():
			b.after++
		}
	})
	m.later(now.Add(serviceTime), func(now time.Time) {
		e.balancer.ResponseStarted(now, s.ID, now.Add(-serviceTime))
		e.balancer.End(now, s.ID, 0, balance.Result{Latency: serviceTime, Duration: serviceTime})
	})
}

// result is the most arrivals in a second at one cold server, those in the second after its cold state, and the
// refused requests of all.
type result struct {
	most          int
	mostAfter     int
	refused, sent int
}

// play simulates a scenario until a second after the last server was cold.
func play(s scenario, seed uint64) result {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*modelServer)}
	m.service = &fleet.Service{Name: "s", ColdPerSecond: perSecond}
	if s.servers > 8 {
		m.service.Engine = &fleet.Engine{Slots: 10}
	}
	for n := range s.servers {
		b := &modelServer{Server: fleet.Server{ID: fmt.Sprintf("i-%d", n), Service: "s", Address: fmt.Sprintf("h%d:1", n), Incarnation: 1, Sequence: 1}}
		m.backends, m.byID[b.ID] = append(m.backends, b), b
	}
	for range s.entries {
		m.members = append(m.members, m.start(epoch))
	}
	for _, e := range m.members {
		m.introduce(epoch, e)
	}
	for n, b := range m.backends {
		m.later(at(float64(n)/float64(s.servers)), func(now time.Time) { m.announceRegularly(now, b) })
		if !s.cold(n) {
			continue
		}
		m.later(at(2).Add(m.delay(s.stagger)), func(now time.Time) {
			b.coldAt, b.coldUntil = now, now.Add(coldTime)
			if s.idle {
				b.Incarnation, b.Sequence = b.Incarnation+1, 0
			}
			m.announce(now, b)
		})
	}
	end := at(2).Add(s.stagger + coldTime + time.Second)
	if s.restart > 0 {
		for next := at(1); next.Before(end); next = next.Add(s.restart) {
			m.later(next, m.replaceEntry)
		}
	}
	const tick = 2 * time.Millisecond
	for now := epoch; now.Before(end); now = now.Add(tick) {
		m.advance(now)
		for n := s.load * tick.Seconds(); m.random.Float64() < n/(1+n); {
			m.request(now)
		}
		if now.Sub(epoch)%(120*time.Millisecond) == 0 && s.entries < 12 {
			m.exchangeLoads(now)
		}
	}
	r := result{refused: m.refused, sent: m.sent}
	for _, b := range m.backends {
		r.most, r.mostAfter = max(r.most, mostInSecond(b.arrivals)), max(r.mostAfter, b.after)
	}
	return r
}

func (m *model) announceRegularly(now time.Time, b *modelServer) {
	m.announce(now, b)
	m.later(now.Add(announceInterval), func(now time.Time) { m.announceRegularly(now, b) })
}

// replaceEntry ends an entry and starts one with another name, which knows the others 0.3 s later.
func (m *model) replaceEntry(now time.Time) {
	gone := m.random.IntN(len(m.members))
	e := m.start(now)
	m.later(now.Add(300*time.Millisecond), func(now time.Time) {
		m.introduce(now, e)
		m.members[gone] = e
	})
}

func (m *model) advance(now time.Time) {
	for len(m.events) > 0 && !m.events[0].at.After(now) {
		e := heap.Pop(&m.events).(event)
		e.run(e.at)
	}
}

func (m *model) exchangeLoads(now time.Time) {
	for _, e := range m.members {
		loads := e.balancer.OwnLoads()
		for _, other := range m.members {
			if other != e {
				other.balancer.SetEntryLoads(now, e.name, loads)
			}
		}
	}
}

func mostInSecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for n, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

func everyThird(n int) bool { return n%3 == 0 }
func all(int) bool          { return true }
func only(n int) bool       { return n == 0 }

// scenarios name their loads. On deployment L, 253 model requests per second reach 72 engines and 37 plain ones
// 4 servers; bursts are up to 2.4 times as many.
func scenarios() []scenario {
	var list []scenario
	for _, entries := range []int{10, 42, 150} {
		// Entries of L have 18 x 72 / 42 = 31 requests a second at 72 cold engines and get 14 of a burst.
		enough := entries <= 42
		for _, s := range []scenario{
			{name: "burst, a failure domain turns cold", servers: 72, load: 607, cold: everyThird, served: true},
			{name: "burst, all engines turn cold", servers: 72, load: 607, cold: all, served: enough},
			{name: "burst, all engines restart cold within 2 s", servers: 72, load: 607, cold: all, idle: true, stagger: 2 * time.Second, served: enough},
			{name: "burst, a third of the engines is left and turns cold", servers: 24, load: 607, cold: all},
			{name: "a single engine restarts cold", servers: 72, load: 607, cold: only, idle: true, served: true},
			{name: "burst, a single plain server restarts cold", servers: 4, load: 89, cold: only, idle: true, served: true},
			{name: "all plain servers restart cold", servers: 4, load: 37, cold: all, idle: true},
			{name: "the only server turns cold", servers: 1, load: 12, cold: all},
			{name: "burst, entries know two thirds of each other, plain servers restart cold", servers: 4, load: 89, cold: all, idle: true, known: 2.0 / 3},
			{name: "burst, an entry starts each 0.1 s, known to all within 1.5 s", servers: 4, load: 89, cold: all, idle: true, restart: 100 * time.Millisecond, known: 0.9, learnTime: 1500 * time.Millisecond},
		} {
			s.entries = entries
			if s.known == 0 {
				s.known = 1
			}
			s.name = fmt.Sprintf("%d entries: %s", entries, s.name)
			list = append(list, s)
		}
	}
	return list
}

// maxArrivals is the operators' rule: the arrivals in any second at a cold server, summed over all entries.
const maxArrivals = perSecond*overage + slack

// seedCount returns the number of seeds that the model simulates: 1, or the value of FESCUE_MATRIX_SEEDS.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FESCUE_MATRIX_SEEDS"), 10, 32); err == nil && n > 0 {
		return n
	}
	return 1
}

// TestColdServersStayWithinTheOperatorsRule guards against cold servers that crash since the entries together send them
// more than the operators' rule allows, with no message between entries: they know each other by a list that they
// have read. It also guards against a limit that is kept by refusing callers: at most 1 in 100 where other servers are
// usable or the shares of each entry are at least twice its part of the load.
func TestColdServersStayWithinTheOperatorsRule(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount() {
				r := play(s, seed)
				t.Logf("%s, seed %d: at most %d in a second, %d of %d refused", s.name, seed, r.most, r.refused, r.sent)
				if r.most > maxArrivals {
					t.Errorf("seed %d: %d requests in a second at a cold server, want at most %g", seed, r.most, float64(maxArrivals))
				}
				if s.served && r.refused > r.sent/100 {
					t.Errorf("seed %d: %d of %d requests refused, want at most 1 in 100", seed, r.refused, r.sent)
				}
			}
		})
	}
}

// TestModelBreaksTheRuleWithoutLimit shows that the model above would find entries that do not limit themselves: a
// plain server that restarts has no requests and no latency yet, so that all turn to it.
func TestModelBreaksTheRuleWithoutLimit(t *testing.T) {
	for _, entries := range []int{10, 42, 150} {
		s := scenario{entries: entries, servers: 4, load: 89, cold: only, idle: true, known: 1, off: true}
		if r := play(s, 0); r.most <= maxArrivals {
			t.Errorf("%d entries without a limit send at most %d in a second, want more than %g", entries, r.most, float64(maxArrivals))
		}
	}
}

// TestServerThatIsNoLongerColdIsNotOverrun guards against entries that all turn to an idle server in the second after
// its cold state: they may send it twice the rate that it can handle while cold, and the requests that were under way.
func TestServerThatIsNoLongerColdIsNotOverrun(t *testing.T) {
	for _, entries := range []int{10, 42, 150} {
		r := play(scenario{entries: entries, servers: 4, load: 89, cold: only, idle: true, known: 1}, 0)
		if r.mostAfter > 2*perSecond+slack {
			t.Errorf("%d entries: %d requests reached the server in the second after its cold state, want at most %d", entries, r.mostAfter, 2*perSecond+slack)
		}
	}
}

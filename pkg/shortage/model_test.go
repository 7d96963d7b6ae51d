package shortage_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/measure/virtualtime"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
	"github.com/fescuehub/fescuehub/pkg/shortage"
)

// The model has no network: entries with their balancers and queues send requests to engines that run passes in
// groups. Its figures are those of deployment L in docs/HARD-LOAD-PLAN.md.
const (
	modelRanks      = 24
	modelSlots      = 10
	modelEvents     = 19
	modelGap        = 150 * time.Millisecond
	modelLateValue  = 0.4
	modelHop        = 4400 * time.Microsecond // to a caller and to another failure domain
	modelReports    = 200 * time.Millisecond
	modelPoll       = 10 * time.Millisecond
	modelFirstEvent = 250 * time.Millisecond
	modelReturns    = 2
)

// kind is one kind of request.
type kind struct {
	priority int
	rate     float64
	target   time.Duration
	value    float64
}

var modelKinds = []kind{
	{0, 92, 500 * time.Millisecond, 3},
	{1, 121, 500 * time.Millisecond, 1.6},
	{2, 40, 1000 * time.Millisecond, 0.8},
}

// variant is what an entry does while slots are short.
type variant struct {
	// queue makes requests wait in the entries' queues.
	queue bool
	// firstCome makes the engines ignore the priority of waiting requests.
	firstCome bool
}

// modelLoad is the load of one run. A factor multiplies the rate of a kind at a time.
type modelLoad struct {
	kinds   []kind
	groups  int
	entries int
	length  time.Duration
	factor  func(kind int, at time.Duration) float64
	// skew is the work for the busiest rank's experts divided by the mean.
	skew func(at time.Duration) float64
	// removed and returned bound the time in which a third of the engines takes no new requests.
	removed, returned time.Duration
	// stopped and resumed bound the time in which no engine makes progress and the groups are reported broken.
	stopped, resumed time.Duration
	// restarted is when a sixth of the entries restarts; 0 is never.
	restarted time.Duration
	// organisation draws the organisation of a request.
	organisation func(*rand.Rand) string
}

// tally counts the requests of one class.
type tally struct {
	arrived, served, onTime, refused, abandoned int
	value, possible                             float64
	refusedWhileFree                            int
}

func (c *tally) shareServed() float64 { return float64(c.served) / float64(max(c.arrived, 1)) }
func (c *tally) shareOnTime() float64 { return float64(c.onTime) / float64(max(c.arrived, 1)) }
func (c *tally) shareValue() float64  { return c.value / max(c.possible, 1e-9) }

// call is one request.
type call struct {
	kind         kind
	organisation string
	entry        *modelEntry
	first        time.Time // the caller's first attempt
	arrived      time.Time // this attempt
	returns      int
	engine       *modelEngine
	priority     int
	sent         time.Time
	events       int
	last         time.Time
	late         bool
	ticket       *shortage.Ticket // among the late requests
	lateSlot     bool
	prefill      int // passes that process the prompt before the first event
	restarts     int // of the entry, as it was when the request arrived
	tallies      []*tally
}

type modelEntry struct {
	balancer *balance.Balancer
	queue    *shortage.Queue
	restarts int
}

type modelEngine struct {
	server           fleet.Server
	group            int
	waiting, running []*call
}

type model struct {
	load    modelLoad
	variant variant
	random  *rand.Rand
	// arrivals is a source of its own, so that all variants get the same requests.
	arrivals *rand.Rand
	clock    *virtualtime.Queue
	service  *fleet.Service
	servers  []fleet.Server
	entries  []*modelEntry
	engines  []*modelEngine
	byID     map[string]*modelEngine
	byKind   []*tally
	byOrg    map[string]*tally
	passes   int
	longPass int
	// held counts the requests that waited at the entries that restarted.
	held int
	// bySize counts the largest tenth of the requests, the fifth below and the others, byDomain those of each
	// failure domain of callers.
	bySize, byDomain [3]tally
}

// waiting returns the number of requests that wait at an entry.
func (e *modelEntry) waiting() int {
	n := 0
	for _, count := range e.queue.Waiting() {
		n += count
	}
	return n
}

func newModel(l modelLoad, v variant, seed uint64) *model {
	m := &model{
		load: l, variant: v, random: rand.New(rand.NewPCG(seed, 4)), arrivals: rand.New(rand.NewPCG(seed, 5)), clock: virtualtime.NewQueue(),
		service: &fleet.Service{Name: "m", Engine: &fleet.Engine{Slots: modelSlots, MeanPromptTokens: 800, MeanAnswerTokens: 95}},
		byID:    make(map[string]*modelEngine), byOrg: make(map[string]*tally),
	}
	for range l.kinds {
		m.byKind = append(m.byKind, &tally{})
	}
	for g := range l.groups {
		for r := range modelRanks {
			s := fleet.Server{ID: fmt.Sprintf("%d-%d", g, r), Service: "m", Address: fmt.Sprintf("%d-%d:1", g, r), Incarnation: 1, Group: fmt.Sprint(g)}
			e := &modelEngine{server: s, group: g}
			m.servers, m.engines, m.byID[s.ID] = append(m.servers, s), append(m.engines, e), e
		}
	}
	for range l.entries {
		m.entries = append(m.entries, &modelEntry{})
		m.restart(m.entries[len(m.entries)-1])
	}
	return m
}

// restart gives an entry the state of a process that has just started.
func (m *model) restart(e *modelEntry) {
	e.balancer, e.queue = balance.New(ratelimit.New("")), shortage.NewQueue()
	e.balancer.SetServers(m.servers)
	e.restarts++
}

// run runs the load and returns the model for its counts.
func (m *model) run() *model {
	for n := range m.load.kinds {
		m.scheduleArrival(n)
	}
	for g := range m.load.groups {
		m.pass(g)
	}
	m.clock.Every(modelReports, m.report)
	m.clock.Every(400*time.Millisecond, m.exchange)
	if m.load.removed > 0 {
		m.clock.After(m.load.removed, func() { m.setServers(m.servers[modelRanks*m.load.groups/3:]) })
		m.clock.After(m.load.returned, func() { m.setServers(m.servers) })
	}
	if m.load.restarted > 0 {
		m.clock.After(m.load.restarted, func() {
			for _, e := range m.entries[:len(m.entries)/6] {
				m.held += e.waiting()
				m.restart(e)
			}
		})
	}
	m.clock.RunUntil(m.load.length + 8*time.Second)
	return m
}

func (m *model) setServers(list []fleet.Server) {
	for _, e := range m.entries {
		e.balancer.SetServers(list)
	}
}

func (m *model) stalled() bool {
	return m.clock.Elapsed() >= m.load.stopped && m.clock.Elapsed() < m.load.resumed
}

// report passes on the loads of the engines as they were one interval ago.
func (m *model) report() {
	loads := make(map[int][]balance.EngineLoad)
	for _, e := range m.engines {
		loads[e.group] = append(loads[e.group], balance.EngineLoad{Address: e.server.Address, Incarnation: 1, Running: len(e.running), Waiting: len(e.waiting)})
	}
	m.clock.After(modelReports/2, func() {
		state := fleet.GroupOpen
		if m.stalled() {
			state = fleet.GroupBroken
		}
		for g, list := range loads {
			for _, e := range m.entries {
				e.balancer.UpdateGroup(m.clock.Now(), "m", fmt.Sprint(g), state, list)
			}
		}
	})
}

// exchange tells the entries of each other, without loads as in a large fleet.
func (m *model) exchange() {
	for i := range m.entries {
		for j, e := range m.entries {
			if i != j {
				e.balancer.SetEntryLoads(m.clock.Now(), fmt.Sprint(i), nil)
			}
		}
	}
}

func (m *model) scheduleArrival(n int) {
	k := m.load.kinds[n]
	rate := k.rate
	if m.load.factor != nil {
		rate *= m.load.factor(n, m.clock.Elapsed())
	}
	m.clock.After(time.Duration(m.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.clock.Elapsed() > m.load.length {
			return
		}
		m.scheduleArrival(n)
		at := m.arrivals.IntN(len(m.entries))
		c := &call{kind: k, entry: m.entries[at], first: m.clock.Now()}
		size := 2
		switch point := m.arrivals.Float64(); {
		case point < 0.1:
			size, c.prefill = 0, 3
		case point < 0.3:
			size, c.prefill = 1, 1
		}
		c.tallies = []*tally{m.byKind[n], &m.bySize[size], &m.byDomain[at%3]}
		if m.load.organisation != nil {
			c.organisation = m.load.organisation(m.arrivals)
			if m.byOrg[c.organisation] == nil {
				m.byOrg[c.organisation] = &tally{}
			}
			c.tallies = append(c.tallies, m.byOrg[c.organisation])
		}
		for _, t := range c.tallies {
			t.arrived++
			t.possible += k.value
		}
		m.arrive(c)
	})
}

// arrive brings one attempt of a caller to its entry.
func (m *model) arrive(c *call) {
	c.arrived, c.last, c.restarts = m.clock.Now(), m.clock.Now(), c.entry.restarts
	if m.variant.queue {
		c.entry.queue.Arrive(c.arrived, c.kind.priority, c.organisation, c.kind.target)
	}
	m.offer(c)
}

// patience is how long a caller waits for an event.
func (c *call) patience() time.Duration { return max(2*time.Second, 4*c.kind.target, 8*modelGap) }

// offer decides what an entry does with a request that has not been sent: it waits for the groups, is refused,
// waits in the queue or is sent.
func (m *model) offer(c *call) {
	now, b := m.clock.Now(), c.entry.balancer
	if c.restarts != c.entry.restarts {
		c.ticket = nil
		m.comeBack(c, 50*time.Millisecond)
		return
	}
	if now.Sub(c.last) > c.patience() {
		m.end(c, func(t *tally) { t.abandoned++ })
		return
	}
	if m.waits(c) {
		m.clock.After(50*time.Millisecond, func() { m.offer(c) })
		return
	}
	server, ok := b.Choose(now, m.service, nil, m.random.Float64)
	if !ok {
		m.refuse(c)
		return
	}
	wait := b.ExpectedWait(now, m.service, server.ID)
	limits := balance.QueueLimits{MaxWait: c.kind.target, MaxWaitStanding: c.kind.target - modelFirstEvent}
	if m.variant.queue { // as queueLimits of pkg/relay
		o := c.entry.queue.Order(now, c.kind.priority)
		limits.MaxWait = max(c.kind.target, o.LongestTarget)
		limits.MaxWaitStanding = time.Duration(float64(max(c.kind.target, o.LongestTargetAfter)-modelFirstEvent) / o.ShareBefore)
		wait = time.Duration(o.ShareBefore * float64(wait))
	}
	if now.Sub(c.arrived) <= c.kind.target/8 || !m.variant.queue {
		if b.ShouldRefuse(now, "m", b.ExpectedWait(now, m.service, server.ID), limits) || now.Add(wait+modelFirstEvent).After(c.last.Add(c.patience())) {
			m.refuse(c)
			return
		}
	}
	if !m.variant.queue {
		m.send(c, server)
		return
	}
	sendBy := c.arrived.Add(c.kind.target - modelFirstEvent - 2*modelPoll)
	r := shortage.Request{Priority: c.kind.priority, Organisation: c.organisation, MaxGap: modelGap,
		SendBy: sendBy}
	ticket := c.entry.queue.Join(now, r, func() shortage.Capacity { return b.Capacity(now, m.service) })
	if ticket == nil {
		m.send(c, server)
		return
	}
	m.hold(c, ticket)
}

// waits reports whether a request waits for the groups or, if it is late, for a late slot, as waitReason of pkg/relay.
func (m *model) waits(c *call) bool {
	now, b := m.clock.Now(), c.entry.balancer
	late := !c.lateSlot && now.Sub(c.arrived)+modelFirstEvent > c.kind.target
	if late && m.variant.queue && c.ticket == nil {
		c.ticket = c.entry.queue.JoinLate(shortage.Request{Priority: c.kind.priority, Organisation: c.organisation})
	}
	if b.WaitReason(now, m.service) != "" {
		return true
	}
	if !late {
		return false
	}
	acquire := func() bool { return b.AcquireLateSlot(now, m.service) }
	if m.variant.queue {
		c.lateSlot = c.entry.queue.GrantLate(c.ticket, acquire)
	} else {
		c.lateSlot = acquire()
	}
	return !c.lateSlot && c.last.Add(c.patience()).Sub(now) > time.Second
}

// leaveLate gives up what a request holds of the late slots.
func (m *model) leaveLate(c *call) {
	if c.restarts != c.entry.restarts {
		c.ticket, c.lateSlot = nil, false
		return
	}
	if c.ticket != nil && c.entry.queue.LeaveLate(c.ticket) || c.ticket == nil && c.lateSlot {
		c.entry.balancer.ReleaseLateSlot("m")
	}
	c.ticket, c.lateSlot = nil, false
}

// hold polls the queue for a request.
func (m *model) hold(c *call, t *shortage.Ticket) {
	m.clock.After(modelPoll, func() {
		now, b := m.clock.Now(), c.entry.balancer
		if c.restarts != c.entry.restarts {
			m.comeBack(c, 50*time.Millisecond)
			return
		}
		if !c.entry.queue.MaySend(now, t, func() shortage.Capacity { return b.Capacity(now, m.service) }) {
			m.hold(c, t)
			return
		}
		if server, ok := b.Choose(now, m.service, nil, m.random.Float64); ok {
			m.send(c, server)
		} else {
			m.refuse(c)
		}
	})
}

func (m *model) refuse(c *call) {
	m.leaveLate(c)
	if c.returns < modelReturns {
		mean := 400 * time.Millisecond
		for range c.kind.priority {
			if m.variant.queue {
				mean = mean * 5 / 3 // as retryAfterByUrgency of pkg/relay
			}
		}
		m.comeBack(c, mean*3/4+time.Duration(m.random.Int64N(int64(mean/2))))
		return
	}
	free := 0
	for _, e := range m.engines {
		free += max(modelSlots-len(e.running)-len(e.waiting), 0)
	}
	m.end(c, func(t *tally) {
		t.refused++
		if free > len(m.engines)*modelSlots/10 {
			t.refusedWhileFree++
		}
	})
}

// comeBack sends the caller to another entry after a time.
func (m *model) comeBack(c *call, after time.Duration) {
	c.returns++
	m.clock.After(after, func() {
		c.entry = m.entries[m.random.IntN(len(m.entries))]
		m.arrive(c)
	})
}

func (m *model) end(c *call, record func(*tally)) {
	m.leaveLate(c)
	for _, t := range c.tallies {
		record(t)
	}
}

func (m *model) send(c *call, s fleet.Server) {
	now := m.clock.Now()
	c.engine, c.sent, c.priority = m.byID[s.ID], now, c.kind.priority
	if now.Sub(c.arrived)+modelFirstEvent > c.kind.target {
		c.priority = 7 + c.kind.priority // as latePriority of pkg/relay
		if len(m.load.kinds) == 1 {
			c.priority = 9
		}
	}
	c.entry.balancer.Begin(now, s.ID, 800)
	m.clock.After(modelHop, func() { c.engine.waiting = append(c.engine.waiting, c) })
}

// pass runs the next pass of a group and schedules the one after it.
func (m *model) pass(group int) {
	now := m.clock.Now()
	busiest, total := 0, 0
	members := m.engines[group*modelRanks : (group+1)*modelRanks]
	for _, e := range members {
		m.dropAbandoned(e)
		for len(e.waiting) > 0 && len(e.running) < modelSlots && !m.stalled() {
			next := 0
			for n, c := range e.waiting {
				if !m.variant.firstCome && c.priority < e.waiting[next].priority {
					next = n
				}
			}
			e.running = append(e.running, e.waiting[next])
			e.waiting = append(e.waiting[:next], e.waiting[next+1:]...)
		}
		busiest, total = max(busiest, len(e.running)), total+len(e.running)
	}
	if total == 0 || m.stalled() {
		m.clock.After(10*time.Millisecond, func() { m.pass(group) })
		return
	}
	mean := float64(total) / modelRanks
	ms := 5 * (4.55 + 1.09*(0.15*float64(busiest)+0.85*m.load.skew(m.clock.Elapsed())*mean))
	length := time.Duration(ms * float64(time.Millisecond))
	m.passes++
	if length > modelGap {
		m.longPass++
	}
	m.clock.At(now.Add(length), func() {
		for _, e := range members {
			m.deliver(e)
		}
		m.pass(group)
	})
}

// dropAbandoned ends the requests of callers that have left.
func (m *model) dropAbandoned(e *modelEngine) {
	now := m.clock.Now()
	filter := func(list []*call) []*call {
		var kept []*call
		for _, c := range list {
			if now.Sub(c.last) <= c.patience() {
				kept = append(kept, c)
				continue
			}
			c.entry.balancer.End(now, e.server.ID, 800, balance.Result{})
			m.end(c, func(t *tally) { t.abandoned++ })
		}
		return kept
	}
	e.waiting, e.running = filter(e.waiting), filter(e.running)
}

// deliver passes one event of each running request to its caller.
func (m *model) deliver(e *modelEngine) {
	now := m.clock.Now().Add(modelHop)
	var kept []*call
	for _, c := range e.running {
		if c.prefill > 0 {
			c.prefill--
			kept = append(kept, c)
			continue
		}
		if c.events == 0 {
			c.late = now.Sub(c.first) > c.kind.target
			c.entry.balancer.ResponseStarted(now, e.server.ID, c.sent)
		} else {
			c.late = c.late || now.Sub(c.last) > modelGap
			if m.variant.queue {
				c.entry.queue.RecordGap(now, now.Sub(c.last))
			}
		}
		c.events++
		c.last = now
		c.entry.balancer.Progress(now, e.server.ID)
		if c.events < modelEvents {
			kept = append(kept, c)
			continue
		}
		c.entry.balancer.End(now, e.server.ID, 800, balance.Result{Latency: modelFirstEvent, Duration: now.Sub(c.sent)})
		m.end(c, func(t *tally) {
			t.served++
			if c.late {
				t.value += modelLateValue * c.kind.value
			} else {
				t.onTime++
				t.value += c.kind.value
			}
		})
	}
	e.running = kept
}

// String returns the shares of each kind.
func (m *model) String() string {
	var b strings.Builder
	for n, t := range m.byKind {
		fmt.Fprintf(&b, "priority %d: on time %.3f, value %.3f, served %.3f (%d arrived, %d refused, %d left); ", m.load.kinds[n].priority, t.shareOnTime(), t.shareValue(), t.shareServed(), t.arrived, t.refused, t.abandoned)
	}
	value, possible := 0.0, 0.0
	for _, t := range m.byKind {
		value, possible = value+t.value, possible+t.possible
	}
	fmt.Fprintf(&b, "value of all %.3f, passes too long %.3f", value/possible, float64(m.longPass)/float64(max(m.passes, 1)))
	return b.String()
}

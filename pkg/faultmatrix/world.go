// Package faultmatrix runs protocols in a deterministic simulation, with a fake clock and fixed
// seeds, and injects every fault at every step. A step is the delivery of one message or timer. The
// steps are found by running the protocol once without faults.
package faultmatrix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Message is sent between nodes. Its type name, or its Label if it is a Labeler, names the step of
// its delivery.
type Message any

// Labeler is a message that names the step of its delivery.
type Labeler interface{ Label() string }

// Node simulates one process. It contains only code without I/O or a clock of its own.
type Node interface {
	// Handle processes a message at time c.Now. It sends messages and starts timers through c.
	Handle(c *Context, from string, m Message)
}

// Context gives a node access to the simulation while it handles a message.
type Context struct {
	Now   time.Time
	world *World
	self  string
}

// Send sends a message to another node.
func (c *Context) Send(to string, m Message) { c.world.send(c.self, to, m) }

// After starts a timer that delivers a message to the node itself after a delay. The timer is lost
// if the node is killed.
func (c *Context) After(d time.Duration, m Message) { c.world.startTimer(c.self, d, m) }

// Random returns a number from the seeded random source of the run.
func (c *Context) Random() uint64 { return c.world.random.Uint64() }

// Self returns the name of the node.
func (c *Context) Self() string { return c.self }

// World is the state of one simulation run: the nodes, the clock, and the messages in flight.
type World struct {
	now       time.Time
	random    *rand.Rand
	queue     eventQueue
	lastOrder int
	nodes     map[string]*nodeState
	cutUntil  map[link]time.Time
	// lastArrival holds the latest delivery time from one node to another. It keeps messages in
	// order, as on a connection, unless a fault reorders them.
	lastArrival map[link]time.Time
	steps       []Step
	injections  []Injection
	applied     int
	// nameSteps enables the names of the steps.
	nameSteps bool
	// ScenarioState is set by Scenario.Build and read by Scenario.Check, for example to record
	// executions and responses. It may have the method Inject(*World, Fault) bool, which applies
	// the faults that are specific to the scenario.
	ScenarioState any
}

type nodeState struct {
	node        Node
	newNode     func(incarnation int) Node
	incarnation int
	frozenUntil time.Time
	down        bool
	dropSends   bool
}

type link struct{ a, b string }

type event struct {
	at          time.Time
	order       int
	from        string
	to          string
	incarnation int
	timer       bool
	isCopy      bool
	message     Message
}

const (
	baseLatency = time.Millisecond
	jitter      = time.Millisecond
	maxRunTime  = 2 * time.Hour
	maxSteps    = 20_000
)

// startTime is the time at which every run starts.
var startTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func newWorld(seed uint64, injections []Injection) *World {
	return &World{
		now:         startTime,
		random:      rand.New(rand.NewPCG(seed, 1)),
		nodes:       make(map[string]*nodeState),
		cutUntil:    make(map[link]time.Time),
		lastArrival: make(map[link]time.Time),
		injections:  injections,
	}
}

// Add adds a node. newNode is called with incarnation 0 immediately, and with the next incarnation
// at each restart. State that newNode shares between incarnations simulates storage of the platform.
func (w *World) Add(name string, newNode func(incarnation int) Node) {
	w.nodes[name] = &nodeState{node: newNode(0), newNode: newNode}
}

// Node returns the current incarnation of a node.
func (w *World) Node(name string) Node { return w.nodes[name].node }

// Start schedules the delivery of a message to a node after a delay, as a timer.
func (w *World) Start(to string, after time.Duration, m Message) {
	w.push(&event{at: w.now.Add(after), from: to, to: to, timer: true, message: m})
}

// Now returns the time of the fake clock.
func (w *World) Now() time.Time { return w.now }

// Elapsed returns the simulated time since the start of the run.
func (w *World) Elapsed() time.Duration { return w.now.Sub(startTime) }

func (w *World) send(from, to string, m Message) {
	if w.nodes[from].dropSends {
		return
	}
	if until, cut := w.cutUntil[linkBetween(from, to)]; cut && w.now.Before(until) {
		return
	}
	latency := baseLatency + time.Duration(w.random.Int64N(int64(jitter)))
	at := w.now.Add(latency)
	direction := link{from, to}
	if last := w.lastArrival[direction]; last.After(at) {
		at = last
	}
	w.lastArrival[direction] = at
	w.push(&event{at: at, from: from, to: to, message: m})
}

func (w *World) startTimer(self string, d time.Duration, m Message) {
	w.push(&event{at: w.now.Add(d), from: self, to: self, incarnation: w.nodes[self].incarnation, timer: true, message: m})
}

func (w *World) push(e *event) {
	w.lastOrder++
	e.order = w.lastOrder
	heap.Push(&w.queue, e)
}

// run delivers events until none is left or maxRunTime of simulated time has passed.
func (w *World) run() error {
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(*event)
		if e.at.After(startTime.Add(maxRunTime)) {
			return nil
		}
		if e.at.After(w.now) {
			w.now = e.at
		}
		w.deliver(e)
		if len(w.steps) > maxSteps {
			return fmt.Errorf("the protocol did not terminate within %d steps", maxSteps)
		}
	}
	return nil
}

// deliver counts the event as a step, injects the faults of the step, and lets the node handle the
// event. Events for a node that is down and timers of an earlier incarnation are dropped. Events for
// a frozen node are postponed.
func (w *World) deliver(e *event) {
	s, ok := w.nodes[e.to]
	if !ok {
		panic("message to unknown node " + e.to)
	}
	if s.down || e.timer && e.incarnation != s.incarnation {
		return
	}
	if w.now.Before(s.frozenUntil) {
		e.at = s.frozenUntil
		w.push(e)
		return
	}
	if e.to == restartNode {
		w.handle(e, s)
		return
	}
	step := Step{Index: len(w.steps)}
	if w.nameSteps {
		step.Name = stepName(e)
	}
	w.steps = append(w.steps, step)
	if !e.isCopy && w.applyInjections(step, e, s) {
		return
	}
	w.handle(e, s)
}

func (w *World) handle(e *event, s *nodeState) {
	s.node.Handle(&Context{Now: w.now, world: w, self: e.to}, e.from, e.message)
}

// Kill stops the node and restarts it as its next incarnation after a delay. If the delay is
// negative, the node is not restarted.
func (w *World) Kill(name string, delay time.Duration) {
	s := w.nodes[name]
	s.down = true
	s.incarnation++
	if delay < 0 {
		return
	}
	w.push(&event{at: w.now.Add(delay), from: name, to: restartNode, message: restartRequest{name}})
}

// Freeze suspends the node for a time. Messages and timers that arrive in this time are handled
// afterwards.
func (w *World) Freeze(name string, d time.Duration) { w.nodes[name].frozenUntil = w.now.Add(d) }

// Cut drops all messages that two nodes send each other within a time.
func (w *World) Cut(a, b string, d time.Duration) { w.cutUntil[linkBetween(a, b)] = w.now.Add(d) }

// restartNode is the name of the internal node that restarts killed nodes. Deliveries to it are not
// steps.
const restartNode = "wake"

type restartRequest struct{ name string }

// Label implements Labeler.
func (restartRequest) Label() string { return "restart" }

// restarter is the node with the name restartNode.
type restarter struct{ w *World }

// Restarted is delivered to a node at the start of each incarnation after the first.
type Restarted struct{}

// Handle implements Node.
func (r restarter) Handle(_ *Context, _ string, m Message) {
	name := m.(restartRequest).name
	s := r.w.nodes[name]
	s.down = false
	s.node = s.newNode(s.incarnation)
	r.w.push(&event{at: r.w.now, from: name, to: name, incarnation: s.incarnation, timer: true, message: Restarted{}})
}

// linkBetween returns the same link for both orders of the nodes.
func linkBetween(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

func stepName(e *event) string {
	label := fmt.Sprintf("%T", e.message)
	if l, ok := e.message.(Labeler); ok {
		label = l.Label()
	}
	if e.timer {
		return e.to + " timer " + label
	}
	return e.from + " to " + e.to + " " + label
}

// eventQueue is a min-heap by time and then by order of scheduling.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

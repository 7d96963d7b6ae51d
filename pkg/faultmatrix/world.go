// Package faultmatrix drives decision packages under every fault at every step
// of their protocol, with a fake clock and fixed seeds. A step is the delivery
// of one message or timer; the driver finds the steps by running the protocol
// once without faults.
package faultmatrix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Message is what nodes send each other. Its type name, or its Label if it has
// one, names the step of its delivery.
type Message any

// Labeler messages name their step themselves.
type Labeler interface{ Label() string }

// Node is one process under test. It holds decision packages only.
type Node interface {
	// Handle takes a message at the time of c and acts through c.
	Handle(c *Context, from string, m Message)
}

// Context is what a node may do while it handles a message.
type Context struct {
	Now   time.Time
	world *World
	self  string
}

// Send sends a message to another node.
func (c *Context) Send(to string, m Message) { c.world.send(c.self, to, m) }

// After sends a message to the node itself after a delay. It is lost when the
// node is killed.
func (c *Context) After(d time.Duration, m Message) { c.world.startTimer(c.self, d, m) }

// Random returns a number from the seeded source.
func (c *Context) Random() uint64 { return c.world.random.Uint64() }

// Self returns the name of the node.
func (c *Context) Self() string { return c.self }

// World holds the nodes, the clock and the messages under way.
type World struct {
	now       time.Time
	random    *rand.Rand
	queue     eventQueue
	lastOrder int
	nodes     map[string]*nodeState
	cutUntil  map[link]time.Time
	// lastArrival keeps messages from one node to another in order, as a
	// connection does. Faults break the order.
	lastArrival map[link]time.Time
	steps       []Step
	injections  []Injection
	applied     int
	// nameSteps is true where the names of the steps are needed.
	nameSteps bool
	// ScenarioState is free for the scenario: what the outside saw.
	ScenarioState any
}

type nodeState struct {
	node        Node
	newNode     func(life int) Node
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

// startTime is the time at which every world begins.
var startTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func newWorld(seed uint64, inject []Injection) *World {
	return &World{
		now:         startTime,
		random:      rand.New(rand.NewPCG(seed, 1)),
		nodes:       make(map[string]*nodeState),
		cutUntil:    make(map[link]time.Time),
		lastArrival: make(map[link]time.Time),
		injections:  inject,
	}
}

// Add adds a node. make is called with life 0 at the start, and with the next
// life after a kill. A node that keeps state over its lives stands for the
// platform.
func (w *World) Add(name string, make func(life int) Node) {
	w.nodes[name] = &nodeState{node: make(0), newNode: make}
}

// Node returns the present life of a node.
func (w *World) Node(name string) Node { return w.nodes[name].node }

// Start delivers a message to a node at a time after the start.
func (w *World) Start(to string, after time.Duration, m Message) {
	w.push(&event{at: w.now.Add(after), from: to, to: to, timer: true, message: m})
}

// Now returns the time of the fake clock.
func (w *World) Now() time.Time { return w.now }

// Elapsed returns the time since the start.
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
	way := link{from, to}
	if last := w.lastArrival[way]; last.After(at) {
		at = last
	}
	w.lastArrival[way] = at
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

// run delivers events until none is left or the horizon is reached.
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
			return fmt.Errorf("the protocol did not come to rest within %d steps", maxSteps)
		}
	}
	return nil
}

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

// Kill ends the node and starts its next life after a delay. A negative delay
// leaves it dead.
func (w *World) Kill(name string, restart time.Duration) {
	s := w.nodes[name]
	s.down = true
	s.incarnation++
	if restart < 0 {
		return
	}
	w.push(&event{at: w.now.Add(restart), from: name, to: restartNode, message: restartRequest{name}})
}

// Freeze stops the node for a time; what arrives meanwhile is handled after.
func (w *World) Freeze(name string, d time.Duration) { w.nodes[name].frozenUntil = w.now.Add(d) }

// Cut drops all messages between two nodes for a time.
func (w *World) Cut(a, b string, d time.Duration) { w.cutUntil[linkBetween(a, b)] = w.now.Add(d) }

// restartNode is the name of the node that starts killed nodes again.
const restartNode = "wake"

type restartRequest struct{ name string }

// Label implements Labeler.
func (restartRequest) Label() string { return "restart" }

type restarter struct{ w *World }

// Restarted is delivered to a node at the start of a life after the first.
type Restarted struct{}

// Handle implements Node.
func (k restarter) Handle(_ *Context, _ string, m Message) {
	name := m.(restartRequest).name
	s := k.w.nodes[name]
	s.down = false
	s.node = s.newNode(s.incarnation)
	k.w.push(&event{at: k.w.now, from: name, to: name, incarnation: s.incarnation, timer: true, message: Restarted{}})
}

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

// eventQueue is a heap by time, then by order.
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

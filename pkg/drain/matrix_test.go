package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
)

const (
	lifetime  = 30 * time.Second
	grace     = time.Second
	bound     = 120 * time.Second
	workTime  = 8 * time.Second
	askPeriod = 5 * time.Second
	lastAsk   = 50 * time.Second
	drainAt   = 10 * time.Second
	advance   = 2 * time.Second
)

// Messages of the shutdown protocol.
type (
	where    struct{}
	here     struct{ named bool }
	poll     struct{}
	work     struct{ id int }
	finished struct{ id int }
	accepted struct{ id int }
	refused  struct{ id int }
	sigterm  struct{}
	turn     struct{}
)

// mechanisms are what the teeth tests turn off.
type mechanisms struct{ linger, waits, unnamed bool }

var allOn = mechanisms{linger: true, waits: true, unnamed: true}

// facts is what is known from outside.
type facts struct {
	violations []string
	begun      map[int]bool
	answered   map[int]bool
	// ended is when the entry closed, drained when it was first told to.
	drained, ended time.Time
	orders         int
	killed         bool
}

func (f *facts) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// entryNode drives the progress of an entry that is told to leave.
type entryNode struct {
	f        *facts
	on       mechanisms
	progress *drain.Progress
	inFlight int
	life     int
}

func (e *entryNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	if !e.f.ended.IsZero() && e.life == 0 {
		return
	}
	e.advance(ctx.Now)
	switch m := m.(type) {
	case where:
		if !e.on.unnamed || e.progress.Advertised() {
			e.named(ctx.Now)
			ctx.Send(from, here{true})
			return
		}
		ctx.Send(from, here{false})
	case work:
		e.take(ctx, from, m)
	case finished:
		e.inFlight--
		e.f.answered[m.id] = true
	case sigterm:
		e.f.orders++
		if e.f.drained.IsZero() {
			e.f.drained = ctx.Now
		}
		if e.progress.Phase() == drain.Serving {
			ctx.After(advance, turn{})
		}
		e.end(ctx.Now, e.progress.Start(ctx.Now, e.counted()))
	case turn:
		if e.progress.Phase() != drain.Ended {
			ctx.After(advance, turn{})
		}
	}
}

func (e *entryNode) named(now time.Time) {
	if !e.f.drained.IsZero() && e.life == 0 {
		e.f.violate("named itself %v after it was told to leave", now.Sub(e.f.drained))
	}
}

func (e *entryNode) take(ctx *faultmatrix.Context, from string, m work) {
	if e.progress.AcceptsWork() {
		if e.life == 0 {
			e.f.begun[m.id] = true
		}
		e.inFlight++
		ctx.After(workTime, finished(m))
		ctx.Send(from, accepted(m))
		return
	}
	if held := ctx.Now.Sub(e.f.drained); held < lifetime && e.f.orders == 1 {
		e.f.violate("refused a request %v after it was told to leave, within the lifetime of address answers", held)
	}
	ctx.Send(from, refused(m))
}

func (e *entryNode) counted() int {
	if !e.on.waits {
		return 0
	}
	return e.inFlight
}

func (e *entryNode) advance(now time.Time) { e.end(now, e.progress.Advance(now, e.counted())) }

func (e *entryNode) end(now time.Time, p drain.Phase) {
	if p != drain.Ended || !e.f.ended.IsZero() || e.life > 0 {
		return
	}
	e.f.ended = now
	early := now.Sub(e.f.drained) < bound && e.f.orders == 1
	if early && e.inFlight > 0 {
		e.f.violate("ended with %d requests in flight", e.inFlight)
	}
}

// callerNode keeps an address answer for its lifetime and sends requests.
type callerNode struct {
	held time.Time
	next int
	base int
}

func (c *callerNode) Handle(ctx *faultmatrix.Context, _ string, m faultmatrix.Message) {
	switch m := m.(type) {
	case poll:
		c.next++
		if ctx.Now.Sub(c.held) >= lifetime {
			ctx.Send("entry", where{})
		} else {
			ctx.Send("entry", work{c.base + c.next})
		}
		if c.next < int(lastAsk/askPeriod) {
			ctx.After(askPeriod, poll{})
		}
	case here:
		if m.named {
			c.held = ctx.Now
		}
	}
}

type operatorNode struct{}

func (operatorNode) Handle(ctx *faultmatrix.Context, _ string, _ faultmatrix.Message) {
	ctx.Send("entry", sigterm{})
}

func shutdown(on mechanisms) faultmatrix.Scenario {
	plan := drain.Plan{Linger: lifetime + grace, Timeout: bound}
	if !on.linger {
		plan.Linger = 0
	}
	return faultmatrix.Scenario{
		Protocol:     "shutdown of an entry",
		Parallel:     true,
		Inapplicable: []faultmatrix.Fault{faultmatrix.LogDown, faultmatrix.LogSlow, faultmatrix.ListLagging, faultmatrix.LeaseLapsed, faultmatrix.OperatorRaces},
		Build: func(w *faultmatrix.World) {
			f := &facts{begun: map[int]bool{}, answered: map[int]bool{}}
			w.ScenarioState = f
			w.Add("entry", func(life int) faultmatrix.Node {
				f.killed = life > 0
				return &entryNode{f: f, on: on, progress: drain.New(plan), life: life}
			})
			for i, name := range []string{"caller-1", "caller-2"} {
				w.Add(name, func(int) faultmatrix.Node { return &callerNode{base: 1000 * i} })
				w.Start(name, time.Duration(i)*time.Second, poll{})
			}
			w.Add("operator", func(int) faultmatrix.Node { return operatorNode{} })
			w.Start("operator", drainAt, sigterm{})
		},
		Check: func(w *faultmatrix.World) []string { return check(w.ScenarioState.(*facts)) },
	}
}

func check(f *facts) []string {
	out := f.violations
	if f.killed || f.drained.IsZero() {
		return out
	}
	if f.ended.IsZero() {
		out = append(out, "the entry was told to leave and never ended")
	}
	cut := f.orders > 1 || f.ended.Sub(f.drained) >= bound
	for id := range f.begun {
		if !f.answered[id] && !cut {
			out = append(out, fmt.Sprintf("request %d was begun and cut off", id))
		}
	}
	return out
}

func TestMatrixShutdown(t *testing.T) { faultmatrix.Test(t, shutdown(allOn)) }

func TestTeethLinger(t *testing.T) {
	faultmatrix.RequireViolation(t, shutdown(mechanisms{waits: true, unnamed: true}))
}

func TestTeethWaitForInFlight(t *testing.T) {
	faultmatrix.RequireViolation(t, shutdown(mechanisms{linger: true, unnamed: true}))
}

func TestTeethUnnamed(t *testing.T) {
	faultmatrix.RequireViolation(t, shutdown(mechanisms{linger: true, waits: true}))
}

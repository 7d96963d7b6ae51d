package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
)

const (
	addressLifetime = 30 * time.Second
	lingerMargin    = time.Second
	drainTimeout    = 120 * time.Second
	workTime        = 8 * time.Second
	requestInterval = 5 * time.Second
	lastRequestAt   = 50 * time.Second
	drainAt         = 10 * time.Second
	advanceInterval = 2 * time.Second
)

// Messages of the shutdown protocol.
type (
	addressRequest  struct{}
	addressResponse struct{ advertised bool }
	poll            struct{}
	workRequest     struct{ id int }
	workFinished    struct{ id int }
	accepted        struct{ id int }
	refused         struct{ id int }
	sigterm         struct{}
	advanceTimer    struct{}
)

// mechanisms are the parts of the shutdown protocol; the MatrixFinds tests disable one at a time.
type mechanisms struct{ linger, waitForInFlight, unadvertise bool }

var allMechanisms = mechanisms{linger: true, waitForInFlight: true, unadvertise: true}

// facts records the events that the check uses.
type facts struct {
	violations []string
	accepted   map[int]bool
	answered   map[int]bool
	// drainedAt is when the entry was first ordered to drain, endedAt when it ended.
	drainedAt, endedAt time.Time
	// drainOrders counts the orders to drain; the second one ends the drain immediately.
	drainOrders int
	killed      bool
}

func (f *facts) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// entryNode is an entry that uses a drain.Progress.
type entryNode struct {
	facts       *facts
	mechanisms  mechanisms
	progress    *drain.Progress
	inFlight    int
	incarnation int
}

func (e *entryNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	if !e.facts.endedAt.IsZero() && e.incarnation == 0 {
		return
	}
	e.advance(ctx.Now)
	switch m := m.(type) {
	case addressRequest:
		if !e.mechanisms.unadvertise || e.progress.Advertised() {
			e.checkAdvertised(ctx.Now)
			ctx.Send(from, addressResponse{true})
			return
		}
		ctx.Send(from, addressResponse{false})
	case workRequest:
		e.handleWork(ctx, from, m)
	case workFinished:
		e.inFlight--
		e.facts.answered[m.id] = true
	case sigterm:
		e.facts.drainOrders++
		if e.facts.drainedAt.IsZero() {
			e.facts.drainedAt = ctx.Now
		}
		if e.progress.Phase() == drain.Serving {
			ctx.After(advanceInterval, advanceTimer{})
		}
		e.end(ctx.Now, e.progress.Start(ctx.Now, e.knownInFlight()))
	case advanceTimer:
		if e.progress.Phase() != drain.Ended {
			ctx.After(advanceInterval, advanceTimer{})
		}
	}
}

func (e *entryNode) checkAdvertised(now time.Time) {
	if !e.facts.drainedAt.IsZero() && e.incarnation == 0 {
		e.facts.violate("the entry advertised itself %v after the order to drain", now.Sub(e.facts.drainedAt))
	}
}

func (e *entryNode) handleWork(ctx *faultmatrix.Context, from string, m workRequest) {
	if e.progress.AcceptsWork() {
		if e.incarnation == 0 {
			e.facts.accepted[m.id] = true
		}
		e.inFlight++
		ctx.After(workTime, workFinished(m))
		ctx.Send(from, accepted(m))
		return
	}
	if sinceDrain := ctx.Now.Sub(e.facts.drainedAt); sinceDrain < addressLifetime && e.facts.drainOrders == 1 {
		e.facts.violate("the entry refused a request %v after the order to drain, within the lifetime of address responses", sinceDrain)
	}
	ctx.Send(from, refused(m))
}

func (e *entryNode) knownInFlight() int {
	if !e.mechanisms.waitForInFlight {
		return 0
	}
	return e.inFlight
}

func (e *entryNode) advance(now time.Time) {
	e.end(now, e.progress.Advance(now, e.knownInFlight()))
}

func (e *entryNode) end(now time.Time, p drain.Phase) {
	if p != drain.Ended || !e.facts.endedAt.IsZero() || e.incarnation > 0 {
		return
	}
	e.facts.endedAt = now
	early := now.Sub(e.facts.drainedAt) < drainTimeout && e.facts.drainOrders == 1
	if early && e.inFlight > 0 {
		e.facts.violate("the entry ended with %d requests in flight", e.inFlight)
	}
}

// callerNode uses an address response for its lifetime and sends requests.
type callerNode struct {
	addressesAt time.Time
	requests    int
	firstID     int
}

func (c *callerNode) Handle(ctx *faultmatrix.Context, _ string, m faultmatrix.Message) {
	switch m := m.(type) {
	case poll:
		c.requests++
		if ctx.Now.Sub(c.addressesAt) >= addressLifetime {
			ctx.Send("entry", addressRequest{})
		} else {
			ctx.Send("entry", workRequest{c.firstID + c.requests})
		}
		if c.requests < int(lastRequestAt/requestInterval) {
			ctx.After(requestInterval, poll{})
		}
	case addressResponse:
		if m.advertised {
			c.addressesAt = ctx.Now
		}
	}
}

type operatorNode struct{}

func (operatorNode) Handle(ctx *faultmatrix.Context, _ string, _ faultmatrix.Message) {
	ctx.Send("entry", sigterm{})
}

func shutdownScenario(enabled mechanisms) faultmatrix.Scenario {
	plan := drain.Plan{Linger: addressLifetime + lingerMargin, Timeout: drainTimeout}
	if !enabled.linger {
		plan.Linger = 0
	}
	return faultmatrix.Scenario{
		Protocol:     "shutdown of an entry",
		Parallel:     true,
		Inapplicable: []faultmatrix.Fault{faultmatrix.LogDown, faultmatrix.LogSlow, faultmatrix.ListLagging, faultmatrix.LeaseLapsed, faultmatrix.OperatorRaces},
		Build: func(w *faultmatrix.World) {
			f := &facts{accepted: map[int]bool{}, answered: map[int]bool{}}
			w.ScenarioState = f
			w.Add("entry", func(incarnation int) faultmatrix.Node {
				f.killed = incarnation > 0
				return &entryNode{facts: f, mechanisms: enabled, progress: drain.New(plan), incarnation: incarnation}
			})
			for i, name := range []string{"caller-1", "caller-2"} {
				w.Add(name, func(int) faultmatrix.Node { return &callerNode{firstID: 1000 * i} })
				w.Start(name, time.Duration(i)*time.Second, poll{})
			}
			w.Add("operator", func(int) faultmatrix.Node { return operatorNode{} })
			w.Start("operator", drainAt, sigterm{})
		},
		Check: func(w *faultmatrix.World) []string { return checkShutdown(w.ScenarioState.(*facts)) },
	}
}

func checkShutdown(f *facts) []string {
	out := f.violations
	if f.killed || f.drainedAt.IsZero() {
		return out
	}
	if f.endedAt.IsZero() {
		out = append(out, "the entry was ordered to drain and did not end")
	}
	forced := f.drainOrders > 1 || f.endedAt.Sub(f.drainedAt) >= drainTimeout
	for id := range f.accepted {
		if !f.answered[id] && !forced {
			out = append(out, fmt.Sprintf("request %d was accepted and then aborted", id))
		}
	}
	return out
}

// TestMatrixShutdown checks that under no fault a draining entry advertises itself, refuses requests
// while callers may use old addresses, aborts accepted requests before its timeout, or never ends.
func TestMatrixShutdown(t *testing.T) { faultmatrix.Test(t, shutdownScenario(allMechanisms)) }

// TestMatrixFindsMissingLinger checks that the matrix detects an entry that refuses requests while
// callers may use old addresses.
func TestMatrixFindsMissingLinger(t *testing.T) {
	faultmatrix.RequireViolation(t, shutdownScenario(mechanisms{waitForInFlight: true, unadvertise: true}))
}

// TestMatrixFindsMissingWaitForInFlight checks that the matrix detects an entry that ends with
// requests in flight.
func TestMatrixFindsMissingWaitForInFlight(t *testing.T) {
	faultmatrix.RequireViolation(t, shutdownScenario(mechanisms{linger: true, unadvertise: true}))
}

// TestMatrixFindsAdvertisingWhileDraining checks that the matrix detects a draining entry that still
// advertises itself to callers.
func TestMatrixFindsAdvertisingWhileDraining(t *testing.T) {
	faultmatrix.RequireViolation(t, shutdownScenario(mechanisms{linger: true, waitForInFlight: true}))
}

package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/membership"
)

// The scenario: an entry polls a lagging list, has links to two agents that send heartbeats, and
// sends a request every second. At 2 s the operator drains agent-1 and marks it as leaving; the
// list returns the mark 2 s later. The names of the message types are printed as
// the labels of a cell's steps.
const (
	drainAt     = 2 * time.Second
	listLag     = 2 * time.Second
	runFor      = 9 * time.Second
	period      = time.Second
	linkTimeout = 3 * time.Second
	dialWait    = 2 * time.Second
)

type (
	tick         struct{}
	listRequest  struct{}
	listResponse struct{ rows []membership.Row }
	drainOrder   struct{}
	markLeaving  struct{}
	hello        struct{ link int }
	report       struct {
		link, seq int
		membership.Report
	}
	dialTimeout struct {
		agent string
		link  int
	}
	attemptRequest struct{ incarnation ident.Incarnation }
	accepted       struct{}
	refused        struct{ incarnation ident.Incarnation }
	heartbeatDue   struct{ link int }
)

// disabledMechanisms selects the mechanisms that are turned off.
type disabledMechanisms struct{ refusal, draining, leavingMark, linkTimeout, observation bool }

type facts struct {
	disabled   disabledMechanisms
	violations []string
	drained    map[ident.Incarnation]time.Time
	listEmpty  bool
	listFrozen bool
}

// Inject applies the list fault: from now on the list is frozen or empty.
func (f *facts) Inject(w *faultmatrix.World, fault faultmatrix.Fault) bool {
	if fault != faultmatrix.ListLagging {
		return false
	}
	f.listEmpty = w.Elapsed()%2 == 0
	f.listFrozen = !f.listEmpty
	return true
}

func (f *facts) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

type listNode struct {
	facts  *facts
	marked time.Time
}

func (l *listNode) Handle(c *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m.(type) {
	case markLeaving:
		l.marked = c.Now
	case listRequest:
		rows := []membership.Row{{Name: "agent-1", Address: "1"}, {Name: "agent-2", Address: "2"}}
		rows[0].Leaving = !l.marked.IsZero() && !l.facts.listFrozen && c.Now.Sub(l.marked) >= listLag
		if l.facts.listEmpty {
			rows = nil
		}
		c.Send(from, listResponse{rows})
	}
}

type agentNode struct {
	facts       *facts
	name        string
	incarnation ident.Incarnation
	progress    *drain.Progress
	link        int
	seq         int
}

func newAgent(f *facts, name string, restarts int) *agentNode {
	return &agentNode{
		facts: f, name: name, incarnation: ident.Incarnation(fmt.Sprintf("%s@%d", name, restarts)),
		progress: drain.New(drain.Plan{Timeout: time.Hour}),
	}
}

func (a *agentNode) Handle(c *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case drainOrder:
		a.progress.Start(c.Now, 1)
		a.facts.drained[a.incarnation] = c.Now
		a.sendReport(c)
	case hello:
		a.link, a.seq = m.link, 0
		a.sendReport(c)
		c.After(period, heartbeatDue(m))
	case heartbeatDue:
		if m.link == a.link && !c.Now.After(endOfRun(c)) {
			a.sendReport(c)
			c.After(period, m)
		}
	case attemptRequest:
		a.admit(c, from, m)
	}
}

func (a *agentNode) admit(c *faultmatrix.Context, from string, m attemptRequest) {
	if m.incarnation != a.incarnation || !a.progress.AcceptsWork() && !a.facts.disabled.refusal {
		c.Send(from, refused(m))
		return
	}
	if !a.progress.AcceptsWork() {
		a.facts.violate("%s began new work while draining", a.incarnation)
	}
	c.Send(from, accepted{})
}

func (a *agentNode) sendReport(c *faultmatrix.Context) {
	if a.link == 0 || c.Now.After(endOfRun(c)) {
		return
	}
	a.seq++
	c.Send("entry", report{a.link, a.seq, membership.Report{
		Name: a.name, Incarnation: a.incarnation, BackendUp: true, Draining: !a.progress.AcceptsWork(),
	}})
}

// entryNode is one incarnation of an entry: its table and its links.
type entryNode struct {
	facts *facts
	table *membership.Table
	links map[string]*entryLink
	next  int
	// knownDraining holds the agent incarnations that this incarnation of the entry knows to be
	// draining, listedLeaving the agents that the list marks as leaving, and lastReport the time
	// of the last report on each link.
	knownDraining map[ident.Incarnation]bool
	listedLeaving map[string]bool
	lastReport    map[string]time.Time
}

type entryLink struct {
	id, seq     int
	incarnation ident.Incarnation
}

func newEntry(f *facts, restarts int) *entryNode {
	rules := membership.DefaultRules()
	rules.LinkTimeout = linkTimeout
	if f.disabled.linkTimeout {
		rules.LinkTimeout = time.Hour
	}
	return &entryNode{
		facts: f, table: membership.New(rules), links: make(map[string]*entryLink), next: 1000 * restarts,
		knownDraining: make(map[ident.Incarnation]bool), listedLeaving: make(map[string]bool), lastReport: make(map[string]time.Time),
	}
}

func (e *entryNode) Handle(c *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case tick, faultmatrix.Restarted:
		e.tick(c)
	case listResponse:
		e.handleList(c, m.rows)
	case report:
		e.handleReport(c, from, m)
	case dialTimeout:
		if l := e.links[m.agent]; l != nil && l.id == m.link && l.seq == 0 {
			e.loseLink(c, m.agent)
		}
	case refused:
		e.knownDraining[m.incarnation] = true
		if !e.facts.disabled.draining {
			e.table.HandleRefusal(from, m.incarnation)
		}
	}
}

func (e *entryNode) tick(c *faultmatrix.Context) {
	if c.Now.After(endOfRun(c)) {
		return
	}
	c.After(period, tick{})
	c.Send("list", listRequest{})
	e.apply(c, e.table.Advance(c.Now))
	e.request(c)
}

func (e *entryNode) apply(c *faultmatrix.Context, actions []membership.Action) {
	for _, a := range actions {
		delete(e.links, a.Agent)
		if a.Kind != membership.Dial {
			continue
		}
		e.next++
		e.links[a.Agent] = &entryLink{id: e.next}
		c.Send(a.Agent, hello{e.next})
		c.After(dialWait, dialTimeout{a.Agent, e.next})
	}
}

func (e *entryNode) loseLink(c *faultmatrix.Context, agent string) {
	delete(e.lastReport, agent)
	delete(e.links, agent)
	e.table.LinkDown(c.Now, agent, c.Random())
}

func (e *entryNode) handleList(c *faultmatrix.Context, rows []membership.Row) {
	listed := make(map[string]bool)
	for i := range rows {
		listed[rows[i].Name] = true
		e.listedLeaving[rows[i].Name] = rows[i].Leaving
		rows[i].Leaving = rows[i].Leaving && !e.facts.disabled.leavingMark
	}
	e.apply(c, e.table.ApplyList(c.Now, rows, c.Random()))
	for _, name := range []string{"agent-1", "agent-2"} {
		if !listed[name] && e.facts.disabled.observation {
			e.apply(c, e.table.Drop(name))
		}
	}
}

// handleReport handles a message of a link. A link delivers messages in order and without gaps,
// or it breaks.
func (e *entryNode) handleReport(c *faultmatrix.Context, from string, m report) {
	l := e.links[from]
	if l == nil || l.id != m.link || m.seq <= l.seq {
		return
	}
	if m.seq != l.seq+1 {
		e.loseLink(c, from)
		return
	}
	e.lastReport[from] = c.Now
	e.knownDraining[m.Incarnation] = e.knownDraining[m.Incarnation] || m.Draining
	m.Draining = m.Draining && !e.facts.disabled.draining
	if l.seq == 0 {
		e.table.LinkUp(c.Now, from, m.Report)
	} else {
		e.table.HandleReport(c.Now, from, m.Report)
	}
	l.seq, l.incarnation = m.seq, m.Incarnation
}

// request sends a request to an eligible agent and checks that the agent may get it.
func (e *entryNode) request(c *faultmatrix.Context) {
	e.checkAgentTwo(c)
	for _, name := range []string{"agent-1", "agent-2"} {
		if !e.table.Eligible(c.Now, name) {
			continue
		}
		incarnation := e.links[name].incarnation
		c.Send(name, attemptRequest{incarnation})
		if e.knownDraining[incarnation] {
			e.facts.violate("sent work to %s, which had reported that it is draining", incarnation)
		}
		if e.listedLeaving[name] {
			e.facts.violate("sent work to %s, which the list marks as leaving", name)
		}
		if began, ok := e.facts.drained[incarnation]; ok && c.Now.Sub(began) > membership.LeavingBound {
			e.facts.violate("sent work to %s %v after its drain began", incarnation, c.Now.Sub(began))
		}
		if c.Now.Sub(e.lastReport[name]) > linkTimeout {
			e.facts.violate("sent work to %s, whose link was idle for %v", name, c.Now.Sub(e.lastReport[name]))
		}
		return
	}
}

// checkAgentTwo checks that agent-2, which never leaves, is eligible while its link delivers
// reports, even if it is missing from the list.
func (e *entryNode) checkAgentTwo(c *faultmatrix.Context) {
	last, linked := e.lastReport["agent-2"]
	if linked && c.Now.Sub(last) <= linkTimeout && !e.table.Eligible(c.Now, "agent-2") {
		e.facts.violate("agent-2 is not eligible although its link delivers reports")
	}
}

func endOfRun(*faultmatrix.Context) time.Time {
	return time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC).Add(runFor)
}

func scenario(disabled disabledMechanisms) faultmatrix.Scenario {
	return faultmatrix.Scenario{
		Protocol: "leaving backend server",
		Build: func(w *faultmatrix.World) {
			f := &facts{disabled: disabled, drained: make(map[ident.Incarnation]time.Time)}
			w.ScenarioState = f
			w.Add("list", func(int) faultmatrix.Node { return &listNode{facts: f} })
			w.Add("agent-1", func(restarts int) faultmatrix.Node { return newAgent(f, "agent-1", restarts) })
			w.Add("agent-2", func(restarts int) faultmatrix.Node { return newAgent(f, "agent-2", restarts) })
			w.Add("entry", func(restarts int) faultmatrix.Node { return newEntry(f, restarts) })
			w.Start("entry", 0, tick{})
			w.Start("agent-1", drainAt, drainOrder{})
			w.Start("list", drainAt, markLeaving{})
		},
		Check: func(w *faultmatrix.World) []string { return w.ScenarioState.(*facts).violations },
		Inapplicable: []faultmatrix.Fault{
			faultmatrix.LogDown, faultmatrix.LogSlow, faultmatrix.LeaseLapsed, faultmatrix.OperatorRaces,
		},
	}
}

// An entry must send no work to an agent that it knows to be leaving or unreachable, and must keep
// using the agent that stays, under every fault.
func TestLeavingBackendServerUnderEveryFault(t *testing.T) {
	faultmatrix.Test(t, scenario(disabledMechanisms{}))
}

// Turning off any one mechanism must lead to a violation, otherwise the matrix does not test that
// mechanism.
func TestMatrixDetectsDisabledMechanisms(t *testing.T) {
	for name, disabled := range map[string]disabledMechanisms{
		"the agent's refusal":         {refusal: true},
		"the agent's draining report": {draining: true},
		"the list's leaving mark":     {leavingMark: true},
		"the link timeout":            {linkTimeout: true},
		"direct observation":          {observation: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faultmatrix.RequireViolation(t, scenario(disabled))
		})
	}
}

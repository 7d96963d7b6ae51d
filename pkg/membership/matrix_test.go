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

// The protocol: an entry follows a lagging list and holds links to two agents
// that heartbeat; it sends a request every second. At 2 s the operator drains
// agent-1, and the list begins to call it leaving, which it serves 2 s later.
const (
	drainAt  = 2 * time.Second
	listLag  = 2 * time.Second
	runFor   = 9 * time.Second
	period   = time.Second
	silence  = 3 * time.Second
	dialWait = 2 * time.Second
)

type (
	tick        struct{}
	readList    struct{}
	reading     struct{ rows []membership.Row }
	drainOrder  struct{}
	markLeaving struct{}
	hello       struct{ link int }
	report      struct {
		link, seq int
		membership.Report
	}
	dialTimeout struct {
		agent string
		link  int
	}
	attempt      struct{ life ident.Incarnation }
	done         struct{}
	refused      struct{ life ident.Incarnation }
	heartbeatDue struct{ link int }
)

// off turns one mechanism off.
type off struct{ refusal, word, row, silence, observation bool }

type facts struct {
	off        off
	violations []string
	drained    map[ident.Incarnation]time.Time
	listEmpty  bool
	listFrozen bool
}

// Inject implements the fault of the list: frozen or empty from now on.
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
	case readList:
		rows := []membership.Row{{Name: "agent-1", Address: "1"}, {Name: "agent-2", Address: "2"}}
		rows[0].Leaving = !l.marked.IsZero() && !l.facts.listFrozen && c.Now.Sub(l.marked) >= listLag
		if l.facts.listEmpty {
			rows = nil
		}
		c.Send(from, reading{rows})
	}
}

type agentNode struct {
	facts    *facts
	name     string
	life     ident.Incarnation
	progress *drain.Progress
	link     int
	seq      int
}

func newAgent(f *facts, name string, life int) *agentNode {
	return &agentNode{
		facts: f, name: name, life: ident.Incarnation(fmt.Sprintf("%s@%d", name, life)),
		progress: drain.New(drain.Plan{Timeout: time.Hour}),
	}
}

func (a *agentNode) Handle(c *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case drainOrder:
		a.progress.Start(c.Now, 1)
		a.facts.drained[a.life] = c.Now
		a.say(c)
	case hello:
		a.link, a.seq = m.link, 0
		a.say(c)
		c.After(period, heartbeatDue(m))
	case heartbeatDue:
		if m.link == a.link && !c.Now.After(endOfRun(c)) {
			a.say(c)
			c.After(period, m)
		}
	case attempt:
		a.admit(c, from, m)
	}
}

func (a *agentNode) admit(c *faultmatrix.Context, from string, m attempt) {
	if m.life != a.life || !a.progress.AcceptsWork() && !a.facts.off.refusal {
		c.Send(from, refused(m))
		return
	}
	if !a.progress.AcceptsWork() {
		a.facts.violate("%s began new work while draining", a.life)
	}
	c.Send(from, done{})
}

func (a *agentNode) say(c *faultmatrix.Context) {
	if a.link == 0 || c.Now.After(endOfRun(c)) {
		return
	}
	a.seq++
	c.Send("entry", report{a.link, a.seq, membership.Report{
		Name: a.name, Incarnation: a.life, BackendUp: true, Draining: !a.progress.AcceptsWork(),
	}})
}

// entryNode holds the table and what an entry sees of its connections.
type entryNode struct {
	facts *facts
	table *membership.Table
	links map[string]*entryLink
	next  int
	// told is what this life of the entry has been told.
	told  map[ident.Incarnation]bool
	rows  map[string]bool
	heard map[string]time.Time
}

type entryLink struct {
	id, seq int
	life    ident.Incarnation
}

func newEntry(f *facts, life int) *entryNode {
	rules := membership.DefaultRules()
	rules.LinkTimeout = silence
	if f.off.silence {
		rules.LinkTimeout = time.Hour
	}
	return &entryNode{
		facts: f, table: membership.New(rules), links: make(map[string]*entryLink), next: 1000 * life,
		told: make(map[ident.Incarnation]bool), rows: make(map[string]bool), heard: make(map[string]time.Time),
	}
}

func (e *entryNode) Handle(c *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case tick, faultmatrix.Restarted:
		e.tick(c)
	case reading:
		e.read(c, m.rows)
	case report:
		e.report(c, from, m)
	case dialTimeout:
		if l := e.links[m.agent]; l != nil && l.id == m.link && l.seq == 0 {
			e.lose(c, m.agent)
		}
	case refused:
		e.told[m.life] = true
		if !e.facts.off.word {
			e.table.HandleRefusal(from, m.life)
		}
	}
}

func (e *entryNode) tick(c *faultmatrix.Context) {
	if c.Now.After(endOfRun(c)) {
		return
	}
	c.After(period, tick{})
	c.Send("list", readList{})
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

func (e *entryNode) lose(c *faultmatrix.Context, agent string) {
	delete(e.heard, agent)
	delete(e.links, agent)
	e.table.LinkDown(c.Now, agent, c.Random())
}

func (e *entryNode) read(c *faultmatrix.Context, rows []membership.Row) {
	listed := make(map[string]bool)
	for i := range rows {
		listed[rows[i].Name] = true
		e.rows[rows[i].Name] = rows[i].Leaving
		rows[i].Leaving = rows[i].Leaving && !e.facts.off.row
	}
	e.apply(c, e.table.ApplyList(c.Now, rows, c.Random()))
	for _, name := range []string{"agent-1", "agent-2"} {
		if !listed[name] && e.facts.off.observation {
			e.apply(c, e.table.Drop(name))
		}
	}
}

// report takes a message of a link. A link is in order and without gaps, or
// it breaks.
func (e *entryNode) report(c *faultmatrix.Context, from string, m report) {
	l := e.links[from]
	if l == nil || l.id != m.link || m.seq <= l.seq {
		return
	}
	if m.seq != l.seq+1 {
		e.lose(c, from)
		return
	}
	e.heard[from] = c.Now
	e.told[m.Incarnation] = e.told[m.Incarnation] || m.Draining
	m.Draining = m.Draining && !e.facts.off.word
	if l.seq == 0 {
		e.table.LinkUp(c.Now, from, m.Report)
	} else {
		e.table.HandleReport(c.Now, from, m.Report)
	}
	l.seq, l.life = m.seq, m.Incarnation
}

// request sends a request to an agent that takes work and checks that it may.
func (e *entryNode) request(c *faultmatrix.Context) {
	e.checkKept(c)
	for _, name := range []string{"agent-1", "agent-2"} {
		if !e.table.Eligible(c.Now, name) {
			continue
		}
		life := e.links[name].life
		c.Send(name, attempt{life})
		if e.told[life] {
			e.facts.violate("sent work to %s, which had said that it drains", life)
		}
		if e.rows[name] {
			e.facts.violate("sent work to %s, which the list calls leaving", name)
		}
		if began, ok := e.facts.drained[life]; ok && c.Now.Sub(began) > membership.LeavingBound {
			e.facts.violate("sent work to %s %v after its drain began", life, c.Now.Sub(began))
		}
		if c.Now.Sub(e.heard[name]) > silence {
			e.facts.violate("sent work to %s, silent for %v", name, c.Now.Sub(e.heard[name]))
		}
		return
	}
}

// checkKept checks that agent-2, which never leaves, takes work while the entry
// hears from it, whatever the list says or lacks.
func (e *entryNode) checkKept(c *faultmatrix.Context) {
	last, linked := e.heard["agent-2"]
	if linked && c.Now.Sub(last) <= silence && !e.table.Eligible(c.Now, "agent-2") {
		e.facts.violate("agent-2 answers and takes no work")
	}
}

func endOfRun(*faultmatrix.Context) time.Time {
	return time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC).Add(runFor)
}

func scenario(o off) faultmatrix.Scenario {
	return faultmatrix.Scenario{
		Protocol: "leaving backend server",
		Build: func(w *faultmatrix.World) {
			f := &facts{off: o, drained: make(map[ident.Incarnation]time.Time)}
			w.Facts = f
			w.Add("list", func(int) faultmatrix.Node { return &listNode{facts: f} })
			w.Add("agent-1", func(life int) faultmatrix.Node { return newAgent(f, "agent-1", life) })
			w.Add("agent-2", func(life int) faultmatrix.Node { return newAgent(f, "agent-2", life) })
			w.Add("entry", func(life int) faultmatrix.Node { return newEntry(f, life) })
			w.Start("entry", 0, tick{})
			w.Start("agent-1", drainAt, drainOrder{})
			w.Start("list", drainAt, markLeaving{})
		},
		Check: func(w *faultmatrix.World) []string { return w.Facts.(*facts).violations },
		Inapplicable: []faultmatrix.Fault{
			faultmatrix.LogDown, faultmatrix.LogSlow, faultmatrix.LeaseLapsed, faultmatrix.OperatorRaces,
		},
	}
}

func TestLeavingBackendServerUnderEveryFault(t *testing.T) { faultmatrix.Test(t, scenario(off{})) }

// TestLeavingMechanismsHaveTeeth turns off one mechanism at a time.
func TestLeavingMechanismsHaveTeeth(t *testing.T) {
	for name, o := range map[string]off{
		"the agent's own refusal": {refusal: true},
		"the agent's word":        {word: true},
		"the list's word":         {row: true},
		"the bound of silence":    {silence: true},
		"direct observation":      {observation: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faultmatrix.MustFail(t, scenario(o))
		})
	}
}

package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	decision "github.com/fescuehub/fescuehub/pkg/membership"
)

const (
	agentCount     = 12
	runLength      = 8 * time.Minute
	faultAt        = time.Minute
	tickInterval   = 50 * time.Millisecond
	requestsPer    = 30.0
	listEvery      = time.Second
	listLag        = 30 * time.Second
	connectTimeout = 2 * time.Second
)

// epoch is the time of the start of a run.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Case is what happens one minute into a run.
type Case struct {
	Name string
	// Victims is the number of agents that it happens to.
	Victims int
	// ResetLinks is true where the links of a lost agent are reset.
	ResetLinks bool
	// Lost agents answer nothing until Back later; 0 is never.
	Lost         bool
	RestartAfter time.Duration
	// Drained agents refuse.
	Drained bool
	// SameName is true where a lost agent comes back under the same row.
	ListFrozen, ListEmpty bool
}

// Cases lists the runs.
var Cases = []Case{
	{Name: "process killed", Victims: 1, Lost: true, ResetLinks: true},
	{Name: "instance lost without a reset", Victims: 1, Lost: true},
	{Name: "agent drained", Victims: 1, Drained: true},
	{Name: "killed, back after 5 s", Victims: 1, Lost: true, ResetLinks: true, RestartAfter: 5 * time.Second},
	{Name: "list frozen, 3 of 12 lost, back after 60 s", Victims: 3, Lost: true, RestartAfter: time.Minute, ListFrozen: true},
	{Name: "list empty for 7 minutes", ListEmpty: true},
}

// agent is one agent as it is.
type agent struct {
	name     string
	life     ident.Incarnation
	up       bool
	draining bool
}

// world is one entry before some agents.
type world struct {
	c      Case
	random *rand.Rand
	now    time.Duration
	agents []*agent
	table  *decision.Table
	// listOnly is the baseline: an agent takes work while the list has it.
	listOnly bool
	listed   map[string]bool
	linked   map[string]bool
	dials    map[string]time.Duration
	result   Result
}

// Result is one row. Times are in seconds.
type Result struct {
	Case   string `json:"case"`
	Policy string `json:"policy"`
	// LastAttempt is when the last attempt went to a victim after the event.
	LastAttempt float64 `json:"lastWorkSeconds"`
	// Noticed counts requests that needed another attempt, Lost those that
	// found no agent.
	Requests int `json:"requests"`
	Retried  int `json:"noticed"`
	Unserved int `json:"lost"`
	// RecoveredAfter is how long after its return a victim got work, -1 for never.
	RecoveredAfter float64 `json:"workAgainSeconds"`
}

func run(c Case, listOnly bool, seed uint64) Result {
	w := &world{
		c: c, listOnly: listOnly, random: rand.New(rand.NewPCG(seed, 5)), table: decision.New(decision.DefaultRules()),
		listed: make(map[string]bool), linked: make(map[string]bool), dials: make(map[string]time.Duration),
	}
	w.result = Result{Case: c.Name, Policy: "table", RecoveredAfter: -1}
	if listOnly {
		w.result.Policy = "list only"
	}
	for i := range agentCount {
		name := fmt.Sprintf("agent-%d", i)
		w.agents = append(w.agents, &agent{name: name, life: ident.Incarnation(name + "@1"), up: true})
	}
	w.table.SetLinkTimeout(decision.LinkTimeout(agentCount))
	next := time.Duration(0)
	for ; w.now < runLength; w.now += tickInterval {
		w.happen()
		w.poll()
		w.advance()
		for ; next < w.now+tickInterval; next += time.Duration(w.random.ExpFloat64() / requestsPer * float64(time.Second)) {
			w.request()
		}
	}
	return w.result
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

// happen applies the event and the return of the victims.
func (w *world) happen() {
	for _, a := range w.agents[:w.c.Victims] {
		switch {
		case w.now == faultAt:
			a.up = !w.c.Lost
			a.draining = w.c.Drained
			if w.c.Drained && w.linked[a.name] {
				w.table.HandleReport(w.time(), a.name, w.reportOf(a))
			}
			if w.c.Lost && w.c.ResetLinks && w.linked[a.name] {
				w.linked[a.name] = false
				w.table.LinkDown(w.time(), a.name, w.random.Uint64())
			}
		case w.c.RestartAfter > 0 && w.now == faultAt+w.c.RestartAfter:
			a.up = true
			a.life = ident.Incarnation(a.name + "@2")
		}
	}
}

// poll reads the list, which shows what was listLag ago.
func (w *world) poll() {
	if w.now%listEvery != 0 {
		return
	}
	var rows []decision.Row
	shown := w.now - listLag
	for i, a := range w.agents {
		gone := i < w.c.Victims && !w.c.ListFrozen && shown >= faultAt && (w.c.RestartAfter == 0 || shown < faultAt+w.c.RestartAfter)
		if gone || w.c.ListEmpty && w.now >= faultAt {
			continue
		}
		rows = append(rows, decision.Row{Name: a.name, Address: "1"})
	}
	w.table.ApplyList(w.time(), rows, w.random.Uint64())
	clear(w.listed)
	for _, r := range rows {
		w.listed[r.Name] = true
	}
}

// advance carries out the table's actions and sends the heartbeats.
func (w *world) advance() {
	for _, a := range w.table.Advance(w.time()) {
		w.linked[a.Agent] = false
		if a.Kind == decision.Dial {
			w.dials[a.Agent] = w.now
		}
	}
	heartbeat := decision.HeartbeatInterval(agentCount) / tickInterval * tickInterval
	for _, a := range w.agents {
		if began, dialing := w.dials[a.name]; dialing {
			w.dial(a, began)
			continue
		}
		// A link that was not reset stays with the life that is gone.
		if w.linked[a.name] && a.up && !w.stale(a) && w.now%heartbeat == 0 {
			w.table.HandleReport(w.time(), a.name, w.reportOf(a))
		}
	}
}

func (w *world) stale(a *agent) bool {
	return a.life != ident.Incarnation(a.name+"@1") && w.now < faultAt
}

func (w *world) dial(a *agent, began time.Duration) {
	if a.up {
		delete(w.dials, a.name)
		w.linked[a.name] = true
		w.table.LinkUp(w.time(), a.name, w.reportOf(a))
		return
	}
	if w.c.ResetLinks || w.now-began >= connectTimeout {
		delete(w.dials, a.name)
		w.table.LinkDown(w.time(), a.name, w.random.Uint64())
	}
}

func (w *world) reportOf(a *agent) decision.Report {
	return decision.Report{Name: a.name, Incarnation: a.life, BackendUp: true, Draining: a.draining}
}

// request tries agents that take work, at random, until one answers.
func (w *world) request() {
	w.result.Requests++
	var candidates []*agent
	for _, a := range w.agents {
		if w.takesWork(a) {
			candidates = append(candidates, a)
		}
	}
	w.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for try, a := range candidates {
		w.noteVictim(a)
		if a.up && !a.draining {
			return
		}
		if a.draining {
			w.table.HandleRefusal(a.name, a.life)
		}
		if try == 0 {
			w.result.Retried++
		}
	}
	w.result.Unserved++
}

func (w *world) takesWork(a *agent) bool {
	if w.listOnly {
		return w.listed[a.name]
	}
	return w.table.Eligible(w.time(), a.name)
}

func (w *world) noteVictim(a *agent) {
	for _, victim := range w.agents[:w.c.Victims] {
		if victim != a || w.now < faultAt {
			continue
		}
		since := (w.now - faultAt).Seconds()
		if !a.up || a.draining {
			w.result.LastAttempt = since
		} else if w.result.RecoveredAfter < 0 {
			w.result.RecoveredAfter = since - w.c.RestartAfter.Seconds()
		}
	}
}

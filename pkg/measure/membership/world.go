package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	decision "github.com/fescuehub/fescuehub/pkg/membership"
)

const (
	agentCount        = 12
	runLength         = 8 * time.Minute
	faultAt           = time.Minute
	tickInterval      = 50 * time.Millisecond
	requestsPerSecond = 30.0
	listInterval      = time.Second
	listLag           = 30 * time.Second
	connectTimeout    = 2 * time.Second
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Case is the fault that happens one minute into a run.
type Case struct {
	Name string
	// Victims is the number of agents that the fault affects.
	Victims int
	// ResetLinks is true where the links of a lost agent are reset.
	ResetLinks bool
	// Lost agents answer nothing until RestartAfter has passed; 0 means for ever.
	Lost         bool
	RestartAfter time.Duration
	// Drained agents refuse requests.
	Drained bool
	// ListFrozen keeps lost agents in the list. ListEmpty empties the list from the fault on.
	ListFrozen, ListEmpty bool
}

// Cases lists all cases.
var Cases = []Case{
	{Name: "process killed", Victims: 1, Lost: true, ResetLinks: true},
	{Name: "instance lost without a reset", Victims: 1, Lost: true},
	{Name: "agent drained", Victims: 1, Drained: true},
	{Name: "killed, back after 5 s", Victims: 1, Lost: true, ResetLinks: true, RestartAfter: 5 * time.Second},
	{Name: "list frozen, 3 of 12 lost, back after 60 s", Victims: 3, Lost: true, RestartAfter: time.Minute, ListFrozen: true},
	{Name: "list empty for 7 minutes", ListEmpty: true},
}

// agent is the actual state of one agent.
type agent struct {
	name        string
	incarnation ident.Incarnation
	up          bool
	draining    bool
}

// world is the state of one simulation of an entry and its agents.
type world struct {
	faultCase Case
	random    *rand.Rand
	now       time.Duration
	agents    []*agent
	table     *decision.Table
	// listOnly selects the baseline: an agent is eligible while it is in the list.
	listOnly    bool
	listed      map[string]bool
	linked      map[string]bool
	dialStarted map[string]time.Duration
	result      Result
}

// Result is one row. Times are in seconds.
type Result struct {
	Case   string `json:"case"`
	Policy string `json:"policy"`
	// LastAttempt is the time from the fault to the last attempt at a victim that was down or
	// draining.
	LastAttempt float64 `json:"lastWorkSeconds"`
	// Retried counts requests that needed another attempt, Unserved those that no agent answered.
	Requests int `json:"requests"`
	Retried  int `json:"noticed"`
	Unserved int `json:"lost"`
	// RecoveredAfter is the time from the return of a victim to its next attempt, -1 for never.
	RecoveredAfter float64 `json:"workAgainSeconds"`
}

func run(c Case, listOnly bool, seed uint64) Result {
	w := &world{
		faultCase: c, listOnly: listOnly, random: rand.New(rand.NewPCG(seed, 5)), table: decision.New(decision.DefaultRules()),
		listed: make(map[string]bool), linked: make(map[string]bool), dialStarted: make(map[string]time.Duration),
	}
	w.result = Result{Case: c.Name, Policy: "table", RecoveredAfter: -1}
	if listOnly {
		w.result.Policy = "list only"
	}
	for i := range agentCount {
		name := fmt.Sprintf("agent-%d", i)
		w.agents = append(w.agents, &agent{name: name, incarnation: ident.Incarnation(name + "@1"), up: true})
	}
	w.table.SetLinkTimeout(decision.LinkTimeout(agentCount))
	next := time.Duration(0)
	for ; w.now < runLength; w.now += tickInterval {
		w.applyFault()
		w.pollList()
		w.advance()
		for ; next < w.now+tickInterval; next += time.Duration(w.random.ExpFloat64() / requestsPerSecond * float64(time.Second)) {
			w.request()
		}
	}
	return w.result
}

func (w *world) currentTime() time.Time { return epoch.Add(w.now) }

// applyFault applies the fault and the return of the victims.
func (w *world) applyFault() {
	for _, a := range w.agents[:w.faultCase.Victims] {
		switch {
		case w.now == faultAt:
			a.up = !w.faultCase.Lost
			a.draining = w.faultCase.Drained
			if w.faultCase.Drained && w.linked[a.name] {
				w.table.HandleReport(w.currentTime(), a.name, w.reportOf(a))
			}
			if w.faultCase.Lost && w.faultCase.ResetLinks && w.linked[a.name] {
				w.linked[a.name] = false
				w.table.LinkDown(w.currentTime(), a.name, w.random.Uint64())
			}
		case w.faultCase.RestartAfter > 0 && w.now == faultAt+w.faultCase.RestartAfter:
			a.up = true
			a.incarnation = ident.Incarnation(a.name + "@2")
		}
	}
}

// pollList reads the list, which lags listLag behind the agents.
func (w *world) pollList() {
	if w.now%listInterval != 0 {
		return
	}
	var rows []decision.Row
	listedAt := w.now - listLag
	for i, a := range w.agents {
		absent := i < w.faultCase.Victims && !w.faultCase.ListFrozen && listedAt >= faultAt && (w.faultCase.RestartAfter == 0 || listedAt < faultAt+w.faultCase.RestartAfter)
		if absent || w.faultCase.ListEmpty && w.now >= faultAt {
			continue
		}
		rows = append(rows, decision.Row{Name: a.name, Address: "1"})
	}
	w.table.ApplyList(w.currentTime(), rows, w.random.Uint64())
	clear(w.listed)
	for _, r := range rows {
		w.listed[r.Name] = true
	}
}

// advance executes the table's actions and sends the heartbeats.
func (w *world) advance() {
	for _, a := range w.table.Advance(w.currentTime()) {
		w.linked[a.Agent] = false
		if a.Kind == decision.Dial {
			w.dialStarted[a.Agent] = w.now
		}
	}
	heartbeat := decision.HeartbeatInterval(agentCount) / tickInterval * tickInterval
	for _, a := range w.agents {
		if started, dialing := w.dialStarted[a.name]; dialing {
			w.dial(a, started)
			continue
		}
		// A link that was not reset still belongs to the previous incarnation.
		if w.linked[a.name] && a.up && !w.stale(a) && w.now%heartbeat == 0 {
			w.table.HandleReport(w.currentTime(), a.name, w.reportOf(a))
		}
	}
}

func (w *world) stale(a *agent) bool {
	return a.incarnation != ident.Incarnation(a.name+"@1") && w.now < faultAt
}

func (w *world) dial(a *agent, started time.Duration) {
	if a.up {
		delete(w.dialStarted, a.name)
		w.linked[a.name] = true
		w.table.LinkUp(w.currentTime(), a.name, w.reportOf(a))
		return
	}
	if w.faultCase.ResetLinks || w.now-started >= connectTimeout {
		delete(w.dialStarted, a.name)
		w.table.LinkDown(w.currentTime(), a.name, w.random.Uint64())
	}
}

func (w *world) reportOf(a *agent) decision.Report {
	return decision.Report{Name: a.name, Incarnation: a.incarnation, BackendUp: true, Draining: a.draining}
}

// request tries the eligible agents in random order until one answers.
func (w *world) request() {
	w.result.Requests++
	var candidates []*agent
	for _, a := range w.agents {
		if w.isEligible(a) {
			candidates = append(candidates, a)
		}
	}
	w.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for try, a := range candidates {
		w.recordVictimAttempt(a)
		if a.up && !a.draining {
			return
		}
		if a.draining {
			w.table.HandleRefusal(a.name, a.incarnation)
		}
		if try == 0 {
			w.result.Retried++
		}
	}
	w.result.Unserved++
}

func (w *world) isEligible(a *agent) bool {
	if w.listOnly {
		return w.listed[a.name]
	}
	return w.table.Eligible(w.currentTime(), a.name)
}

// recordVictimAttempt records an attempt at a victim after the fault.
func (w *world) recordVictimAttempt(a *agent) {
	for _, victim := range w.agents[:w.faultCase.Victims] {
		if victim != a || w.now < faultAt {
			continue
		}
		since := (w.now - faultAt).Seconds()
		if !a.up || a.draining {
			w.result.LastAttempt = since
		} else if w.result.RecoveredAfter < 0 {
			w.result.RecoveredAfter = since - w.faultCase.RestartAfter.Seconds()
		}
	}
}

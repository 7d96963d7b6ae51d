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

// simulation is the state of one simulation of an entry and its agents.
type simulation struct {
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
	// RecoveredAfter is the time from the restart of a victim to the next attempt at it, -1 for
	// never.
	RecoveredAfter float64 `json:"workAgainSeconds"`
}

func run(c Case, listOnly bool, seed uint64) Result {
	sim := &simulation{
		faultCase: c, listOnly: listOnly, random: rand.New(rand.NewPCG(seed, 5)), table: decision.New(decision.DefaultRules()),
		listed: make(map[string]bool), linked: make(map[string]bool), dialStarted: make(map[string]time.Duration),
	}
	sim.result = Result{Case: c.Name, Policy: "table", RecoveredAfter: -1}
	if listOnly {
		sim.result.Policy = "list only"
	}
	for i := range agentCount {
		name := fmt.Sprintf("agent-%d", i)
		sim.agents = append(sim.agents, &agent{name: name, incarnation: ident.Incarnation(name + "@1"), up: true})
	}
	sim.table.SetLinkTimeout(decision.LinkTimeout(agentCount))
	next := time.Duration(0)
	for ; sim.now < runLength; sim.now += tickInterval {
		sim.applyFault()
		sim.pollList()
		sim.advance()
		for ; next < sim.now+tickInterval; next += time.Duration(sim.random.ExpFloat64() / requestsPerSecond * float64(time.Second)) {
			sim.request()
		}
	}
	return sim.result
}

func (sim *simulation) currentTime() time.Time { return epoch.Add(sim.now) }

// applyFault applies the fault to the victims, and restarts them.
func (sim *simulation) applyFault() {
	for _, a := range sim.agents[:sim.faultCase.Victims] {
		switch {
		case sim.now == faultAt:
			a.up = !sim.faultCase.Lost
			a.draining = sim.faultCase.Drained
			if sim.faultCase.Drained && sim.linked[a.name] {
				sim.table.HandleReport(sim.currentTime(), a.name, sim.reportOf(a))
			}
			if sim.faultCase.Lost && sim.faultCase.ResetLinks && sim.linked[a.name] {
				sim.linked[a.name] = false
				sim.table.LinkDown(sim.currentTime(), a.name, sim.random.Uint64())
			}
		case sim.faultCase.RestartAfter > 0 && sim.now == faultAt+sim.faultCase.RestartAfter:
			a.up = true
			a.incarnation = ident.Incarnation(a.name + "@2")
		}
	}
}

// pollList reads the list, which lags listLag behind the agents.
func (sim *simulation) pollList() {
	if sim.now%listInterval != 0 {
		return
	}
	var rows []decision.Row
	listedAt := sim.now - listLag
	for i, a := range sim.agents {
		absent := i < sim.faultCase.Victims && !sim.faultCase.ListFrozen && listedAt >= faultAt && (sim.faultCase.RestartAfter == 0 || listedAt < faultAt+sim.faultCase.RestartAfter)
		if absent || sim.faultCase.ListEmpty && sim.now >= faultAt {
			continue
		}
		rows = append(rows, decision.Row{Name: a.name, Address: "1"})
	}
	sim.table.ApplyList(sim.currentTime(), rows, sim.random.Uint64())
	clear(sim.listed)
	for _, r := range rows {
		sim.listed[r.Name] = true
	}
}

// advance executes the table's actions and sends the heartbeats.
func (sim *simulation) advance() {
	for _, a := range sim.table.Advance(sim.currentTime()) {
		sim.linked[a.Agent] = false
		if a.Kind == decision.Dial {
			sim.dialStarted[a.Agent] = sim.now
		}
	}
	heartbeat := decision.HeartbeatInterval(agentCount) / tickInterval * tickInterval
	for _, a := range sim.agents {
		if started, dialing := sim.dialStarted[a.name]; dialing {
			sim.dial(a, started)
			continue
		}
		if sim.linked[a.name] && a.up && !sim.linkPredatesRestart(a) && sim.now%heartbeat == 0 {
			sim.table.HandleReport(sim.currentTime(), a.name, sim.reportOf(a))
		}
	}
}

// linkPredatesRestart is meant to report whether an agent has restarted while its link was not
// reset: the link still belongs to the previous incarnation and carries no heartbeats. It returns
// false in all Cases, because incarnations change only after faultAt, so heartbeats of a restarted
// agent are also delivered on a link that has not been closed since.
func (sim *simulation) linkPredatesRestart(a *agent) bool {
	return a.incarnation != ident.Incarnation(a.name+"@1") && sim.now < faultAt
}

func (sim *simulation) dial(a *agent, started time.Duration) {
	if a.up {
		delete(sim.dialStarted, a.name)
		sim.linked[a.name] = true
		sim.table.LinkUp(sim.currentTime(), a.name, sim.reportOf(a))
		return
	}
	if sim.faultCase.ResetLinks || sim.now-started >= connectTimeout {
		delete(sim.dialStarted, a.name)
		sim.table.LinkDown(sim.currentTime(), a.name, sim.random.Uint64())
	}
}

func (sim *simulation) reportOf(a *agent) decision.Report {
	return decision.Report{Name: a.name, Incarnation: a.incarnation, BackendUp: true, Draining: a.draining}
}

// request tries the eligible agents in random order until one answers.
func (sim *simulation) request() {
	sim.result.Requests++
	var candidates []*agent
	for _, a := range sim.agents {
		if sim.isEligible(a) {
			candidates = append(candidates, a)
		}
	}
	sim.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for try, a := range candidates {
		sim.recordVictimAttempt(a)
		if a.up && !a.draining {
			return
		}
		if a.draining {
			sim.table.HandleRefusal(a.name, a.incarnation)
		}
		if try == 0 {
			sim.result.Retried++
		}
	}
	sim.result.Unserved++
}

func (sim *simulation) isEligible(a *agent) bool {
	if sim.listOnly {
		return sim.listed[a.name]
	}
	return sim.table.Eligible(sim.currentTime(), a.name)
}

// recordVictimAttempt records an attempt at a victim after the fault.
func (sim *simulation) recordVictimAttempt(a *agent) {
	for _, victim := range sim.agents[:sim.faultCase.Victims] {
		if victim != a || sim.now < faultAt {
			continue
		}
		since := (sim.now - faultAt).Seconds()
		if !a.up || a.draining {
			sim.result.LastAttempt = since
		} else if sim.result.RecoveredAfter < 0 {
			sim.result.RecoveredAfter = since - sim.faultCase.RestartAfter.Seconds()
		}
	}
}

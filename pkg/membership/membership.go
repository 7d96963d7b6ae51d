// Package membership decides which agents an entry connects to and which of them are eligible for
// new work. It combines the platform's instance list, which lags, with what the entry observes
// itself: links, link timeouts, refusals and incarnations. It has no clock, socket or random
// source of its own.
//
// The first of these rules that applies decides:
//
//  1. An incarnation that has reported that it is draining never becomes eligible again.
//  2. An agent that the list has marked as leaving is not eligible until the list marks it as live,
//     even if its row disappears or its incarnation changes.
//  3. An agent without a link, or whose link has timed out, is not eligible.
//  4. An agent that reports another name than its row has is not eligible.
//  5. An agent whose backend server is down is not eligible.
//  6. Every other agent is eligible, even if it is missing from the list: a list that is frozen,
//     empty or shrunk makes no agent ineligible.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Row is one agent in the instance list.
type Row struct {
	Name string
	// Address distinguishes agents that are listed under the same name.
	Address string
	Leaving bool
}

// Report is the state that an agent reports on its link.
type Report struct {
	Name        string
	Incarnation ident.Incarnation
	Draining    bool
	BackendUp   bool
}

// ActionKind is the kind of an Action.
type ActionKind int

// The actions.
const (
	// Dial opens the link to Address.
	Dial ActionKind = iota + 1
	// Close closes the link, or cancels the dial.
	Close
	// Forget closes the link and removes the agent.
	Forget
)

// Action is a step that the entry must carry out.
type Action struct {
	Kind    ActionKind
	Agent   string
	Address string
}

// Rules are the timeouts and limits of a Table.
type Rules struct {
	// LinkTimeout is how long a link may be idle before its agent becomes ineligible and the link
	// is reopened.
	LinkTimeout time.Duration
	// ForgetAfter is how long the entry keeps trying to reach an agent that is neither listed nor
	// reachable.
	ForgetAfter time.Duration
	// DialBackoff is the pause after the first failed dial. It doubles with each failure up to
	// MaxDialBackoff. Each pause is a random value between half of that and all of it.
	DialBackoff, MaxDialBackoff time.Duration
	// FirstDialJitter spreads the first dials to agents that are new in the list.
	FirstDialJitter time.Duration
}

// DefaultRules returns the rules that entries use.
func DefaultRules() Rules {
	return Rules{
		LinkTimeout:     time.Second,
		ForgetAfter:     10 * time.Minute,
		DialBackoff:     200 * time.Millisecond,
		MaxDialBackoff:  5 * time.Second,
		FirstDialJitter: 100 * time.Millisecond,
	}
}

// LeavingBound is the longest time for which a leaving backend server may still get new work,
// counted from the start of its agent's drain or from when the list marks it as leaving.
const LeavingBound = 5 * time.Second

// Table holds the agents known to one entry. It is not safe for concurrent use.
type Table struct {
	rules  Rules
	agents map[string]*agent
}

type linkState int

const (
	linkDown linkState = iota
	linkDialing
	linkUp
)

type agent struct {
	row    Row
	listed bool
	// unreachableSince is the time since which the agent is neither listed nor reachable.
	unreachableSince time.Time
	// listedLeaving is kept when the row disappears from the list.
	listedLeaving bool
	link          linkState
	dialAt        time.Time
	failedDials   int
	incarnation   ident.Incarnation
	draining      bool
	backendUp     bool
	nameMismatch  bool
	lastActivity  time.Time
}

// New returns an empty table.
func New(rules Rules) *Table {
	return &Table{rules: rules, agents: make(map[string]*agent)}
}

// SetLinkTimeout changes Rules.LinkTimeout.
func (t *Table) SetLinkTimeout(d time.Duration) { t.rules.LinkTimeout = d }

// ApplyList applies a reading of the instance list and returns the actions to carry out. random
// is the source of the dial jitter.
func (t *Table) ApplyList(now time.Time, rows []Row, random uint64) []Action {
	var actions []Action
	chosen := t.chooseRows(rows)
	for _, row := range rows {
		if chosen[row.Name] == row {
			actions = append(actions, t.applyRow(now, row, &random)...)
		}
	}
	for name, a := range t.agents {
		if _, ok := chosen[name]; !ok && a.listed {
			a.listed = false
			a.unreachableSince = now
		}
	}
	return actions
}

// chooseRows chooses one row for each name. If a name is listed twice, the address of an open link
// is kept; after failed dials the other address is chosen, and otherwise the lower one.
func (t *Table) chooseRows(rows []Row) map[string]Row {
	chosen := make(map[string]Row, len(rows))
	for _, row := range rows {
		other, twice := chosen[row.Name]
		if twice && !t.prefers(row, other) {
			continue
		}
		chosen[row.Name] = row
	}
	return chosen
}

// prefers reports whether row is chosen over other, which has the same name.
func (t *Table) prefers(row, other Row) bool {
	a, known := t.agents[row.Name]
	if known && a.link == linkUp && !a.nameMismatch {
		return row.Address == a.row.Address
	}
	if known && a.failedDials > 0 && (row.Address == a.row.Address) != (other.Address == a.row.Address) {
		return other.Address == a.row.Address
	}
	return row.Address < other.Address
}

func (t *Table) applyRow(now time.Time, row Row, random *uint64) []Action {
	a, known := t.agents[row.Name]
	if !known {
		a = &agent{dialAt: now.Add(jitter(t.rules.FirstDialJitter, random))}
		t.agents[row.Name] = a
	}
	addressChanged := known && a.row.Address != row.Address
	a.row = row
	a.listed = true
	a.listedLeaving = row.Leaving
	if !addressChanged {
		return nil
	}
	a.link = linkDown
	a.dialAt = now
	a.failedDials = 0
	return []Action{{Close, row.Name, row.Address}}
}

// Drop removes an agent that is assigned to other entries.
func (t *Table) Drop(name string) []Action {
	a, ok := t.agents[name]
	if !ok {
		return nil
	}
	delete(t.agents, name)
	return []Action{{Forget, name, a.row.Address}}
}

// LinkUp records that the link is open, and the first report on it.
func (t *Table) LinkUp(now time.Time, name string, r Report) {
	a, ok := t.agents[name]
	if !ok {
		return
	}
	a.link = linkUp
	a.nameMismatch = r.Name != name
	if !a.nameMismatch {
		a.failedDials = 0
	}
	if r.Incarnation != a.incarnation {
		a.incarnation = r.Incarnation
		a.draining = false
	}
	t.applyReport(now, a, r)
}

// HandleReport applies a report received on the open link. A report of another incarnation than
// the link's is ignored.
func (t *Table) HandleReport(now time.Time, name string, r Report) {
	if a, ok := t.agents[name]; ok && a.link == linkUp && r.Incarnation == a.incarnation {
		t.applyReport(now, a, r)
	}
}

func (t *Table) applyReport(now time.Time, a *agent, r Report) {
	a.draining = a.draining || r.Draining
	a.backendUp = r.BackendUp
	a.lastActivity = later(a.lastActivity, now)
}

// HandleActivity records that the agent sent something other than a report, such as a part of an
// answer.
func (t *Table) HandleActivity(now time.Time, name string, incarnation ident.Incarnation) {
	if a, ok := t.agents[name]; ok && a.incarnation == incarnation {
		a.lastActivity = later(a.lastActivity, now)
	}
}

// HandleRefusal records that the incarnation refused an attempt because it is draining.
func (t *Table) HandleRefusal(name string, incarnation ident.Incarnation) {
	if a, ok := t.agents[name]; ok && a.incarnation == incarnation {
		a.draining = true
	}
}

// HandleConnectFailure records that a connection for an attempt could not be opened. The link
// must be reopened before the agent is eligible again.
func (t *Table) HandleConnectFailure(now time.Time, name string, incarnation ident.Incarnation) []Action {
	a, ok := t.agents[name]
	if !ok || a.link != linkUp || a.incarnation != incarnation {
		return nil
	}
	a.link = linkDown
	a.dialAt = now
	return []Action{{Close, name, a.row.Address}}
}

// LinkDown records that the link was closed or could not be opened. random is the source of the
// jitter of the next dial.
func (t *Table) LinkDown(now time.Time, name string, random uint64) {
	a, ok := t.agents[name]
	if !ok {
		return
	}
	a.link = linkDown
	a.dialAt = now.Add(t.dialBackoff(a.failedDials, &random))
	a.failedDials++
	if !a.listed && a.unreachableSince.IsZero() {
		a.unreachableSince = now
	}
}

// dialBackoff returns the pause after the given number of earlier failures.
func (t *Table) dialBackoff(failures int, random *uint64) time.Duration {
	d := t.rules.DialBackoff
	for range failures {
		d = min(2*d, t.rules.MaxDialBackoff)
	}
	return d/2 + jitter(d/2, random)
}

// Advance returns the actions that are due: links to dial or close, agents to forget.
func (t *Table) Advance(now time.Time) []Action {
	var actions []Action
	for name, a := range t.agents {
		switch {
		case a.link == linkUp && t.timedOut(now, a):
			a.link = linkDown
			a.dialAt = now
			actions = append(actions, Action{Close, name, a.row.Address})
		case a.link != linkUp && !a.listed && now.Sub(later(a.unreachableSince, a.lastActivity)) >= t.rules.ForgetAfter:
			delete(t.agents, name)
			actions = append(actions, Action{Forget, name, a.row.Address})
		case a.link == linkDown && !now.Before(a.dialAt):
			a.link = linkDialing
			actions = append(actions, Action{Dial, name, a.row.Address})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return strings.Compare(a.Agent, b.Agent) })
	return actions
}

func (t *Table) timedOut(now time.Time, a *agent) bool {
	return now.Sub(a.lastActivity) > t.rules.LinkTimeout
}

// Eligibility is whether an agent is eligible for new work and, if not, why.
type Eligibility string

// The values of Eligibility.
const (
	Eligible      Eligibility = "takes-work"
	Unknown       Eligibility = "unknown"
	NoLink        Eligibility = "no-link"
	NameMismatch  Eligibility = "other-name"
	Draining      Eligibility = "draining"
	ListedLeaving Eligibility = "listed-leaving"
	BackendDown   Eligibility = "backend-down"
	LinkTimedOut  Eligibility = "silent"
)

// Eligibility returns the eligibility of an agent.
func (t *Table) Eligibility(now time.Time, name string) Eligibility {
	a, ok := t.agents[name]
	switch {
	case !ok:
		return Unknown
	case a.draining:
		return Draining
	case a.listedLeaving:
		return ListedLeaving
	case a.link != linkUp:
		return NoLink
	case t.timedOut(now, a):
		return LinkTimedOut
	case a.nameMismatch:
		return NameMismatch
	case !a.backendUp:
		return BackendDown
	}
	return Eligible
}

// Eligible reports whether the agent may be given new work.
func (t *Table) Eligible(now time.Time, name string) bool {
	return t.Eligibility(now, name) == Eligible
}

func (t *Table) Len() int { return len(t.agents) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// jitter returns a pseudo-random duration below d and advances the state random.
func jitter(d time.Duration, random *uint64) time.Duration {
	*random = *random*6364136223846793005 + 1442695040888963407
	return time.Duration(float64(*random>>11) / (1 << 53) * float64(d))
}

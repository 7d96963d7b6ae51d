// Package membership decides which agents an entry connects to and which of
// them take work. It fuses the platform's lagging list with what the entry
// observes itself: links, their silence, refusals and incarnations. It has no
// clock, socket or random source of its own.
//
// The rules, the first that applies decides:
//
//  1. An incarnation that has said that it is draining takes no work again.
//  2. An agent that the list has called leaving takes no work until the list
//     calls it live, whatever becomes of its row and its incarnation.
//  3. An agent without a link, or silent on it for the bound, takes no work.
//  4. An agent that answers under another name than its row takes no work.
//  5. Every other agent takes work, also where the list no longer has it: a
//     list that is frozen, empty or has shrunk takes nothing away.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Row is one agent in a reading of the list.
type Row struct {
	Name string
	// Address tells apart agents that are listed under one name.
	Address string
	Leaving bool
}

// Report is what an agent says of itself on its link.
type Report struct {
	Name        string
	Incarnation ident.Incarnation
	Draining    bool
	BackendUp   bool
}

// ActionKind says what the entry must do.
type ActionKind int

// The actions.
const (
	// Dial opens the link to Address.
	Dial ActionKind = iota + 1
	// Close ends the link, or the attempt to open it.
	Close
	// Forget removes the agent after ending its link.
	Forget
)

// Action is an order to the entry.
type Action struct {
	Kind    ActionKind
	Agent   string
	Address string
}

// Rules bound the decisions.
type Rules struct {
	// LinkTimeout is how long a link may carry nothing before its agent takes no
	// work and the link is made again.
	LinkTimeout time.Duration
	// ForgetAfter is how long an agent that is not listed and not reached is
	// still tried.
	ForgetAfter time.Duration
	// DialBackoff is the pause after the first failed dial. It doubles up to
	// MaxDialBackoff, and each pause is between half and all of that.
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

// LeavingBound is within how long a leaving backend server gets no new work,
// from when its agent knows or the list says so.
const LeavingBound = 5 * time.Second

// Table holds the agents of one entry. It is not safe for concurrent use.
type Table struct {
	rules  Rules
	agents map[string]*agent
}

type linkState int

const (
	down linkState = iota
	dialing
	up
)

type agent struct {
	row    Row
	listed bool
	// unseen is since when the agent is neither listed nor reached.
	unseen time.Time
	// leaving is kept when the row goes away.
	leaving  bool
	link     linkState
	dialAt   time.Time
	dials    int
	life     ident.Incarnation
	draining bool
	backend  bool
	stranger bool
	heard    time.Time
}

// New returns an empty table.
func New(rules Rules) *Table {
	return &Table{rules: rules, agents: make(map[string]*agent)}
}

// SetLinkTimeout changes the bound of silence.
func (t *Table) SetLinkTimeout(d time.Duration) { t.rules.LinkTimeout = d }

// ApplyList takes a reading of the list. The random number spreads the dials.
func (t *Table) ApplyList(now time.Time, rows []Row, random uint64) []Action {
	var actions []Action
	chosen := t.chooseRows(rows)
	for _, row := range rows {
		if chosen[row.Name] == row {
			actions = append(actions, t.listRow(now, row, &random)...)
		}
	}
	for name, a := range t.agents {
		if _, ok := chosen[name]; !ok && a.listed {
			a.listed = false
			a.unseen = now
		}
	}
	return actions
}

// chooseRows takes one row for each name. Where a name is listed twice, the
// agent that is in use stays, and else the lower address is taken.
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

func (t *Table) prefers(row, other Row) bool {
	a, known := t.agents[row.Name]
	if known && a.link == up && !a.stranger {
		return row.Address == a.row.Address
	}
	if known && a.dials > 0 && (row.Address == a.row.Address) != (other.Address == a.row.Address) {
		return other.Address == a.row.Address
	}
	return row.Address < other.Address
}

func (t *Table) listRow(now time.Time, row Row, random *uint64) []Action {
	a, known := t.agents[row.Name]
	if !known {
		a = &agent{dialAt: now.Add(spread(t.rules.FirstDialJitter, random))}
		t.agents[row.Name] = a
	}
	moved := known && a.row.Address != row.Address
	a.row = row
	a.listed = true
	a.leaving = row.Leaving
	if !moved {
		return nil
	}
	a.link = down
	a.dialAt = now
	a.dials = 0
	return []Action{{Close, row.Name, row.Address}}
}

// Drop forgets an agent that this entry leaves to other entries.
func (t *Table) Drop(name string) []Action {
	a, ok := t.agents[name]
	if !ok {
		return nil
	}
	delete(t.agents, name)
	return []Action{{Forget, name, a.row.Address}}
}

// LinkUp notes that the link is open and what the agent said on it.
func (t *Table) LinkUp(now time.Time, name string, r Report) {
	a, ok := t.agents[name]
	if !ok {
		return
	}
	a.link = up
	a.stranger = r.Name != name
	if !a.stranger {
		a.dials = 0
	}
	if r.Incarnation != a.life {
		a.life = r.Incarnation
		a.draining = false
	}
	t.take(now, a, r)
}

// HandleReport takes a report on the open link. A report of another incarnation than
// the link's is ignored.
func (t *Table) HandleReport(now time.Time, name string, r Report) {
	if a, ok := t.agents[name]; ok && a.link == up && r.Incarnation == a.life {
		t.take(now, a, r)
	}
}

func (t *Table) take(now time.Time, a *agent, r Report) {
	a.draining = a.draining || r.Draining
	a.backend = r.BackendUp
	a.heard = later(a.heard, now)
}

// HandleActivity notes that the agent sent something else, such as a part of an answer.
func (t *Table) HandleActivity(now time.Time, name string, life ident.Incarnation) {
	if a, ok := t.agents[name]; ok && a.life == life {
		a.heard = later(a.heard, now)
	}
}

// HandleRefusal notes that the incarnation refused an attempt because it drains.
func (t *Table) HandleRefusal(name string, life ident.Incarnation) {
	if a, ok := t.agents[name]; ok && a.life == life {
		a.draining = true
	}
}

// HandleConnectFailure notes that a connection for an attempt could not be opened. The
// link is made again before the agent takes work.
func (t *Table) HandleConnectFailure(now time.Time, name string, life ident.Incarnation) []Action {
	a, ok := t.agents[name]
	if !ok || a.link != up || a.life != life {
		return nil
	}
	a.link = down
	a.dialAt = now
	return []Action{{Close, name, a.row.Address}}
}

// LinkDown notes that the link has ended or could not be opened.
func (t *Table) LinkDown(now time.Time, name string, random uint64) {
	a, ok := t.agents[name]
	if !ok {
		return
	}
	a.link = down
	a.dialAt = now.Add(t.pause(a.dials, &random))
	a.dials++
	if !a.listed && a.unseen.IsZero() {
		a.unseen = now
	}
}

func (t *Table) pause(dials int, random *uint64) time.Duration {
	d := t.rules.DialBackoff
	for range dials {
		d = min(2*d, t.rules.MaxDialBackoff)
	}
	return d/2 + spread(d/2, random)
}

// Advance returns what is due: dials, links to close, agents to forget.
func (t *Table) Advance(now time.Time) []Action {
	var actions []Action
	for name, a := range t.agents {
		switch {
		case a.link == up && t.silent(now, a):
			a.link = down
			a.dialAt = now
			actions = append(actions, Action{Close, name, a.row.Address})
		case a.link != up && !a.listed && now.Sub(later(a.unseen, a.heard)) >= t.rules.ForgetAfter:
			delete(t.agents, name)
			actions = append(actions, Action{Forget, name, a.row.Address})
		case a.link == down && !now.Before(a.dialAt):
			a.link = dialing
			actions = append(actions, Action{Dial, name, a.row.Address})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return strings.Compare(a.Agent, b.Agent) })
	return actions
}

func (t *Table) silent(now time.Time, a *agent) bool { return now.Sub(a.heard) > t.rules.LinkTimeout }

// Eligibility says whether an agent takes work, and if not, why.
type Eligibility string

// The standings.
const (
	Eligible      Eligibility = "takes-work"
	Unknown       Eligibility = "unknown"
	NoLink        Eligibility = "no-link"
	NameMismatch  Eligibility = "other-name"
	Draining      Eligibility = "draining"
	ListedLeaving Eligibility = "listed-leaving"
	BackendDown   Eligibility = "backend-down"
	Silent        Eligibility = "silent"
)

// Eligibility returns the standing of an agent.
func (t *Table) Eligibility(now time.Time, name string) Eligibility {
	a, ok := t.agents[name]
	switch {
	case !ok:
		return Unknown
	case a.draining:
		return Draining
	case a.leaving:
		return ListedLeaving
	case a.link != up:
		return NoLink
	case t.silent(now, a):
		return Silent
	case a.stranger:
		return NameMismatch
	case !a.backend:
		return BackendDown
	}
	return Eligible
}

// Eligible reports whether the agent may be given new work.
func (t *Table) Eligible(now time.Time, name string) bool {
	return t.Eligibility(now, name) == Eligible
}

// Len returns the number of agents known.
func (t *Table) Len() int { return len(t.agents) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// spread takes a duration below d out of the random number, and changes it.
func spread(d time.Duration, random *uint64) time.Duration {
	*random = *random*6364136223846793005 + 1442695040888963407
	return time.Duration(float64(*random>>11) / (1 << 53) * float64(d))
}

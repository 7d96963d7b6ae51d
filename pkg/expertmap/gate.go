package expertmap

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Report is what a rank contributes to the barrier of one step. A rank life
// makes one report for a step and repeats it unchanged.
type Report struct {
	Rank        int               `json:"rank"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Step        int64             `json:"step"`
	// Members is a digest of the incarnations of all ranks as the sender
	// knows them.
	Members uint64 `json:"members"`
	// Loaded lists the maps that the rank has fully loaded.
	Loaded []Version `json:"loaded"`
}

// Actions are what a rank has to do after an event.
type Actions struct {
	// Send is the report to send to every other rank, or nil.
	Send *Report
	// Enter is the step to run, or nil.
	Enter *StepEntry
}

// StepEntry is a step that the rank runs, with the map that every rank that runs
// it uses.
type StepEntry struct {
	Step    int64   `json:"step"`
	Version Version `json:"version"`
}

// Checks are the mechanisms of a Gate. Tests turn them off one by one.
type Checks struct {
	// Barrier makes a rank wait for the reports of all ranks.
	Barrier bool
	// CommonMap makes a step use the newest map that all ranks have loaded.
	CommonMap bool
	// Members makes the reports of a step agree on the incarnations.
	Members bool
}

// AllChecks turns every mechanism on.
var AllChecks = Checks{Barrier: true, CommonMap: true, Members: true}

// Gate decides at one rank when it enters a step and with which map. It
// enters a step only with the reports of all ranks for that step, made with
// one and the same view of the incarnations.
type Gate struct {
	rank    int
	checks  Checks
	members []ident.Incarnation
	// latest is the newest report of each rank.
	latest []Report
	// missing is the rank whose report was found missing last.
	missing int
	// running is true from the entry of a step to its end.
	running bool
	// step is the step that the rank runs or waits for.
	step int64
	// sent is true once the report for the step is fixed.
	sent    bool
	current Version
	loaded  []Version
	// incoming is loaded but in no report yet.
	incoming []Version
}

// NewGate returns the gate of a rank life that holds no map and waits for its
// first step.
func NewGate(rank, ranks int, incarnation ident.Incarnation, checks Checks) *Gate {
	g := &Gate{
		rank:    rank,
		checks:  checks,
		members: make([]ident.Incarnation, ranks),
		latest:  make([]Report, ranks),
		step:    1,
	}
	g.members[rank] = incarnation
	return g
}

// Loaded returns the maps that the rank holds, the one in use first.
func (g *Gate) Loaded() []Version { return slices.Concat(g.loaded, g.incoming) }

// Current returns the map of the last step that the rank entered.
func (g *Gate) Current() Version { return g.current }

// Step returns the step that the rank runs or waits for.
func (g *Gate) Step() int64 { return g.step }

// Running reports whether the rank is in a step.
func (g *Gate) Running() bool { return g.running }

// MissingReports returns the ranks whose report a waiting rank lacks, or all ranks
// where the reports have no map in common.
func (g *Gate) MissingReports() []int {
	if g.running {
		return nil
	}
	var out []int
	all := g.complete()
	for i := range g.latest {
		if all || !g.fits(i) {
			out = append(out, i)
		}
	}
	return out
}

// Install adds a fully loaded map. It counts from the next report on and
// replaces every map but the one in use. It reports false for a map that is
// not newer than all that the rank holds.
func (g *Gate) Install(v Version) bool {
	for _, held := range g.Loaded() {
		if v.Compare(held) <= 0 {
			return false
		}
	}
	g.incoming = []Version{v}
	return true
}

// FinishStep ends the step that the rank runs and waits for the next one.
func (g *Gate) FinishStep() Actions {
	if !g.running {
		return Actions{}
	}
	g.running = false
	g.advance(g.step + 1)
	for _, r := range g.latest {
		g.advance(r.Step)
	}
	return g.proceed(false)
}

// ResendReport sends the report of the step again, after a step without a common
// map that of the next one. The rank calls it while it waits.
func (g *Gate) ResendReport() Actions {
	if g.running {
		return Actions{}
	}
	if g.complete() {
		g.advance(g.step + 1)
	}
	return g.proceed(true)
}

// Receive takes the report of another rank.
func (g *Gate) Receive(r Report) Actions {
	if r.Rank < 0 || r.Rank >= len(g.latest) || r.Rank == g.rank {
		return Actions{}
	}
	changed := g.members[r.Rank] != r.Incarnation
	if !changed && r.Step < g.latest[r.Rank].Step {
		return Actions{}
	}
	g.members[r.Rank] = r.Incarnation
	g.latest[r.Rank] = r
	if g.running {
		return Actions{}
	}
	if changed && g.sent && g.checks.Members {
		g.advance(g.step + 1)
	}
	g.advance(r.Step)
	return g.proceed(false)
}

// advance moves a waiting rank to a later step. No report for the step has
// been made yet.
func (g *Gate) advance(step int64) {
	if step > g.step {
		g.step = step
		g.sent = false
	}
}

// proceed sends the report of the step if it is due and enters the step if
// every report is there.
func (g *Gate) proceed(repeat bool) Actions {
	var a Actions
	if repeat || !g.sent && g.knowsAll() {
		g.fix()
		own := g.latest[g.rank]
		a.Send = &own
	}
	if !g.sent || g.checks.Barrier && !g.complete() {
		return a
	}
	v, ok := g.choose()
	if !ok {
		return a
	}
	g.running = true
	g.current = v
	g.loaded = slices.DeleteFunc(g.loaded, func(w Version) bool { return w.Compare(v) < 0 })
	a.Enter = &StepEntry{Step: g.step, Version: v}
	return a
}

// fix makes the report of the step, once.
func (g *Gate) fix() {
	if g.sent {
		return
	}
	g.sent = true
	if len(g.incoming) > 0 {
		g.loaded = slices.DeleteFunc(g.loaded, func(v Version) bool { return v != g.current })
		g.loaded = append(g.loaded, g.incoming...)
		g.incoming = nil
	}
	g.latest[g.rank] = Report{
		Rank:        g.rank,
		Incarnation: g.members[g.rank],
		Step:        g.step,
		Members:     g.digest(),
		Loaded:      slices.Clone(g.loaded),
	}
}

func (g *Gate) knowsAll() bool { return !slices.Contains(g.members, "") }

// complete reports whether the reports of all ranks for the step are there.
func (g *Gate) complete() bool {
	if !g.sent {
		return false
	}
	if !g.fits(g.missing) {
		return false
	}
	for i := range g.latest {
		if !g.fits(i) {
			g.missing = i
			return false
		}
	}
	return true
}

// fits reports whether the report of a rank is there for the step.
func (g *Gate) fits(rank int) bool {
	r := &g.latest[rank]
	return r.Step == g.step && (!g.checks.Members || r.Members == g.latest[g.rank].Members)
}

// choose returns the newest map that is in every report of the step.
func (g *Gate) choose() (Version, bool) {
	var best Version
	found := false
	for _, v := range g.latest[g.rank].Loaded {
		if (!found || v.Compare(best) > 0) && (!g.checks.CommonMap || g.inAll(v)) {
			best, found = v, true
		}
	}
	return best, found
}

func (g *Gate) inAll(v Version) bool {
	for _, r := range g.latest {
		if g.checks.Barrier && !slices.Contains(r.Loaded, v) {
			return false
		}
	}
	return true
}

// digest hashes the incarnations of all ranks as this rank knows them.
func (g *Gate) digest() uint64 {
	h := xxhash.New()
	for _, m := range g.members {
		_, _ = h.WriteString(string(m))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

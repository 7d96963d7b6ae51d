package expertmap

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Report is the message by which a rank joins the barrier of one step. An incarnation of a rank
// makes one report for each step and repeats it unchanged.
type Report struct {
	Rank        int               `json:"rank"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Step        int64             `json:"step"`
	// Members is a digest of the incarnations of all ranks as known to the sender.
	Members uint64 `json:"members"`
	// Loaded lists the maps that the rank has loaded completely.
	Loaded []Version `json:"loaded"`
}

// Actions are what a rank must do after an event.
type Actions struct {
	// Send is the report to send to every other rank, or nil.
	Send *Report
	// Enter is the step to run, or nil.
	Enter *StepEntry
}

// StepEntry is a step that the rank runs, and its map. Every rank that runs the step uses the same
// map.
type StepEntry struct {
	Step    int64   `json:"step"`
	Version Version `json:"version"`
}

// Checks selects the mechanisms of a Gate. Tests disable them one by one.
type Checks struct {
	// Barrier makes a rank wait for the reports of all ranks.
	Barrier bool
	// CommonMap makes a step use the newest map that all ranks have loaded.
	CommonMap bool
	// Members requires that the reports of a step agree on the incarnations.
	Members bool
}

// AllChecks enables every mechanism.
var AllChecks = Checks{Barrier: true, CommonMap: true, Members: true}

// Gate decides for one rank when it enters a step and which map the step uses. It enters a step
// only with the reports of all ranks for that step, all made with the same view of the
// incarnations.
type Gate struct {
	rank    int
	checks  Checks
	members []ident.Incarnation
	// latest holds the newest report of each rank.
	latest []Report
	// lastMissing is the rank whose report was missing in the last check.
	lastMissing int
	// running is true from the entry of a step to its end.
	running bool
	// step is the step that the rank runs or waits for.
	step int64
	// reportFixed is true once the report for the step has been made.
	reportFixed bool
	current     Version
	loaded      []Version
	// incoming holds loaded maps that are not part of a report yet.
	incoming []Version
}

// NewGate returns the gate of a new incarnation of a rank. It has no map and waits for its first
// step.
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

// Loaded returns the maps that the rank has loaded, the one in use first.
func (g *Gate) Loaded() []Version { return slices.Concat(g.loaded, g.incoming) }

// Current returns the map of the last step that the rank entered.
func (g *Gate) Current() Version { return g.current }

// Step returns the step that the rank runs or waits for.
func (g *Gate) Step() int64 { return g.step }

// Running reports whether the rank is in a step.
func (g *Gate) Running() bool { return g.running }

// MissingReports returns the ranks whose report a waiting rank lacks, or all ranks if every report
// has arrived but they have no map in common.
func (g *Gate) MissingReports() []int {
	if g.running {
		return nil
	}
	var out []int
	all := g.hasAllReports()
	for i := range g.latest {
		if all || !g.hasReport(i) {
			out = append(out, i)
		}
	}
	return out
}

// Install adds a map that has been loaded completely. The map counts from the next report on and
// replaces every map but the one in use. Install returns false if the map is not newer than all
// loaded ones.
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
	return g.reportAndEnter(false)
}

// ResendReport sends the report of the step again. If the step had no common map, it sends the
// report of the next step instead. A waiting rank calls it periodically.
func (g *Gate) ResendReport() Actions {
	if g.running {
		return Actions{}
	}
	if g.hasAllReports() {
		g.advance(g.step + 1)
	}
	return g.reportAndEnter(true)
}

// Receive processes the report of another rank.
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
	if changed && g.reportFixed && g.checks.Members {
		g.advance(g.step + 1)
	}
	g.advance(r.Step)
	return g.reportAndEnter(false)
}

// advance moves a waiting rank to a later step, for which no report has been made yet.
func (g *Gate) advance(step int64) {
	if step > g.step {
		g.step = step
		g.reportFixed = false
	}
}

// reportAndEnter sends the report of the step if it is due, and enters the step if all reports
// have arrived. With resend the report is sent in any case.
func (g *Gate) reportAndEnter(resend bool) Actions {
	var a Actions
	if resend || !g.reportFixed && g.knowsAll() {
		g.fixReport()
		own := g.latest[g.rank]
		a.Send = &own
	}
	if !g.reportFixed || g.checks.Barrier && !g.hasAllReports() {
		return a
	}
	v, ok := g.newestCommon()
	if !ok {
		return a
	}
	g.running = true
	g.current = v
	g.loaded = slices.DeleteFunc(g.loaded, func(w Version) bool { return w.Compare(v) < 0 })
	a.Enter = &StepEntry{Step: g.step, Version: v}
	return a
}

// fixReport makes the report of the step. Later calls for the same step change nothing.
func (g *Gate) fixReport() {
	if g.reportFixed {
		return
	}
	g.reportFixed = true
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

// hasAllReports reports whether the reports of all ranks for the step have arrived.
func (g *Gate) hasAllReports() bool {
	if !g.reportFixed {
		return false
	}
	if !g.hasReport(g.lastMissing) {
		return false
	}
	for i := range g.latest {
		if !g.hasReport(i) {
			g.lastMissing = i
			return false
		}
	}
	return true
}

// hasReport reports whether the report of a rank for the step has arrived and was made with the same
// view of the incarnations.
func (g *Gate) hasReport(rank int) bool {
	r := &g.latest[rank]
	return r.Step == g.step && (!g.checks.Members || r.Members == g.latest[g.rank].Members)
}

// newestCommon returns the newest map that is in every report of the step.
func (g *Gate) newestCommon() (Version, bool) {
	var best Version
	found := false
	for _, v := range g.latest[g.rank].Loaded {
		if (!found || v.Compare(best) > 0) && (!g.checks.CommonMap || g.loadedByAll(v)) {
			best, found = v, true
		}
	}
	return best, found
}

func (g *Gate) loadedByAll(v Version) bool {
	for _, r := range g.latest {
		if g.checks.Barrier && !slices.Contains(r.Loaded, v) {
			return false
		}
	}
	return true
}

// digest hashes the incarnations of all ranks as known to this rank.
func (g *Gate) digest() uint64 {
	h := xxhash.New()
	for _, m := range g.members {
		_, _ = h.WriteString(string(m))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

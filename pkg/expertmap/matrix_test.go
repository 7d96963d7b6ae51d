package expertmap_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// The run covers a switch with a slow and a failing load; a planner that is suspended beyond its
// lease while replies to it are in flight, its successor, and the resumption of the old planner; and a
// rank that restarts during a step while it alone lacks the newest map. Steps and polls are more
// frequent in the first phase.
const (
	matrixRanks    = 4
	fastPhase      = 10 * time.Second
	fastPause      = 4 * time.Second
	slowPause      = 60 * time.Second
	resendPause    = 6 * time.Second
	startOffset    = 1700 * time.Millisecond
	slowLoad       = 61 * time.Second
	restartPause   = 3 * time.Second
	freezeDuration = 190 * time.Second
	maxRunTime     = 2000 * time.Second
	publications   = 3
)

// variant disables one mechanism.
type variant struct {
	checks   expertmap.Checks
	fenceOff bool
	// sameHolder lets a restarted planner claim the lease under its old name.
	sameHolder bool
}

var allMechanisms = variant{checks: expertmap.AllChecks}

// Messages of the run.
type (
	begin          struct{}
	stepEnd        struct{}
	resendDue      struct{}
	poll           struct{}
	installRequest struct {
		incarnation ident.Incarnation
		version     expertmap.Version
	}
	statusRequest struct{}
	rankReport    struct {
		incarnation ident.Incarnation
		loaded      []expertmap.Version
	}
	freezePlanner  struct{}
	killRank       struct{}
	statusResponse struct{ loaded []expertmap.Version }
	targetOrder    struct {
		fencing int64
		version expertmap.Version
	}
	fetchRequest  struct{ version expertmap.Version }
	fetchResponse struct {
		version expertmap.Version
		ok      bool
	}
	readRequest   struct{ from int64 }
	readResponse  struct{ entries []expertmap.LeaseEntry }
	appendRequest struct{ record expertmap.LeaseRecord }
)

// facts records the observable events of the run, and the progress of its faults.
type facts struct {
	w         *faultmatrix.World
	used      map[int64]map[expertmap.Version][]int
	newest    expertmap.Version
	published int
	current   [matrixRanks]expertmap.Version
	// assigned holds the versions that planners have assigned to maps.
	assigned   map[expertmap.Version]bool
	logUntil   time.Duration
	logDelay   time.Duration
	killed     bool
	frozen     bool
	violations []string
}

// Inject applies the faults of the platform: an outage or slow answers of the log. Every run
// contains a lease that expires unnoticed, that of the suspended planner.
func (f *facts) Inject(w *faultmatrix.World, fault faultmatrix.Fault) bool {
	switch fault {
	case faultmatrix.LogDown:
		f.logUntil = w.Elapsed() + 90*time.Second
	case faultmatrix.LogSlow:
		f.logDelay = 20 * time.Second
	case faultmatrix.LeaseLapsed:
		w.Freeze("planner-b", 130*time.Second)
	default:
		return false
	}
	return true
}

func (f *facts) entered(rank int, e expertmap.StepEntry) {
	if f.used[e.Step] == nil {
		f.used[e.Step] = make(map[expertmap.Version][]int)
	}
	f.used[e.Step][e.Version] = append(f.used[e.Step][e.Version], rank)
	f.current[rank] = e.Version
}

// recordVersion records the version of a new map.
func (f *facts) recordVersion(v expertmap.Version) {
	if f.assigned[v] {
		f.violations = append(f.violations, fmt.Sprintf("version %s was assigned to two maps", v))
	}
	f.assigned[v] = true
}

// publish counts a map when the first agent accepts it. A map that reached no agent before its
// planner failed does not count.
func (f *facts) publish(v expertmap.Version) {
	if v.Compare(f.newest) > 0 {
		f.newest = v
		f.published++
	}
}

// done reports whether every rank uses the newest map.
func (f *facts) done() bool {
	if f.published < publications {
		return false
	}
	return !slices.ContainsFunc(f.current[:], func(v expertmap.Version) bool { return v != f.newest })
}

func (f *facts) over() bool { return f.done() || f.w.Elapsed() > maxRunTime }

func (f *facts) pause() time.Duration {
	if f.w.Elapsed() < fastPhase {
		return fastPause
	}
	return slowPause
}

// faultNode applies the faults that are part of every run.
type faultNode struct{ w *faultmatrix.World }

func (c faultNode) Handle(_ *faultmatrix.Context, _ string, m faultmatrix.Message) {
	switch m.(type) {
	case killRank:
		c.w.Kill(rankName(2), restartPause)
	case freezePlanner:
		c.w.Freeze("planner-a", freezeDuration)
	}
}

var (
	rankNames  = names("rank")
	agentNames = names("agent")
)

func names(role string) (out [matrixRanks]string) {
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", role, i)
	}
	return out
}

func rankName(i int) string  { return rankNames[i] }
func agentName(i int) string { return agentNames[i] }

func (v variant) scenario() faultmatrix.Scenario {
	return faultmatrix.Scenario{
		Protocol:     "map switch",
		Build:        v.build,
		Check:        check,
		Parallel:     true,
		Inapplicable: []faultmatrix.Fault{faultmatrix.ListLagging, faultmatrix.OperatorRaces},
	}
}

func (v variant) build(w *faultmatrix.World) {
	f := &facts{w: w, used: make(map[int64]map[expertmap.Version][]int), assigned: make(map[expertmap.Version]bool)}
	w.ScenarioState = f
	for i := range matrixRanks {
		w.Add(rankName(i), func(restarts int) faultmatrix.Node {
			id := ident.Incarnation(fmt.Sprintf("%s@%d", rankName(i), restarts))
			gate := expertmap.NewGate(i, matrixRanks, id, v.checks)
			if restarts == 0 {
				gate.Install(expertmap.Version{})
			}
			return &rankNode{f: f, rank: i, incarnation: id, gate: gate}
		})
		w.Add(agentName(i), func(int) faultmatrix.Node {
			return &agentNode{f: f, rank: i, fence: expertmap.NewFence(v.fenceOff)}
		})
		w.Start(rankName(i), time.Duration(i)*startOffset, begin{})
	}
	var entries []expertmap.LeaseEntry
	var failed, slow bool
	w.Add("log", func(int) faultmatrix.Node { return logNode{f, &entries} })
	w.Add("store", func(int) faultmatrix.Node { return storeNode{f, &failed, &slow} })
	for i, name := range []string{"planner-a", "planner-b"} {
		w.Add(name, func(restarts int) faultmatrix.Node {
			id := ident.Incarnation(fmt.Sprintf("%s@%d", name, restarts))
			if v.sameHolder {
				id = ident.Incarnation(name)
			}
			return &plannerNode{f: f, lease: expertmap.NewLease(id, expertmap.DefaultLeaseTimes, w.Now())}
		})
		w.Start(name, time.Duration(i)*time.Second, begin{})
	}
	w.Add("conductor", func(int) faultmatrix.Node { return faultNode{w} })
}

func check(w *faultmatrix.World) []string {
	f := w.ScenarioState.(*facts)
	out := f.violations
	for step, versions := range f.used {
		if len(versions) > 1 {
			out = append(out, fmt.Sprintf("step %d was run with %d maps: %v", step, len(versions), versions))
		}
	}
	if !f.done() {
		out = append(out, fmt.Sprintf("map %s was published (%d in all) but the ranks use %v", f.newest, f.published, f.current))
	}
	slices.Sort(out)
	return out
}

func TestEachStepUsesOneMapUnderEveryFault(t *testing.T) {
	faultmatrix.Test(t, allMechanisms.scenario())
}

func TestMatrixFindsEachDisabledCheck(t *testing.T) {
	// One kind of fault is enough to show that a mechanism is needed.
	for name, disabled := range map[string]struct {
		turnOff func(*variant)
		fault   faultmatrix.Fault
	}{
		"barrier": {func(v *variant) { v.checks.Barrier = false }, faultmatrix.Drop},
		"common":  {func(v *variant) { v.checks.CommonMap = false }, faultmatrix.Drop},
		"members": {func(v *variant) { v.checks.Members = false }, faultmatrix.Delay},
		"fence":   {func(v *variant) { v.fenceOff = true }, faultmatrix.Delay},
		"holder":  {func(v *variant) { v.sameHolder = true }, faultmatrix.Kill},
	} {
		t.Run(name, func(t *testing.T) {
			v := allMechanisms
			disabled.turnOff(&v)
			s := v.scenario()
			s.Inapplicable = slices.DeleteFunc(slices.Clone(faultmatrix.AllFaults), func(f faultmatrix.Fault) bool { return f == disabled.fault })
			s.Check = func(w *faultmatrix.World) []string { return slices.DeleteFunc(check(w), isProgress) }
			faultmatrix.RequireViolation(t, s)
		})
	}
}

// isProgress reports whether a violation is one of progress rather than safety.
func isProgress(violation string) bool { return violation[:3] == "map" }

package writeonce_test

import (
	"fmt"
	"os"
	"runtime/debug"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// variant selects which mechanisms of the scenario are turned off.
type variant struct {
	off writeonce.DisabledChecks
	// assumeOnlyRequest makes entries treat every request as the only one under its key.
	assumeOnlyRequest bool
	// logRestarts makes the log lose all records when it is killed.
	logRestarts bool
}

// lateDelays are a delay beyond KeyLifetime and one beyond KeyRetention.
var lateDelays = []time.Duration{20 * time.Minute, 40 * time.Minute}

// plans returns the plans of the callers: one key sent to both entries at the same time, another
// body under that key, a first request, a permit, and a call without a key.
func plans(start time.Time) map[string][]*plan {
	shared := keyAt(start, 1)
	return map[string][]*plan{
		"c1": {
			{name: "shared", key: shared, body: "hold", entries: e1ThenE2, late: lateDelays},
			{name: "first", at: 1500 * time.Millisecond, key: keyAt(start, 2), body: "hold", entries: e1ThenE2, firstTry: true},
			{name: "keyless", at: 3 * time.Second, keyless: true, body: "hold", entries: e2ThenE1},
		},
		"c2": {
			{name: "shared2", key: shared, body: "hold", entries: e2ThenE1},
			{name: "permit", at: 1500 * time.Millisecond, permit: true, body: "hold", entries: e2ThenE1, late: lateDelays},
			{name: "reused", at: 3 * time.Second, key: shared, body: "deposit", entries: e1ThenE2},
		},
	}
}

// restartPlans are for a log that restarts at offset 0: a key that was executed before the
// restart reaches another agent after it.
func restartPlans(start time.Time) map[string][]*plan {
	shared, once := keyAt(start, 1), keyAt(start, 20)
	return map[string][]*plan{
		"c1": {
			{name: "shared", key: shared, body: "hold", entries: e1ThenE2, late: lateDelays[:1]},
			{name: "once", at: 2 * time.Second, key: once, body: "hold", entries: e1ThenE2},
		},
		"c2": {
			{name: "shared2", key: shared, body: "hold", entries: e2ThenE1},
			{name: "again", at: 25 * time.Second, key: once, body: "hold", entries: e2ThenE1},
		},
	}
}

var e1ThenE2, e2ThenE1 = [2]string{"e1", "e2"}, [2]string{"e2", "e1"}

func scenario(v variant) faultmatrix.Scenario {
	return faultmatrix.Scenario{
		Protocol:     "write",
		Parallel:     true,
		Inapplicable: []faultmatrix.Fault{faultmatrix.ListLagging, faultmatrix.LeaseLapsed, faultmatrix.OperatorRaces},
		Build:        func(w *faultmatrix.World) { build(w, v) },
		Check:        check,
	}
}

func build(w *faultmatrix.World, v variant) {
	f := &facts{off: v.off, runs: make(map[string]int), conns: make(map[int]bool), loseRecords: v.logRestarts,
		firstOps: make(map[string]int), lastOps: make(map[string]int)}
	w.ScenarioState = f
	begin := w.Now()
	f.records = []writeonce.Record{markerRecord(begin.Add(-time.Hour))}
	w.Add("log", func(int) faultmatrix.Node { return &logNode{f} })
	for i, name := range agentNames {
		w.Add(name, func(incarnation int) faultmatrix.Node { return newAgent(f, name, incarnation) })
		w.Add(fmt.Sprint("s", i+1), func(int) faultmatrix.Node { return &backendServerNode{f} })
	}
	for _, name := range []string{"e1", "e2"} {
		w.Add(name, func(incarnation int) faultmatrix.Node {
			return &entryNode{f: f, name: name, incarnation: incarnation, permitRequests: make(map[string][]string), assumeOnlyRequest: v.assumeOnlyRequest}
		})
	}
	for _, name := range []string{"c1", "c2"} {
		w.Add(name, func(int) faultmatrix.Node { return &callerNode{f: f, begin: begin} })
		wanted := plans(begin)
		if v.logRestarts {
			wanted = restartPlans(begin)
		}
		for _, p := range wanted[name] {
			w.Start(name, p.at, startCall{p})
		}
	}
}

// check compares the outcomes that callers received with the executions at the backend servers.
func check(w *faultmatrix.World) []string {
	f := w.ScenarioState.(*facts)
	var out []string
	byKey := make(map[string]int)
	for call, n := range f.runs {
		key, _, _ := strings.Cut(call, "|")
		byKey[key] += n
	}
	for key, n := range byKey {
		if n > 1 {
			out = append(out, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	for _, op := range f.ops {
		n := f.runs[op.key+"|"+op.body]
		switch {
		case op.end >= 0 && op.outcome == "":
			out = append(out, "a caller received no outcome")
		case op.kind == "answer-of-another-key":
			out = append(out, fmt.Sprintf("key %s got the answer of another", op.key))
		case op.outcome == problem.Ran && n != 1:
			out = append(out, fmt.Sprintf("key %s received ran and ran %d times", op.key, n))
		case op.outcome == problem.NotRun && n != 0:
			out = append(out, fmt.Sprintf("key %s received not-run (%s) and ran", op.key, op.kind))
		}
	}
	if !linearizable(f) {
		out = append(out, "the history is not linearizable")
	}
	sort.Strings(out)
	return out
}

func TestMain(m *testing.M) {
	// The matrix allocates a lot and retains little, so a high GC target saves CPU time.
	debug.SetGCPercent(1000)
	os.Exit(m.Run())
}

// Under every fault, each key must be executed at most once, and every caller must receive an outcome
// that agrees with the executions (see check).
func TestWriteMatrix(t *testing.T) {
	faultmatrix.Test(t, scenario(variant{}))
}

// The same must hold if the log loses all records when it is killed and restarts at offset 0.
func TestWriteMatrixWithRestartedLog(t *testing.T) {
	faultmatrix.Test(t, scenario(variant{logRestarts: true}))
}

// Without faults, every call that may run must run. This guards against a ledger that is safe
// only because it refuses calls.
func TestWithoutFaultsEveryCallRuns(t *testing.T) {
	s := scenario(variant{})
	s.Check = func(w *faultmatrix.World) []string {
		out := check(w)
		f := w.ScenarioState.(*facts)
		if len(f.runs) != 4 {
			out = append(out, fmt.Sprintf("ran %v, want 4 calls", f.runs))
		}
		counts := make(map[problem.Outcome]int)
		for _, op := range f.ops {
			counts[op.outcome]++
		}
		// 5 calls ran, the one with the second body did not, and the 4 late requests ran nothing
		// again.
		if len(f.ops) != 10 || counts[problem.Ran] < 5 || counts[problem.NotRun] != 1 {
			out = append(out, fmt.Sprintf("outcomes %v of %d requests", counts, len(f.ops)))
		}
		return out
	}
	for seed := range uint64(20) {
		cell, _, err := faultmatrix.Replay(s, seed, "")
		if err != nil || len(cell.Violations) > 0 {
			t.Errorf("seed %d: %v %v", seed, cell.Violations, err)
		}
	}
}

// Turning off any one mechanism must lead to a violation, otherwise the matrix does not test that
// mechanism.
func TestMatrixDetectsDisabledChecks(t *testing.T) {
	for name, v := range map[string]variant{
		"memory of executed keys": {off: writeonce.DisabledChecks{ForgetRuns: true}},
		"read-back of claims":     {off: writeonce.DisabledChecks{NoReadBack: true}},
		"first claim wins":        {off: writeonce.DisabledChecks{LastClaimWins: true}},
		"incarnation check":       {off: writeonce.DisabledChecks{AnyIncarnation: true}},
		"permanent refusal":       {off: writeonce.DisabledChecks{ForgetRefusals: true}},
		"key lifetime":            {off: writeonce.DisabledChecks{NoWindow: true}},
		"body digest":             {off: writeonce.DisabledChecks{NoDigest: true}},
		"coverage of claims":      {off: writeonce.DisabledChecks{NoCoverage: true}, logRestarts: true},
		"outcome of the key":      {assumeOnlyRequest: true},
	} {
		t.Run(name, func(t *testing.T) { faultmatrix.RequireViolation(t, scenario(v)) })
	}
}

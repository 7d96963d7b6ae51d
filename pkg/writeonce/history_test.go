package writeonce_test

import (
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// The state of a call in the model.
const (
	absent = iota
	hasRun
	dead
)

// history is an input of the model: a request of a caller, an execution, or
// the count of executions at the end.
type history struct {
	call    string
	outcome problem.Outcome
	final   bool
	count   int
}

// writeModel is the sequential behaviour of one call: it runs at most once,
// a request told ran is after the run, and a request told not-run ends it.
var writeModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		by := make(map[string][]porcupine.Operation)
		for _, op := range ops {
			call := op.Input.(history).call
			by[call] = append(by[call], op)
		}
		var out [][]porcupine.Operation
		for _, part := range by {
			out = append(out, part)
		}
		return out
	},
	Init: func() []any { return []any{absent} },
	Step: func(state, input, _ any) []any {
		in := input.(history)
		switch {
		case in.final && in.count == 1 && state == hasRun, in.final && in.count == 0 && state != hasRun:
			return []any{state}
		case in.final, in.outcome == problem.Ran && state == dead, in.outcome == problem.NotRun && state == hasRun:
			return nil
		case in.outcome == problem.Ran:
			return []any{hasRun}
		case in.outcome == problem.NotRun:
			return []any{dead}
		case state == absent:
			return []any{absent, hasRun}
		}
		return []any{state}
	},
	Equal: func(a, b any) bool { return a == b },
}

func linearizable(f *facts) bool {
	var ops []porcupine.Operation
	calls := make(map[string]bool)
	for i, op := range f.ops {
		if op.key == "" {
			continue
		}
		in := history{call: op.key + "|" + op.body, outcome: op.outcome}
		end := int64(op.end)
		if op.end < 0 {
			in.outcome = problem.NotKnown
			end = math.MaxInt64 - 2
		}
		calls[in.call] = true
		ops = append(ops, porcupine.Operation{ClientId: i, Input: in, Call: int64(op.call), Return: end})
	}
	for call := range calls {
		in := history{call: call, final: true, count: f.runs[call]}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: in, Call: math.MaxInt64 - 1, Return: math.MaxInt64})
	}
	return porcupine.CheckOperations(writeModel.ToModel(), ops)
}

// TestModelRefusesFalseOutcomes shows what the checker finds.
func TestModelRefusesFalseOutcomes(t *testing.T) {
	for _, c := range []struct {
		runs     int
		outcomes []problem.Outcome
		ok       bool
	}{
		{1, []problem.Outcome{problem.NotKnown, problem.Ran, problem.Ran}, true},
		{0, []problem.Outcome{problem.NotKnown, problem.NotRun}, true},
		{1, []problem.Outcome{problem.NotKnown}, true},
		{1, []problem.Outcome{problem.NotRun}, false},
		{1, []problem.Outcome{problem.NotRun, problem.NotKnown}, false},
		{0, []problem.Outcome{problem.Ran}, false},
		{2, []problem.Outcome{problem.Ran}, false},
		{0, []problem.Outcome{problem.Ran, problem.NotRun}, false},
	} {
		f := &facts{runs: map[string]int{"k|b": c.runs}}
		for i, o := range c.outcomes {
			at := time.Duration(i) * time.Second
			f.ops = append(f.ops, operation{key: "k", body: "b", outcome: o, call: at, end: at + 1})
		}
		if linearizable(f) != c.ok {
			t.Errorf("%d runs told %v: linearizable %t", c.runs, c.outcomes, !c.ok)
		}
	}
}

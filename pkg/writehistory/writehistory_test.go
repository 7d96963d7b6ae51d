package writehistory_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writehistory"
)

// The checker must reject outcomes that contradict the number of executions, and accept all
// others.
func TestContradictingOutcomesAreRejected(t *testing.T) {
	type outcomes = []problem.Outcome
	for _, c := range []struct {
		executions int
		received   outcomes
		ok         bool
	}{
		{1, outcomes{problem.NotKnown, problem.Ran, problem.Ran}, true},
		{0, outcomes{problem.NotKnown, problem.NotRun}, true},
		{1, outcomes{problem.NotKnown}, true},
		{1, outcomes{problem.NotRun}, false},
		{1, outcomes{problem.NotRun, problem.NotKnown}, false},
		{0, outcomes{problem.Ran}, false},
		{2, outcomes{problem.Ran}, false},
		{0, outcomes{problem.Ran, problem.NotRun}, false},
	} {
		var requests []writehistory.Request
		for i, o := range c.received {
			at := int64(i) * 10
			requests = append(requests, writehistory.Request{Call: "k", Start: at, End: at + 1, Outcome: o})
		}
		if writehistory.Linearizable(requests, map[string]int{"k": c.executions}) != c.ok {
			t.Errorf("%d executions, outcomes %v: linearizable %t", c.executions, c.received, !c.ok)
		}
	}
}

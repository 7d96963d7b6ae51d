// Package writehistory checks the outcomes that callers of unrepeatable calls received against the
// executions at the backend servers.
package writehistory

import (
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Request is one request as its caller observed it.
type Request struct {
	// Call identifies the key and the content of the call.
	Call string
	// Start and End are in nanoseconds on the same clock.
	Start, End int64
	// Outcome is the outcome that the caller received, or NotKnown if it received none.
	Outcome problem.Outcome
}

// NoResponse is the End of a request that received no response. Two later times remain for the
// operation that checks the number of executions at the end.
const NoResponse = math.MaxInt64 - 2

// The states of a call. An executed call never runs again; neverRuns means that a caller received
// the outcome not-run.
const (
	notRunYet = iota
	executed
	neverRuns
)

// input is either a request, or the number of executions at the end of the history.
type input struct {
	request Request
	final   bool
	count   int
}

// model is the sequential specification of one call: it executes at most once, a request with the
// outcome ran completes after the execution, and a request with the outcome not-run rules out any
// later execution.
var model = porcupine.NondeterministicModel{
	Partition: partition,
	Init:      func() []any { return []any{notRunYet} },
	Step: func(state, in, _ any) []any {
		return step(state.(int), in.(input))
	},
	Equal: func(a, b any) bool { return a == b },
}

func partition(ops []porcupine.Operation) [][]porcupine.Operation {
	byCall := make(map[string][]porcupine.Operation)
	for _, op := range ops {
		call := op.Input.(input).request.Call
		byCall[call] = append(byCall[call], op)
	}
	out := make([][]porcupine.Operation, 0, len(byCall))
	for _, part := range byCall {
		out = append(out, part)
	}
	return out
}

// step returns the possible next states, or none if the input is not allowed in this state.
func step(state int, in input) []any {
	outcome := in.request.Outcome
	switch {
	case in.final && (in.count == 1 && state == executed || in.count == 0 && state != executed):
		return []any{state}
	case in.final, outcome == problem.Ran && state == neverRuns, outcome == problem.NotRun && state == executed:
		return nil
	case outcome == problem.Ran:
		return []any{executed}
	case outcome == problem.NotRun:
		return []any{neverRuns}
	case state == notRunYet:
		return []any{notRunYet, executed}
	}
	return []any{state}
}

// Linearizable reports whether the requests and the number of executions of each call are
// consistent with calls that execute at most once.
func Linearizable(requests []Request, executions map[string]int) bool {
	ops := make([]porcupine.Operation, 0, len(requests))
	calls := make(map[string]bool)
	for i, r := range requests {
		calls[r.Call] = true
		ops = append(ops, porcupine.Operation{ClientId: i, Input: input{request: r}, Call: r.Start, Return: r.End})
	}
	for call := range calls {
		in := input{request: Request{Call: call}, final: true, count: executions[call]}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: in, Call: NoResponse + 1, Return: NoResponse + 2})
	}
	return porcupine.CheckOperations(model.ToModel(), ops)
}

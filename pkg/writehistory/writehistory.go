// Package writehistory checks what callers of unrepeatable calls were told
// against what the backend servers executed.
package writehistory

import (
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Request is one request of a caller as the caller saw it.
type Request struct {
	// Call identifies the key and the content of the call.
	Call string
	// Start and End are in nanoseconds on one clock.
	Start, End int64
	// Outcome is NotKnown also where the caller was told nothing.
	Outcome problem.Outcome
}

// NoResponse is the End of a request that was never answered.
const NoResponse = math.MaxInt64 - 2

// The states of a call.
const (
	absent = iota
	hasRun
	dead
)

// input is a request, or the number of executions at the end.
type input struct {
	request Request
	final   bool
	count   int
}

// model is the sequential behaviour of one call: it runs at most once, a
// request told ran comes after the run, and a request told not-run ends it.
var model = porcupine.NondeterministicModel{
	Partition: partition,
	Init:      func() []any { return []any{absent} },
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

// step returns the states that may follow; none where the input cannot happen.
func step(state int, in input) []any {
	outcome := in.request.Outcome
	switch {
	case in.final && (in.count == 1 && state == hasRun || in.count == 0 && state != hasRun):
		return []any{state}
	case in.final, outcome == problem.Ran && state == dead, outcome == problem.NotRun && state == hasRun:
		return nil
	case outcome == problem.Ran:
		return []any{hasRun}
	case outcome == problem.NotRun:
		return []any{dead}
	case state == absent:
		return []any{absent, hasRun}
	}
	return []any{state}
}

// Linearizable reports whether the requests and the number of executions of
// each call agree with calls that run at most once.
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

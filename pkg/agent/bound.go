package agent

import (
	"sync/atomic"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// bound holds the attempts at the backend server within the concurrency of the
// pool, whatever the entries send together.
type bound struct {
	running atomic.Int64
}

// begin takes a slot. The error has the kind Overloaded and the outcome
// NotRun.
func (b *bound) begin(limit int) error {
	if b.running.Add(1) <= int64(limit) {
		return nil
	}
	b.running.Add(-1)
	return problem.New(problem.Overloaded, "choose another replica, or raise the pool's concurrency",
		"the backend server runs %d attempts, as many as the pool allows", limit).WithOutcome(problem.NotRun)
}

// end gives the slot back.
func (b *bound) end() { b.running.Add(-1) }

// concurrency returns the pool's bound, and the largest one that the table
// allows while the pool is not known.
func (a *Agent) concurrency() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.part.Pool == nil {
		return tables.MaxConcurrency
	}
	return a.part.Pool.Concurrency
}

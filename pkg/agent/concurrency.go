package agent

import (
	"sync/atomic"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// concurrencyLimiter keeps the number of attempts at the backend server within the pool's
// concurrency, regardless of how many attempts the entries send in total.
type concurrencyLimiter struct {
	running atomic.Int64
}

// acquire takes a slot. The error has the kind Overloaded and the outcome NotRun.
func (b *concurrencyLimiter) acquire(limit int) error {
	if b.running.Add(1) <= int64(limit) {
		return nil
	}
	b.running.Add(-1)
	return problem.New(problem.Overloaded, "choose another replica, or raise the pool's concurrency",
		"the backend server runs %d attempts, as many as the pool allows", limit).WithOutcome(problem.NotRun)
}

func (b *concurrencyLimiter) release() { b.running.Add(-1) }

// concurrency returns the concurrency limit of the pool, or the largest limit that the
// configuration allows while the pool is not known.
func (a *Agent) concurrency() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.poolPart.Pool == nil {
		return tables.MaxConcurrency
	}
	return a.poolPart.Pool.Concurrency
}

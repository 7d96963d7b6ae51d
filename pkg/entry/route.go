package entry

import (
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
)

// noReplicaRetryAfter is the Retry-After time when a pool has no usable replica.
const noReplicaRetryAfter = 2 * time.Second

// chooseReplica selects the replica of the next attempt.
func (e *Entry) chooseReplica(x *exchange, tried []string) (routing.Replica, bool) {
	candidates := e.replicas.snapshot(x.pool.Name, x.pool.Concurrency)
	request := routing.Request{
		FailureDomain: e.settings.FailureDomain,
		Organisation:  x.organisation.Name,
		Adapter:       x.adapter,
		PrefixHash:    x.prefixHash,
		Exclude:       tried,
	}
	replica, ok := e.selector.Select(time.Now(), request, candidates, rand.Uint64())
	if ok || len(tried) == 0 {
		return replica, ok
	}
	// Every usable replica has been tried; one of them is tried again.
	request.Exclude = nil
	return e.selector.Select(time.Now(), request, candidates, rand.Uint64())
}

func noReplicaError(x *exchange, tried []string) error {
	return problem.New(problem.NoReplica, "retry later; if the error persists, start a backend server of the pool",
		"pool %q has no replica that accepts work (%d tried)", x.pool.Name, len(tried)).
		WithOutcome(problem.NotRun).WithRetryAfter(noReplicaRetryAfter)
}

package entry

import (
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
)

// noReplicaRetryAfter is when a caller may come back if no replica serves.
const noReplicaRetryAfter = 2 * time.Second

// chooseReplica selects the replica for the next attempt.
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
	// Every replica that takes work has been tried; try one again.
	request.Exclude = nil
	return e.selector.Select(time.Now(), request, candidates, rand.Uint64())
}

func noReplicaError(x *exchange, tried []string) error {
	return problem.New(problem.NoReplica, "come back later; if it lasts, start a backend server of the pool",
		"pool %q has no replica that takes work (%d tried)", x.pool.Name, len(tried)).
		WithOutcome(problem.NotRun).WithRetryAfter(noReplicaRetryAfter)
}

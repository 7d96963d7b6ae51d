package entry

import (
	"context"
	"time"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/retry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

// forward sends the request to one replica after another until one returns a complete answer
// or no further attempt is allowed.
func (e *Entry) forward(ctx context.Context, x *exchange, g *gate) error {
	if x.call != nil {
		return e.forwardWrite(ctx, x, g)
	}
	var tried []string
	var lastErr error
	g.countFirstAttempt()
	for attempts := 1; ; attempts++ {
		replica, ok := e.chooseReplica(x, tried)
		if !ok && lastErr != nil {
			return g.withRetryAfter(lastErr)
		}
		if !ok {
			return noReplicaError(x, tried)
		}
		tried = append(tried, replica.Name)
		if lastErr = e.attemptReplica(ctx, x, replica); lastErr == nil {
			return nil
		}
		x.recordFailure(lastErr)
		if !e.mayRetry(ctx, x, g, attempts, lastErr) {
			return g.withRetryAfter(lastErr)
		}
		e.scope.Counter("retries").Inc(1)
	}
}

// mayRetry decides whether another attempt follows, and waits for the backoff before it.
func (e *Entry) mayRetry(ctx context.Context, x *exchange, g *gate, attempts int, err error) bool {
	p := problem.Of(err)
	if ctx.Err() != nil || p.Kind == problem.CallerGone {
		return false
	}
	decision := g.decideRetry(retry.Failure{
		Kind:            p.Kind,
		Outcome:         p.Outcome,
		Idempotent:      x.idempotent,
		ResponseStarted: x.answer.Committed() && x.answer.AfterFailure(true) == answer.Fail,
		Attempts:        attempts,
		Remaining:       time.Until(x.deadline),
	}, x.organisation.Class)
	if !decision.Retry {
		e.scope.Tagged(map[string]string{"reason": string(decision.Reason)}).Counter("retries_refused").Inc(1)
		return false
	}
	wait.For(ctx, decision.Wait)
	return ctx.Err() == nil
}

// withRetryAfter adds a Retry-After time to errors that a later request may avoid and that have
// none.
func (g *gate) withRetryAfter(err error) error {
	p := problem.Of(err)
	if p.RetryAfter > 0 || p.Kind != problem.Overloaded && p.Kind != problem.Unavailable {
		return err
	}
	return p.WithRetryAfter(g.retryAfter())
}

// isReplicaFailure reports whether a failed attempt counts as a failure of its replica. An
// overloaded replica is healthy.
func isReplicaFailure(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && !problem.Is(err, problem.Overloaded)
}

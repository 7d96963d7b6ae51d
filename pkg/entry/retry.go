package entry

import (
	"context"
	"time"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/retry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

// forward tries replicas until one gives a whole answer or no further try is
// allowed.
func (e *Entry) forward(ctx context.Context, x *exchange, g *gate) error {
	if x.call != nil {
		return e.forwardWrite(ctx, x, g)
	}
	var tried []string
	var last error
	g.countFirstAttempt()
	for tries := 1; ; tries++ {
		replica, ok := e.chooseReplica(x, tried)
		if !ok && last != nil {
			return g.withRetryAfter(last)
		}
		if !ok {
			return noReplicaError(x, tried)
		}
		tried = append(tried, replica.Name)
		if last = e.attemptReplica(ctx, x, replica); last == nil {
			return nil
		}
		x.recordFailure(last)
		if !e.mayRetry(ctx, x, g, tries, last) {
			return g.withRetryAfter(last)
		}
		e.scope.Counter("retries").Inc(1)
	}
}

// mayRetry decides whether another attempt follows, and waits until it is due.
func (e *Entry) mayRetry(ctx context.Context, x *exchange, g *gate, tries int, err error) bool {
	p := problem.Of(err)
	if ctx.Err() != nil || p.Kind == problem.CallerGone {
		return false
	}
	verdict := g.decideRetry(retry.Failure{
		Kind:            p.Kind,
		Outcome:         p.Outcome,
		Idempotent:      x.idempotent,
		ResponseStarted: x.answer.Committed() && x.answer.AfterFailure(true) == answer.Fail,
		Attempts:        tries,
		Remaining:       time.Until(x.deadline),
	}, x.organisation.Class)
	if !verdict.Retry {
		e.scope.Tagged(map[string]string{"reason": string(verdict.Reason)}).Counter("retries_refused").Inc(1)
		return false
	}
	wait.For(ctx, verdict.Wait)
	return ctx.Err() == nil
}

// withRetryAfter tells the caller when to come back, where that is of use.
func (g *gate) withRetryAfter(err error) error {
	p := problem.Of(err)
	if p.RetryAfter > 0 || p.Kind != problem.Overloaded && p.Kind != problem.Unavailable {
		return err
	}
	return p.WithRetryAfter(g.retryAfter())
}

// isReplicaFailure reports whether a failed attempt speaks against its replica. A
// replica that is merely full is sound.
func isReplicaFailure(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && !problem.Is(err, problem.Overloaded)
}

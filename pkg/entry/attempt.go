package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Priorities of the classes at the engines.
const (
	interactivePriority = 10
	batchPriority       = 0
)

// attemptAt sends the request to one replica and relays the answer.
func (e *Entry) attemptAt(ctx context.Context, x *exchange, replica routing.Replica) error {
	address, linked := e.replicas.begin(replica.Name)
	if !linked {
		address = e.listed(replica.Name).DataAddress
	}
	if address == "" {
		return problem.New(problem.NoReplica, "nothing needs to be done", "replica %s has left", replica.Name).WithOutcome(problem.NotRun)
	}
	x.attempt = ident.NewAttemptID()
	x.owner = ""
	x.answer.BeginAttempt(x.attempt)
	err := e.exchangeFrames(ctx, x, address, replica)
	if linked {
		e.replicas.end(replica.Name, countsAgainst(ctx, err))
		e.replicas.failed(ctx, replica, err)
	}
	return err
}

func (e *Entry) exchangeFrames(ctx context.Context, x *exchange, address string, replica routing.Replica) error {
	reader, err := e.attempts.Start(ctx, address, e.attemptRequest(x, replica), x.body)
	if err != nil {
		return deadlineOr(ctx, err)
	}
	defer reader.Close()
	for !x.answer.Complete() {
		f, err := reader.Next()
		if err != nil {
			return deadlineOr(ctx, err)
		}
		e.replicas.heard(replica, f.Load)
		if f.Attempt == x.attempt {
			x.owner = f.Owner
		}
		out, err := x.answer.Accept(f)
		if err != nil {
			return err
		}
		if out.Dropped {
			e.scope.Counter("frames_dropped").Inc(1)
		}
		if err := x.out.write(out); err != nil {
			return callerGone(err)
		}
	}
	return nil
}

func (e *Entry) attemptRequest(x *exchange, replica routing.Replica) agentlink.AttemptRequest {
	priority := interactivePriority
	if x.organisation.Class == tables.Batch {
		priority = batchPriority
	}
	resumeText := ""
	if x.answer.Committed() {
		resumeText = x.answer.Text()
	}
	return agentlink.AttemptRequest{
		Attempt:      x.attempt,
		Incarnation:  replica.Incarnation,
		Route:        x.route.Name,
		Pool:         x.pool.Name,
		Organisation: x.organisation.Name,
		Priority:     priority,
		DeadlineMS:   time.Until(x.deadline).Milliseconds(),
		Key:          x.keyText(),
		Method:       x.method,
		Path:         x.path,
		Header:       x.header,
		Stream:       x.stream,
		ResumeText:   resumeText,
	}
}

func callerGone(cause error) error {
	return problem.New(problem.CallerGone, "keep the connection open until the answer is whole",
		"the caller has gone: %v", cause).WithOutcome(problem.NotKnown)
}

// deadlineOr replaces err by the reason why ctx has ended, if it has.
func deadlineOr(ctx context.Context, err error) error {
	var cut *problem.Error
	if errors.As(context.Cause(ctx), &cut) {
		return cut
	}
	if ctx.Err() == context.Canceled && problem.Of(err).Outcome != problem.NotRun {
		return callerGone(err)
	}
	if ctx.Err() == context.DeadlineExceeded && problem.Of(err).Outcome != problem.NotRun {
		return problem.New(problem.DeadlineExceeded, "send the request again if it is idempotent, or raise the route's deadline",
			"no whole answer came within the deadline").WithOutcome(problem.NotKnown)
	}
	return err
}

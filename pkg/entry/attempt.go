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

// Priorities of the request classes at the engines.
const (
	interactivePriority = 10
	batchPriority       = 0
)

// attemptReplica sends the request to one replica and relays its answer.
func (e *Entry) attemptReplica(ctx context.Context, x *exchange, replica routing.Replica) error {
	address, linked := e.replicas.beginAttempt(replica.Name)
	if !linked {
		address = e.listedAgent(replica.Name).DataAddress
	}
	if address == "" {
		return problem.New(problem.NoReplica, "no action needed", "replica %s is no longer listed", replica.Name).WithOutcome(problem.NotRun)
	}
	x.attempt = ident.NewAttemptID()
	x.owner = ""
	x.answer.BeginAttempt(x.attempt)
	err := e.relayFrames(ctx, x, address, replica)
	if linked {
		e.replicas.endAttempt(replica.Name, isReplicaFailure(ctx, err))
		e.replicas.recordFailure(ctx, replica, err)
	}
	return err
}

// relayFrames sends one attempt and writes the frames of its answer to the caller.
func (e *Entry) relayFrames(ctx context.Context, x *exchange, address string, replica routing.Replica) error {
	reader, err := e.attempts.Start(ctx, address, e.attemptRequest(x, replica), x.body)
	if err != nil {
		return contextErrorOr(ctx, err)
	}
	defer reader.Close()
	for !x.answer.Complete() {
		f, err := reader.Next()
		if err != nil {
			return contextErrorOr(ctx, err)
		}
		e.replicas.recordFrameLoad(replica, f.Load)
		if f.Attempt == x.attempt {
			x.owner = f.Owner
			if err := x.checkRefusal(f.Status); err != nil {
				return err
			}
		}
		out, err := x.answer.Accept(f)
		if err != nil {
			return err
		}
		if out.Dropped {
			e.scope.Counter("frames_dropped").Inc(1)
		}
		if err := x.out.write(out); err != nil {
			return callerGoneError(err)
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

// callerGoneError returns the error of a request whose caller closed the connection.
func callerGoneError(cause error) error {
	return problem.New(problem.CallerGone, "keep the connection open until the answer is complete",
		"the caller closed the connection: %v", cause).WithOutcome(problem.NotKnown)
}

// contextErrorOr returns the reason why ctx ended, if it has, and err otherwise. An err with
// the outcome NotRun is replaced only if the cause of ctx is a problem.Error.
func contextErrorOr(ctx context.Context, err error) error {
	var causeErr *problem.Error
	if errors.As(context.Cause(ctx), &causeErr) {
		return causeErr
	}
	if ctx.Err() == context.Canceled && problem.Of(err).Outcome != problem.NotRun {
		return callerGoneError(err)
	}
	if ctx.Err() == context.DeadlineExceeded && problem.Of(err).Outcome != problem.NotRun {
		return problem.New(problem.DeadlineExceeded, "send the request again if it is idempotent, or raise the route's deadline",
			"no complete answer arrived before the deadline").WithOutcome(problem.NotKnown)
	}
	return err
}

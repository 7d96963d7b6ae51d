package entry

import (
	"context"
	"time"

	"github.com/fescuehub/fescuehub/pkg/frame"
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
	address, ok := e.replicas.begin(replica.Name)
	if !ok {
		return problem.New(problem.NoReplica, "nothing needs to be done", "replica %s has left", replica.Name).WithOutcome(problem.NotRun)
	}
	x.attempt = ident.NewAttemptID()
	x.owner = ""
	x.out.reset(x.attempt)
	err := e.exchangeFrames(ctx, x, address, replica)
	e.replicas.end(replica.Name, err != nil && ctx.Err() == nil)
	return err
}

func (e *Entry) exchangeFrames(ctx context.Context, x *exchange, address string, replica routing.Replica) error {
	reader, err := e.attempts.Start(ctx, address, e.attemptRequest(x, replica), x.body)
	if err != nil {
		return deadlineOr(ctx, err)
	}
	defer reader.Close()
	sequence := frame.NewSequencer(x.attempt)
	for !sequence.Complete() {
		f, err := reader.Next()
		if err != nil {
			return deadlineOr(ctx, err)
		}
		accepted, err := sequence.Accept(f)
		if err != nil {
			return err
		}
		if !accepted {
			e.scope.Counter("frames_dropped").Inc(1)
			continue
		}
		if f.Failure != nil {
			x.owner = f.Owner
			return f.Failure
		}
		if err := x.out.add(f); err != nil {
			return callerGone(err)
		}
	}
	return x.out.finish()
}

func (e *Entry) attemptRequest(x *exchange, replica routing.Replica) agentlink.AttemptRequest {
	priority := interactivePriority
	if x.organisation.Class == tables.Batch {
		priority = batchPriority
	}
	return agentlink.AttemptRequest{
		Attempt:      x.attempt,
		Incarnation:  replica.Incarnation,
		Route:        x.route.Name,
		Organisation: x.organisation.Name,
		Priority:     priority,
		DeadlineMS:   time.Until(x.deadline).Milliseconds(),
		Key:          x.keyText(),
		Method:       x.method,
		Path:         x.path,
		Header:       x.header,
		Stream:       x.stream,
	}
}

func callerGone(cause error) error {
	return problem.New(problem.BadRequest, "keep the connection open until the answer is whole",
		"the caller has gone: %v", cause).WithOutcome(problem.NotKnown)
}

func deadlineOr(ctx context.Context, err error) error {
	if ctx.Err() == context.DeadlineExceeded {
		return problem.New(problem.DeadlineExceeded, "send the request again if it is idempotent, or raise the route's deadline",
			"no whole answer came within the deadline").WithOutcome(problem.NotKnown)
	}
	return err
}

package entry

import (
	"context"

	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
)

// certify asks the agent whether an attempt that failed ran. Only the agent
// can say that it did not.
func (e *Entry) certify(ctx context.Context, x *exchange, replica routing.Replica, cause error) error {
	p := problem.Of(cause)
	if p.Outcome == problem.NotRun {
		return p
	}
	conn, ok := e.replicas.conn(replica.Name)
	if !ok {
		return p.WithOutcome(problem.NotKnown)
	}
	var reply agentlink.RefuseReply
	request := agentlink.RefuseRequest{Attempt: x.attempt, Incarnation: replica.Incarnation}
	if err := conn.Call(context.WithoutCancel(ctx), agentlink.MethodRefuse, request, &reply); err != nil {
		return p.WithOutcome(problem.NotKnown)
	}
	if reply.Outcome == problem.NotRun {
		return p.WithOutcome(problem.NotRun)
	}
	return p.WithOutcome(problem.NotKnown)
}

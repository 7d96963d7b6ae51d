package entry

import (
	"context"
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// refuse responds with the error of a request that was never sent to a replica.
func (e *Entry) refuse(w http.ResponseWriter, err error) {
	e.countProblem(err)
	problem.Write(w, err)
}

func (e *Entry) countProblem(err error) {
	e.scope.Tagged(map[string]string{"kind": string(problem.Of(err).Kind)}).Counter("problems").Inc(1)
}

// serve runs an exchange to its final answer or error.
func (e *Entry) serve(ctx context.Context, x *exchange) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	err := e.admitAndForward(ctx, x)
	if err != nil && x.call != nil {
		err = withKeyOutcome(x.call.OnlyRequest, err)
	}
	e.burn.countRequest(x, err)
	if err != nil {
		e.countProblem(err)
		x.out.fail(x.withoutPromise(x.withRequestOutcome(err)))
		return
	}
	e.scope.Counter("answers_whole").Inc(1)
}

package entry

import (
	"context"
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// maxTries bounds the attempts of one request.
const maxTries = 3

// refuse answers a request that was never sent to a replica.
func (e *Entry) refuse(w http.ResponseWriter, err error) {
	e.countProblem(err)
	problem.Write(w, err)
}

func (e *Entry) countProblem(err error) {
	e.scope.Tagged(map[string]string{"kind": string(problem.Of(err).Kind)}).Counter("problems").Inc(1)
}

// serve runs an exchange to its final answer.
func (e *Entry) serve(ctx context.Context, x *exchange) {
	err := e.life.Begin()
	if err == nil {
		defer e.life.Done()
		ctx, cancel := context.WithDeadline(ctx, x.deadline)
		defer cancel()
		err = e.admitAndForward(ctx, x)
	}
	if err != nil {
		e.countProblem(err)
		x.out.fail(x.truthful(err))
		return
	}
	e.scope.Counter("answers_whole").Inc(1)
}

// forward tries replicas until one gives a whole answer or no further try is
// allowed.
func (e *Entry) forward(ctx context.Context, x *exchange) error {
	var tried []string
	for {
		replica, ok := e.choose(x, tried)
		if !ok {
			return noReplica(x, tried)
		}
		tried = append(tried, replica.Name)
		err := e.attemptAt(ctx, x, replica)
		if err == nil {
			return nil
		}
		x.note(err)
		if len(tried) >= maxTries || !mayRetry(ctx, x, err) {
			return err
		}
		e.scope.Counter("retries").Inc(1)
	}
}

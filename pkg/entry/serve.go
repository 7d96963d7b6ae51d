package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

const (
	// maxTries bounds the attempts of one request.
	maxTries = 3
	// noReplicaRetryAfter is when a caller may come back if no replica serves.
	noReplicaRetryAfter = 2 * time.Second
)

// Priorities of the classes at the engines.
const (
	interactivePriority = 10
	batchPriority       = 0
)

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
		err = e.forward(ctx, x)
	}
	if err != nil {
		e.countProblem(err)
		x.out.fail(err)
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
		if len(tried) >= maxTries || !mayRetry(ctx, x, err) {
			return err
		}
		e.scope.Counter("retries").Inc(1)
	}
}

func (e *Entry) choose(x *exchange, tried []string) (routing.Replica, bool) {
	candidates := e.replicas.snapshot(x.pool.Name, x.pool.Concurrency)
	request := routing.Request{
		FailureDomain: e.settings.FailureDomain,
		Organisation:  x.organisation.Name,
		Adapter:       x.adapter,
		PrefixHash:    x.prefixHash,
		Exclude:       tried,
	}
	return e.selector.Select(time.Now(), request, candidates, rand.Uint64())
}

// mayRetry allows another attempt where nothing has reached the caller and
// the request either did not run or may run twice.
func mayRetry(ctx context.Context, x *exchange, err error) bool {
	if x.out.committed || ctx.Err() != nil {
		return false
	}
	return problem.Of(err).Outcome == problem.NotRun || x.idempotent
}

// attemptAt sends the request to one replica and relays the answer.
func (e *Entry) attemptAt(ctx context.Context, x *exchange, replica routing.Replica) error {
	address, ok := e.replicas.begin(replica.Name)
	if !ok {
		return problem.New(problem.NoReplica, "nothing needs to be done", "replica %s has left", replica.Name).WithOutcome(problem.NotRun)
	}
	x.attempt = ident.NewAttemptID()
	x.out.reset(x.attempt)
	err := e.exchangeFrames(ctx, x, address, replica)
	e.replicas.end(replica.Name, err != nil && ctx.Err() == nil)
	if err != nil && x.key != "" {
		return e.certify(ctx, x, replica, err)
	}
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
		Key:          x.key,
		Method:       x.method,
		Path:         x.path,
		Header:       x.header,
		Stream:       x.stream,
	}
}

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

func noReplica(x *exchange, tried []string) error {
	return problem.New(problem.NoReplica, "come back later; if it lasts, start a backend server of the pool",
		"pool %q has no replica that takes work (%d tried)", x.pool.Name, len(tried)).
		WithOutcome(problem.NotRun).WithRetryAfter(noReplicaRetryAfter)
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

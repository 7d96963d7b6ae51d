package writeonce_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// The simulated system: callers c1 and c2, entries e1 and e2, agents a1 to a3 with one backend
// server each, and the log. Package writeonce makes every decision; the nodes only pass messages.
// The names of the message types are printed as the labels of a cell's steps.

var agentNames = []string{"a1", "a2", "a3"}

type (
	startCall      struct{ plan *plan }
	callTimeout    struct{ conn int }
	permitRequest  struct{ Conn int }
	permitResponse struct {
		Conn int
		Key  string
	}
	// writeRequest is a caller request on its own connection.
	writeRequest struct {
		Conn     int
		Key      string
		Body     string
		FirstTry bool
	}
	writeResponse struct {
		Conn    int
		Key     string
		Outcome problem.Outcome
		Kind    problem.Kind
	}
	attemptRequest struct {
		ID       string
		To       ident.Incarnation
		Key      string
		Body     string
		Deadline time.Time
	}
	attemptResponse struct {
		ID      string
		Answer  string
		Problem *problem.Error
		Owner   ident.Incarnation
	}
	agentTimeout     struct{ id string }
	callDeadline     struct{ conn int }
	identityRequest  struct{}
	identityResponse struct {
		Agent  ident.Incarnation
		Permit string
	}
	certificateRequest struct {
		ID, Key string
		Body    string
		To      ident.Incarnation
	}
	refusalCertificate struct {
		ID          string
		Certificate writeonce.Certificate
	}
	certificateTimeout struct{ id string }
	executeRequest     struct {
		Conn int
		Key  string
		Body string
		From ident.Incarnation
	}
	executeResponse struct {
		Key  string
		From ident.Incarnation
		Lost bool
	}
	appendRequest struct {
		ID   int
		Data []byte
	}
	appendResponse struct {
		ID      int
		Offset  int64
		Problem *problem.Error
	}
	appendTimeout struct{ id int }
	readRequest   struct{ From int64 }
	readResponse  struct {
		Page    writeonce.Page
		Problem *problem.Error
	}
	poll           struct{}
	claimTimeout   struct{ id string }
	executeTimeout struct{ key string }
)

const (
	callWait        = 30 * time.Second
	entryTimeLimit  = 15 * time.Second
	claimWait       = 5 * time.Second
	appendWait      = 3 * time.Second
	executeWait     = 60 * time.Second
	certificateWait = 500 * time.Millisecond
	pollPause       = 700 * time.Millisecond
	outage          = 30 * time.Second
	maxRequests     = 8
	callerPause     = 10 * time.Second
)

// operation is one request as its caller observed it. end is negative until the response arrives.
type operation struct {
	key, body string
	call, end time.Duration
	outcome   problem.Outcome
	kind      problem.Kind
}

// waitingAttempt is an attempt that waits at an agent.
type waitingAttempt struct {
	entry   string
	id      string
	body    string
	attempt *writeonce.Attempt
	// joined is true while the attempt waits for an execution.
	joined bool
}

// agentNode is one incarnation of an agent.
type agentNode struct {
	f           *facts
	name        string
	self        ident.Incarnation
	started     time.Time
	partition   *writeonce.Partition
	attempts    map[string]bool
	running     map[string]bool
	waiting     []*waitingAttempt
	appends     map[int][]writeonce.Claim
	appendCount int
	polling     bool
	serial      uint64
}

func newAgent(f *facts, name string, incarnation int) *agentNode {
	self := ident.Incarnation(fmt.Sprintf("%s@%d", name, incarnation))
	return &agentNode{f: f, name: name, self: self, partition: writeonce.NewPartitionWithout(self, f.off),
		attempts: make(map[string]bool), running: make(map[string]bool), appends: make(map[int][]writeonce.Claim)}
}

func (a *agentNode) elapsed(ctx *faultmatrix.Context) time.Duration {
	if a.started.IsZero() {
		a.started = ctx.Now
	}
	return ctx.Now.Sub(a.started)
}

func (a *agentNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	a.elapsed(ctx)
	switch m := m.(type) {
	case identityRequest:
		a.serial++
		permit := writeonce.NewPermit(a.self, a.elapsed(ctx), a.serial)
		ctx.Send(from, identityResponse{Agent: a.self, Permit: permit.String()})
	case attemptRequest:
		a.handleAttempt(ctx, from, m)
	case certificateRequest:
		a.refuse(ctx, from, m)
	case executeResponse:
		if m.From == a.self {
			a.finishExecution(ctx, m)
		}
	case executeTimeout:
		a.finishExecution(ctx, executeResponse{Key: m.key, Lost: true})
	case appendResponse:
		a.finishAppend(ctx, m.ID, m.Offset, m.Problem)
	case appendTimeout:
		a.finishAppend(ctx, m.id, 0, problem.New(problem.LogUnavailable, "", "no reply").WithOutcome(problem.NotKnown))
	case readResponse:
		if m.Problem == nil {
			a.partition.Observe(m.Page)
		}
		a.stepAll(ctx)
	case claimTimeout:
		a.abandonClaim(ctx, m.id)
	case poll:
		a.polling = false
		if len(a.waiting) > 0 || len(a.appends) > 0 {
			ctx.Send("log", readRequest{From: a.partition.Claims().ReadOffset()})
			a.keepPolling(ctx)
		}
	}
}

func (a *agentNode) handleAttempt(ctx *faultmatrix.Context, from string, m attemptRequest) {
	if m.To != a.self && !a.f.off.AnyIncarnation {
		ctx.Send(from, attemptResponse{ID: m.ID, Problem: problem.New(problem.WrongIncarnation, "", "").WithOutcome(problem.NotRun)})
		return
	}
	if a.attempts[m.ID] {
		return
	}
	a.attempts[m.ID] = true
	a.partition.EvictExpired(a.elapsed(ctx))
	key, err := writeonce.ParseKey(m.Key)
	if err != nil {
		ctx.Send(from, attemptResponse{ID: m.ID, Problem: problem.Of(err)})
		return
	}
	digest := writeonce.Content{Body: []byte(m.Body)}.Digest()
	w := &waitingAttempt{entry: from, id: m.ID, body: m.Body, attempt: &writeonce.Attempt{Write: writeonce.Write{Key: key, Digest: digest, Accepting: true}}}
	a.waiting = append(a.waiting, w)
	a.stepAll(ctx)
	if slices.Contains(a.waiting, w) && !w.joined {
		ctx.After(claimWait, claimTimeout{m.ID})
	}
}

// stepAll steps every waiting attempt and appends the queued claims.
func (a *agentNode) stepAll(ctx *faultmatrix.Context) {
	waits := a.waiting
	a.waiting = nil
	for _, w := range waits {
		a.step(ctx, w)
	}
	for a.partition.QueuedClaims() > 0 {
		a.appendCount++
		claims := a.partition.DequeueClaims()
		a.appends[a.appendCount] = claims
		data, _ := writeonce.EncodeBatch(writeonce.Batch{ID: fmt.Sprint(a.self, a.appendCount), Agent: a.self, Claims: claims})
		ctx.Send("log", appendRequest{ID: a.appendCount, Data: data})
		ctx.After(appendWait, appendTimeout{a.appendCount})
	}
	a.keepPolling(ctx)
}

func (a *agentNode) step(ctx *faultmatrix.Context, w *waitingAttempt) {
	d := a.partition.Step(a.elapsed(ctx), w.attempt)
	key := w.attempt.Write.Key.String()
	w.joined = d.Action == writeonce.Run || d.Action == writeonce.Wait
	switch d.Action {
	case writeonce.Run:
		a.running[key] = true
		ctx.Send("s"+a.name[1:], executeRequest{Conn: a.f.nextConn(), Key: key, Body: w.body, From: a.self})
		ctx.After(executeWait, executeTimeout{key})
		a.waiting = append(a.waiting, w)
	case writeonce.Reply:
		end := attemptResponse{ID: w.id, Problem: d.Problem, Owner: d.Owner}
		if d.Answer != nil {
			end.Answer = string(d.Answer.Body)
		}
		ctx.Send(w.entry, end)
	default:
		a.waiting = append(a.waiting, w)
	}
}

func (a *agentNode) keepPolling(ctx *faultmatrix.Context) {
	if !a.polling && len(a.waiting) > 0 {
		a.polling = true
		ctx.After(pollPause, poll{})
	}
}

func (a *agentNode) finishExecution(ctx *faultmatrix.Context, m executeResponse) {
	key, err := writeonce.ParseKey(m.Key)
	if err != nil || !a.running[m.Key] {
		return
	}
	delete(a.running, m.Key)
	if m.Lost {
		a.partition.RecordFailure(key, problem.NotKnown)
	} else {
		a.answerWaiting(ctx, m.Key)
		a.partition.RecordAnswer(key, writeonce.Answer{Status: 200, Body: []byte(m.Key)})
	}
	a.stepAll(ctx)
}

// answerWaiting sends the answer to every attempt that waits for the execution.
func (a *agentNode) answerWaiting(ctx *faultmatrix.Context, key string) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waitingAttempt) bool {
		if w.joined && w.attempt.Write.Key.String() == key {
			ctx.Send(w.entry, attemptResponse{ID: w.id, Answer: key})
			return true
		}
		return false
	})
}

func (a *agentNode) finishAppend(ctx *faultmatrix.Context, id int, offset int64, p *problem.Error) {
	claims, ok := a.appends[id]
	if !ok {
		return
	}
	delete(a.appends, id)
	a.partition.AppendDone(a.elapsed(ctx), claims, offset, p)
	ctx.Send("log", readRequest{From: a.partition.Claims().ReadOffset()})
	a.stepAll(ctx)
}

func (a *agentNode) abandonClaim(ctx *faultmatrix.Context, id string) {
	for _, w := range a.waiting {
		if w.id == id {
			a.partition.AbandonClaim(a.elapsed(ctx), w.attempt)
		}
	}
	a.stepAll(ctx)
}

func (a *agentNode) refuse(ctx *faultmatrix.Context, from string, m certificateRequest) {
	key, err := writeonce.ParseKey(m.Key)
	if err != nil || m.To != a.self {
		return
	}
	ctx.Send(from, refusalCertificate{ID: m.ID, Certificate: a.partition.Refuse(a.elapsed(ctx), key, writeonce.Content{Body: []byte(m.Body)}.Digest())})
	a.stepAll(ctx)
}

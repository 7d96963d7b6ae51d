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

// The world of the matrix: callers c1 and c2, entries e1 and e2, agents a1 to
// a3 with a backend server each, and the log. Every decision is made by
// package writeonce; the nodes only carry messages.

var agentNames = []string{"a1", "a2", "a3"}

type (
	startCall  struct{ plan *plan }
	callTimer  struct{ try int }
	askPermit  struct{ Conn int }
	permitTold struct {
		Conn int
		Key  string
	}
	// callMsg is a request of a caller on a connection of its own.
	callMsg struct {
		Conn     int
		Key      string
		Body     string
		FirstTry bool
	}
	told struct {
		Conn    int
		Key     string
		Outcome problem.Outcome
		Kind    problem.Kind
	}
	attempt struct {
		ID       string
		To       ident.Incarnation
		Key      string
		Body     string
		Deadline time.Time
	}
	attemptEnd struct {
		ID     string
		Answer string
		P      *problem.Error
		Owner  ident.Incarnation
	}
	attemptTimer struct{ id string }
	flightTimer  struct{ conn int }
	whoIs        struct{}
	iAm          struct {
		Agent  ident.Incarnation
		Permit string
	}
	refuseMsg struct {
		ID, Key string
		Body    string
		To      ident.Incarnation
	}
	refuseEnd struct {
		ID   string
		Cert writeonce.Certificate
	}
	refuseTimer struct{ id string }
	execute     struct {
		Conn int
		Key  string
		Body string
		From ident.Incarnation
	}
	executed struct {
		Key  string
		From ident.Incarnation
		Lost bool
	}
	appendMsg struct {
		ID   int
		Data []byte
	}
	appendEnd struct {
		ID     int
		Offset int64
		P      *problem.Error
	}
	appendTimer struct{ id int }
	readMsg     struct{ From int64 }
	readEnd     struct {
		Page writeonce.Page
		P    *problem.Error
	}
	poll       struct{}
	claimTimer struct{ id string }
	execTimer  struct{ key string }
)

const (
	callWait    = 30 * time.Second
	entryBound  = 15 * time.Second
	claimWait   = 5 * time.Second
	appendWait  = 3 * time.Second
	execWait    = 60 * time.Second
	refuseWait  = 500 * time.Millisecond
	pollPause   = 700 * time.Millisecond
	outage      = 30 * time.Second
	maxTries    = 8
	callerPause = 10 * time.Second
)

// operation is one request as its caller saw it.
type operation struct {
	key, body string
	call, end time.Duration
	outcome   problem.Outcome
	kind      problem.Kind
}

// waiting is a try that waits at an agent.
type waiting struct {
	entry string
	id    string
	body  string
	try   *writeonce.Attempt
	// joined is true while the try waits for an execution.
	joined bool
}

// agentNode is one life of an agent.
type agentNode struct {
	f        *facts
	name     string
	self     ident.Incarnation
	started  time.Time
	p        *writeonce.Partition
	attempts map[string]bool
	running  map[string]bool
	waits    []*waiting
	appends  map[int][]writeonce.Claim
	nAppends int
	polling  bool
	serial   uint64
}

func newAgent(f *facts, name string, life int) *agentNode {
	self := ident.Incarnation(fmt.Sprintf("%s@%d", name, life))
	return &agentNode{f: f, name: name, self: self, p: writeonce.NewPartitionWithout(self, f.off),
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
	case whoIs:
		a.serial++
		permit := writeonce.NewPermit(a.self, a.elapsed(ctx), a.serial)
		ctx.Send(from, iAm{Agent: a.self, Permit: permit.String()})
	case attempt:
		a.begin(ctx, from, m)
	case refuseMsg:
		a.refuse(ctx, from, m)
	case executed:
		if m.From == a.self {
			a.finish(ctx, m)
		}
	case execTimer:
		a.finish(ctx, executed{Key: m.key, Lost: true})
	case appendEnd:
		a.appended(ctx, m.ID, m.Offset, m.P)
	case appendTimer:
		a.appended(ctx, m.id, 0, problem.New(problem.LogUnavailable, "", "no reply").WithOutcome(problem.NotKnown))
	case readEnd:
		if m.P == nil {
			a.p.Observe(m.Page)
		}
		a.stepAll(ctx)
	case claimTimer:
		a.giveUp(ctx, m.id)
	case poll:
		a.polling = false
		if len(a.waits) > 0 || len(a.appends) > 0 {
			ctx.Send("log", readMsg{From: a.p.Claims().ReadOffset()})
			a.keepPolling(ctx)
		}
	}
}

func (a *agentNode) begin(ctx *faultmatrix.Context, from string, m attempt) {
	if m.To != a.self && !a.f.off.AnyIncarnation {
		ctx.Send(from, attemptEnd{ID: m.ID, P: problem.New(problem.WrongIncarnation, "", "").WithOutcome(problem.NotRun)})
		return
	}
	if a.attempts[m.ID] {
		return
	}
	a.attempts[m.ID] = true
	a.p.EvictExpired(a.elapsed(ctx))
	key, err := writeonce.ParseKey(m.Key)
	if err != nil {
		ctx.Send(from, attemptEnd{ID: m.ID, P: problem.Of(err)})
		return
	}
	digest := writeonce.Content{Body: []byte(m.Body)}.Digest()
	w := &waiting{entry: from, id: m.ID, body: m.Body, try: &writeonce.Attempt{Write: writeonce.Write{Key: key, Digest: digest, Accepting: true}}}
	a.waits = append(a.waits, w)
	a.stepAll(ctx)
	if slices.Contains(a.waits, w) && !w.joined {
		ctx.After(claimWait, claimTimer{m.ID})
	}
}

// stepAll steps every try that waits.
func (a *agentNode) stepAll(ctx *faultmatrix.Context) {
	waits := a.waits
	a.waits = nil
	for _, w := range waits {
		a.step(ctx, w)
	}
	for a.p.QueuedClaims() > 0 {
		a.nAppends++
		claims := a.p.DequeueClaims()
		a.appends[a.nAppends] = claims
		data, _ := writeonce.EncodeBatch(writeonce.Batch{ID: fmt.Sprint(a.self, a.nAppends), Agent: a.self, Claims: claims})
		ctx.Send("log", appendMsg{ID: a.nAppends, Data: data})
		ctx.After(appendWait, appendTimer{a.nAppends})
	}
	a.keepPolling(ctx)
}

func (a *agentNode) step(ctx *faultmatrix.Context, w *waiting) {
	d := a.p.Step(a.elapsed(ctx), w.try)
	key := w.try.Write.Key.String()
	w.joined = d.Action == writeonce.Run || d.Action == writeonce.Wait
	switch d.Action {
	case writeonce.Run:
		a.running[key] = true
		ctx.Send("s"+a.name[1:], execute{Conn: a.f.nextConn(), Key: key, Body: w.body, From: a.self})
		ctx.After(execWait, execTimer{key})
		a.waits = append(a.waits, w)
	case writeonce.Reply:
		end := attemptEnd{ID: w.id, P: d.Problem, Owner: d.Owner}
		if d.Answer != nil {
			end.Answer = string(d.Answer.Body)
		}
		ctx.Send(w.entry, end)
	default:
		a.waits = append(a.waits, w)
	}
}

func (a *agentNode) keepPolling(ctx *faultmatrix.Context) {
	if !a.polling && len(a.waits) > 0 {
		a.polling = true
		ctx.After(pollPause, poll{})
	}
}

func (a *agentNode) finish(ctx *faultmatrix.Context, m executed) {
	key, err := writeonce.ParseKey(m.Key)
	if err != nil || !a.running[m.Key] {
		return
	}
	delete(a.running, m.Key)
	if m.Lost {
		a.p.RecordFailure(key, problem.NotKnown)
	} else {
		a.answerWaiting(ctx, m.Key)
		a.p.RecordAnswer(key, writeonce.Answer{Status: 200, Body: []byte(m.Key)})
	}
	a.stepAll(ctx)
}

// answerWaiting hands the answer to every try that waits for the execution.
func (a *agentNode) answerWaiting(ctx *faultmatrix.Context, key string) {
	a.waits = slices.DeleteFunc(a.waits, func(w *waiting) bool {
		if w.joined && w.try.Write.Key.String() == key {
			ctx.Send(w.entry, attemptEnd{ID: w.id, Answer: key})
			return true
		}
		return false
	})
}

func (a *agentNode) appended(ctx *faultmatrix.Context, id int, offset int64, p *problem.Error) {
	claims, ok := a.appends[id]
	if !ok {
		return
	}
	delete(a.appends, id)
	a.p.AppendDone(a.elapsed(ctx), claims, offset, p)
	ctx.Send("log", readMsg{From: a.p.Claims().ReadOffset()})
	a.stepAll(ctx)
}

func (a *agentNode) giveUp(ctx *faultmatrix.Context, id string) {
	for _, w := range a.waits {
		if w.id == id {
			a.p.AbandonClaim(a.elapsed(ctx), w.try)
		}
	}
	a.stepAll(ctx)
}

func (a *agentNode) refuse(ctx *faultmatrix.Context, from string, m refuseMsg) {
	key, err := writeonce.ParseKey(m.Key)
	if err != nil || m.To != a.self {
		return
	}
	ctx.Send(from, refuseEnd{ID: m.ID, Cert: a.p.Refuse(a.elapsed(ctx), key, writeonce.Content{Body: []byte(m.Body)}.Digest())})
	a.stepAll(ctx)
}

package agent

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/wait"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

const (
	// executionBound bounds the wait for a backend server's answer to an
	// unrepeatable call, also after every caller has gone.
	executionBound = 5 * time.Minute
	// claimBound bounds the wait for a claim to be read back.
	claimBound = 5 * time.Second
	// maxAnswerBytes bounds an answer to an unrepeatable call.
	maxAnswerBytes = 16 << 20
	// maxPermits bounds one block of permits.
	maxPermits = 64
	// maxKeys bounds the keys that the agent remembers.
	maxKeys = 60_000
	// maxClaimRoutes bounds the routes whose keys the agent claims.
	maxClaimRoutes = 16
)

// writes runs unrepeatable calls at most once.
type writes struct {
	self    ident.Incarnation
	backend Backend
	log     *zap.Logger
	scope   tally.Scope
	client  *logservice.Client
	slots   slots
	started time.Time
	limit   *rate.Limiter
	serial  atomic.Uint64
	// keys counts the keys remembered by all ledgers.
	keys atomic.Int64
	// ended is closed when the agent ends.
	ended   chan struct{}
	permits partitions

	mu     sync.Mutex
	routes map[string]*partitions
}

// slots bound the executions at the backend server.
type slots struct {
	begin func() bool
	end   func()
}

// partitions are the ledgers of the permits, or of the dated keys of a route.
type partitions [writeonce.Partitions]*partition

func newWrites(self ident.Incarnation, started time.Time, backend Backend, log *zap.Logger, scope tally.Scope, client *logservice.Client, s slots) *writes {
	w := &writes{
		self: self, backend: backend, log: log, scope: scope, client: client, slots: s, started: started,
		limit: rate.NewLimiter(firstAppendsPerSecond, firstAppendsPerSecond),
		ended: make(chan struct{}), routes: make(map[string]*partitions),
	}
	for i := range w.permits {
		w.permits[i] = w.newPartition("")
	}
	return w
}

func (w *writes) newPartition(stream string) *partition {
	return &partition{
		writes: w, stream: stream,
		used: make(chan struct{}), appendUp: make(chan struct{}, 1),
		ledger: writeonce.NewPartition(w.self), changed: make(chan struct{}),
		running: make(map[string]*execution),
	}
}

// streams returns the partitions of a route and begins to follow its claim
// streams the first time. The error kind is Overloaded.
func (w *writes) streams(route string) (*partitions, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ps, ok := w.routes[route]; ok {
		return ps, nil
	}
	if len(w.routes) >= maxClaimRoutes {
		return nil, problem.New(problem.Overloaded, "use permits, or fewer routes to one pool",
			"this agent claims keys of at most %d routes", maxClaimRoutes).WithOutcome(problem.NotRun)
	}
	ps := &partitions{}
	ctx, stop := context.WithCancel(context.Background())
	for i := range ps {
		ps[i] = w.newPartition(fmt.Sprintf("claims.%s.%d", route, i))
		go ps[i].run(ctx)
	}
	go func() {
		<-w.ended
		stop()
	}()
	w.routes[route] = ps
	return ps, nil
}

// partition returns the ledger of a key. The error kind is Overloaded.
func (w *writes) partition(route string, key writeonce.Key) (*partition, error) {
	if key.IsPermit() {
		return w.permits[key.Partition()], nil
	}
	ps, err := w.streams(route)
	if err != nil {
		return nil, err
	}
	return ps[key.Partition()], nil
}

// all returns every partition.
func (w *writes) all() []*partition {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := slices.Clone(w.permits[:])
	for _, ps := range w.routes {
		out = append(out, ps[:]...)
	}
	return out
}

// run forgets old keys until ctx ends.
func (w *writes) run(ctx context.Context) error {
	defer close(w.ended)
	for ctx.Err() == nil {
		wait.For(ctx, forgetInterval)
		for _, p := range w.all() {
			p.mu.Lock()
			p.counted(func() { p.ledger.EvictExpired(w.elapsed()) })
			p.mu.Unlock()
		}
	}
	return nil
}

func (w *writes) elapsed() time.Duration { return time.Since(w.started) }

// issue issues a block of permits.
func (w *writes) issue(count int) agentlink.PermitBlock {
	n := max(1, min(count, maxPermits))
	last := w.serial.Add(uint64(n))
	return agentlink.PermitBlock{
		Incarnation: w.self, IssuedMS: w.elapsed().Milliseconds(), First: last - uint64(n) + 1, Count: n,
	}
}

// refuse certifies the outcome of a key.
func (w *writes) refuse(route, text string, digest writeonce.Digest) (writeonce.Certificate, error) {
	key, err := writeonce.ParseKey(text)
	if err != nil {
		return writeonce.Certificate{Outcome: problem.NotRun, ForAllAgents: true}, nil
	}
	p, err := w.partition(route, key)
	if err != nil {
		return writeonce.Certificate{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notify()
	var cert writeonce.Certificate
	p.counted(func() { cert = p.ledger.Refuse(w.elapsed(), key, digest) })
	return cert, nil
}

// execution is one call at the backend server.
type execution struct {
	done chan struct{}
	// answer is nil where there is none. It is set before done is closed.
	answer *writeonce.Answer
}

// result is the end of one try.
type result struct {
	answer *writeonce.Answer
	owner  ident.Incarnation
	err    *problem.Error
	// started is the execution that this try began, nil for any other try.
	started *execution
}

// do takes one try to its end: it runs the call, or waits for the execution
// that is under way, or refuses.
func (w *writes) do(ctx context.Context, request agentlink.AttemptRequest, body []byte, accepting bool) result {
	key, err := writeonce.ParseKey(request.Key)
	if err != nil {
		return result{err: problem.Of(err)}
	}
	p, err := w.partition(request.Route, key)
	if err != nil {
		return result{err: problem.Of(err)}
	}
	content := writeonce.Content{
		Route: request.Route, Organisation: request.Organisation, Method: request.Method, Path: request.Path, Body: body,
	}
	t := &try{
		writes: w, request: request, body: body, p: p,
		once: &writeonce.Attempt{Write: writeonce.Write{Key: key, Digest: content.Digest(), Accepting: accepting}},
	}
	claimTimer := time.NewTimer(claimBound)
	defer claimTimer.Stop()
	for {
		waitFor, end := t.step()
		if end {
			return t.result
		}
		select {
		case <-waitFor:
		case <-claimTimer.C:
			t.giveUpClaim()
		case <-ctx.Done():
			t.result.err = problem.Of(deadlineOr(ctx, ctx.Err()))
			return t.result
		}
	}
}

// try is the state of one call of do.
type try struct {
	writes  *writes
	request agentlink.AttemptRequest
	body    []byte
	p       *partition
	once    *writeonce.Attempt
	exec    *execution
	result  result
}

// step decides once, in one critical section. It returns what to wait for.
func (t *try) step() (<-chan struct{}, bool) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.exec != nil && t.exec.answer != nil {
		t.result.answer = t.exec.answer
		return nil, true
	}
	slot := t.writes.slots.begin()
	t.once.Write.AtCapacity = !slot || t.writes.keys.Load() >= maxKeys
	var d writeonce.Decision
	t.p.counted(func() { d = t.p.ledger.Step(t.writes.elapsed(), t.once) })
	if slot && d.Action != writeonce.Run {
		t.writes.slots.end()
	}
	switch d.Action {
	case writeonce.Run:
		t.exec = &execution{done: make(chan struct{})}
		t.result.started = t.exec
		t.p.running[t.once.Write.Key.String()] = t.exec
		go t.writes.execute(t.p, t.once.Write.Key, t.exec, t.request, t.body)
		return t.exec.done, false
	case writeonce.Wait:
		t.exec = t.p.running[t.once.Write.Key.String()]
		t.writes.scope.Counter("writes_joined").Inc(1)
		return t.exec.done, false
	case writeonce.AppendClaim:
		t.p.claimQueued()
		return t.p.changed, false
	}
	t.result.answer, t.result.err, t.result.owner = d.Answer, d.Problem, d.Owner
	return nil, true
}

// giveUpClaim ends the wait for the claim.
func (t *try) giveUpClaim() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.p.counted(func() { t.p.ledger.AbandonClaim(t.writes.elapsed(), t.once) })
	t.p.notify()
}

// execute sends the call to the backend server, once, and keeps its answer. It
// does not end with the try that began it.
func (w *writes) execute(p *partition, key writeonce.Key, exec *execution, request agentlink.AttemptRequest, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), executionBound)
	defer cancel()
	w.scope.Counter("writes_run").Inc(1)
	answer, err := w.send(ctx, request, body)
	w.slots.end()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, key.String())
	if err != nil {
		w.scope.Counter("writes_without_answer").Inc(1)
		p.ledger.RecordFailure(key, problem.Of(err).Outcome)
	} else {
		exec.answer = &answer
		p.ledger.RecordAnswer(key, answer)
	}
	close(exec.done)
	p.notify()
}

func (w *writes) send(ctx context.Context, request agentlink.AttemptRequest, body []byte) (writeonce.Answer, error) {
	res, err := w.backend.Send(ctx, request, body)
	if err != nil {
		return writeonce.Answer{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = fmt.Errorf("it is larger than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return writeonce.Answer{}, truncated(err)
	}
	return writeonce.Answer{Status: res.StatusCode, Header: res.Header, Body: data}, nil
}

// WritesStatus tells operators of the agent's unrepeatable calls.
type WritesStatus struct {
	// Routes are those whose dated keys the agent claims.
	Routes []string `json:"routes"`
	// Ready is true once dated keys made now are covered by the claim streams
	// of every route.
	Ready bool `json:"ready"`
	// Keys counts the keys remembered.
	Keys int64 `json:"keys"`
	// Behind counts the claim streams of which the log shows less than before.
	Behind int `json:"behind"`
}

func (w *writes) status() WritesStatus {
	s := WritesStatus{Keys: w.keys.Load(), Routes: w.routeNames()}
	s.Ready = len(s.Routes) > 0
	for _, p := range w.all() {
		p.mu.Lock()
		if p.ledger.Claims().Regressed() {
			s.Behind++
		}
		if p.stream != "" && (p.opened.IsZero() || time.Since(p.opened) <= writeonce.MaxClockLead) {
			s.Ready = false
		}
		p.mu.Unlock()
	}
	return s
}

func (w *writes) routeNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.routes))
}

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
	// executionTimeout limits the wait for a backend server's answer to an unrepeatable call,
	// even if no caller is waiting any more.
	executionTimeout = 5 * time.Minute
	// claimTimeout limits the wait until an appended claim has been read back.
	claimTimeout = 5 * time.Second
	// maxAnswerBytes limits the size of an answer to an unrepeatable call.
	maxAnswerBytes = 16 << 20
	// maxPermitsPerBlock limits the permits issued by one request.
	maxPermitsPerBlock = 64
	// maxRememberedKeys limits the keys that the agent remembers.
	maxRememberedKeys = 60_000
	// maxClaimRoutes limits the routes whose keys the agent claims.
	maxClaimRoutes = 16
)

// writeExecutor executes unrepeatable calls, each at most once.
type writeExecutor struct {
	self    ident.Incarnation
	backend Backend
	log     *zap.Logger
	scope   tally.Scope
	client  *logservice.Client
	slots   slots
	started time.Time
	// appendLimit limits the rate of appends to the claim streams.
	appendLimit *rate.Limiter
	// serial is the number of the last permit issued.
	serial atomic.Uint64
	// keys is the number of keys that all ledgers remember.
	keys atomic.Int64
	// done is closed when the agent stops.
	done    chan struct{}
	permits partitions

	mu     sync.Mutex
	routes map[string]*partitions
}

// slots limits the executions at the backend server.
type slots struct {
	acquire func() bool
	release func()
}

// partitions holds the ledgers of the permits, or of the dated keys of one route.
type partitions [writeonce.Partitions]*partition

func newWriteExecutor(self ident.Incarnation, started time.Time, backend Backend, log *zap.Logger, scope tally.Scope, client *logservice.Client, s slots) *writeExecutor {
	w := &writeExecutor{
		self: self, backend: backend, log: log, scope: scope, client: client, slots: s, started: started,
		appendLimit: rate.NewLimiter(initialAppendsPerSecond, initialAppendsPerSecond),
		done:        make(chan struct{}), routes: make(map[string]*partitions),
	}
	for i := range w.permits {
		w.permits[i] = w.newPartition("")
	}
	return w
}

func (w *writeExecutor) newPartition(stream string) *partition {
	return &partition{
		writes: w, stream: stream,
		firstClaim: make(chan struct{}), appendWake: make(chan struct{}, 1),
		ledger: writeonce.NewPartition(w.self), changed: make(chan struct{}),
		running: make(map[string]*execution),
	}
}

// routePartitions returns the partitions of a route. The first call for a route opens its claim
// streams. The error has the kind Overloaded.
func (w *writeExecutor) routePartitions(route string) (*partitions, error) {
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
	ctx, cancel := context.WithCancel(context.Background())
	for i := range ps {
		ps[i] = w.newPartition(fmt.Sprintf("claims.%s.%d", route, i))
		go ps[i].run(ctx)
	}
	go func() {
		<-w.done
		cancel()
	}()
	w.routes[route] = ps
	return ps, nil
}

// partitionOf returns the partition of a key. The error has the kind Overloaded.
func (w *writeExecutor) partitionOf(route string, key writeonce.Key) (*partition, error) {
	if key.IsPermit() {
		return w.permits[key.Partition()], nil
	}
	ps, err := w.routePartitions(route)
	if err != nil {
		return nil, err
	}
	return ps[key.Partition()], nil
}

func (w *writeExecutor) allPartitions() []*partition {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := slices.Clone(w.permits[:])
	for _, ps := range w.routes {
		out = append(out, ps[:]...)
	}
	return out
}

// run evicts expired keys until ctx is cancelled.
func (w *writeExecutor) run(ctx context.Context) error {
	defer close(w.done)
	for ctx.Err() == nil {
		wait.For(ctx, evictInterval)
		for _, p := range w.allPartitions() {
			p.mu.Lock()
			p.countKeys(func() { p.ledger.EvictExpired(w.elapsed()) })
			p.mu.Unlock()
		}
	}
	return nil
}

func (w *writeExecutor) elapsed() time.Duration { return time.Since(w.started) }

// issuePermits issues a block of permits.
func (w *writeExecutor) issuePermits(count int) agentlink.PermitBlock {
	n := max(1, min(count, maxPermitsPerBlock))
	last := w.serial.Add(uint64(n))
	return agentlink.PermitBlock{
		Incarnation: w.self, IssuedMS: w.elapsed().Milliseconds(), First: last - uint64(n) + 1, Count: n,
	}
}

// refuse refuses a key and certifies its outcome.
func (w *writeExecutor) refuse(route, text string, digest writeonce.Digest) (writeonce.Certificate, error) {
	key, err := writeonce.ParseKey(text)
	if err != nil {
		return writeonce.Certificate{Outcome: problem.NotRun, ForAllAgents: true}, nil
	}
	p, err := w.partitionOf(route, key)
	if err != nil {
		return writeonce.Certificate{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notify()
	var cert writeonce.Certificate
	p.countKeys(func() { cert = p.ledger.Refuse(w.elapsed(), key, digest) })
	return cert, nil
}

// execution is one call in progress at the backend server.
type execution struct {
	done chan struct{}
	// answer is nil if the execution ended without one. It is set before done is closed.
	answer *writeonce.Answer
}

// result is the final result of one attempt.
type result struct {
	answer *writeonce.Answer
	owner  ident.Incarnation
	err    *problem.Error
	// execution is the execution that this attempt started, nil if it started none.
	execution *execution
}

// process completes one attempt: it executes the call, waits for the execution in progress, or
// refuses.
func (w *writeExecutor) process(ctx context.Context, request agentlink.AttemptRequest, body []byte, accepting bool) result {
	key, err := writeonce.ParseKey(request.Key)
	if err != nil {
		return result{err: problem.Of(err)}
	}
	p, err := w.partitionOf(request.Route, key)
	if err != nil {
		return result{err: problem.Of(err)}
	}
	content := writeonce.Content{
		Route: request.Route, Organisation: request.Organisation, Method: request.Method, Path: request.Path, Body: body,
	}
	t := &writeAttempt{
		writes: w, request: request, body: body, p: p,
		attempt: &writeonce.Attempt{Write: writeonce.Write{Key: key, Digest: content.Digest(), Accepting: accepting}},
	}
	claimTimer := time.NewTimer(claimTimeout)
	defer claimTimer.Stop()
	for {
		ready, complete := t.step()
		if complete {
			return t.result
		}
		select {
		case <-ready:
		case <-claimTimer.C:
			t.abandonClaim()
		case <-ctx.Done():
			t.result.err = problem.Of(contextErrorOr(ctx, ctx.Err()))
			return t.result
		}
	}
}

// writeAttempt is the state of one call of process.
type writeAttempt struct {
	writes    *writeExecutor
	request   agentlink.AttemptRequest
	body      []byte
	p         *partition
	attempt   *writeonce.Attempt
	execution *execution
	result    result
}

// step makes one decision, in one critical section. It returns the channel to wait for, or true
// if the attempt is complete.
func (t *writeAttempt) step() (<-chan struct{}, bool) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.execution != nil && t.execution.answer != nil {
		t.result.answer = t.execution.answer
		return nil, true
	}
	slot := t.writes.slots.acquire()
	t.attempt.Write.AtCapacity = !slot || t.writes.keys.Load() >= maxRememberedKeys
	var d writeonce.Decision
	t.p.countKeys(func() { d = t.p.ledger.Step(t.writes.elapsed(), t.attempt) })
	if slot && d.Action != writeonce.Run {
		t.writes.slots.release()
	}
	switch d.Action {
	case writeonce.Run:
		t.execution = &execution{done: make(chan struct{})}
		t.result.execution = t.execution
		t.p.running[t.attempt.Write.Key.String()] = t.execution
		go t.writes.execute(t.p, t.attempt.Write.Key, t.execution, t.request, t.body)
		return t.execution.done, false
	case writeonce.Wait:
		t.execution = t.p.running[t.attempt.Write.Key.String()]
		t.writes.scope.Counter("writes_joined").Inc(1)
		return t.execution.done, false
	case writeonce.AppendClaim:
		t.p.wakeAppender()
		return t.p.changed, false
	}
	t.result.answer, t.result.err, t.result.owner = d.Answer, d.Problem, d.Owner
	return nil, true
}

// abandonClaim stops waiting for the claim to be read back.
func (t *writeAttempt) abandonClaim() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.p.countKeys(func() { t.p.ledger.AbandonClaim(t.writes.elapsed(), t.attempt) })
	t.p.notify()
}

// execute sends the call to the backend server, once, and stores its answer. It keeps running
// when the attempt that started it ends.
func (w *writeExecutor) execute(p *partition, key writeonce.Key, exec *execution, request agentlink.AttemptRequest, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), executionTimeout)
	defer cancel()
	w.scope.Counter("writes_run").Inc(1)
	answer, err := w.send(ctx, request, body)
	w.slots.release()
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

func (w *writeExecutor) send(ctx context.Context, request agentlink.AttemptRequest, body []byte) (writeonce.Answer, error) {
	res, err := w.backend.Send(ctx, request, body)
	if err != nil {
		return writeonce.Answer{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = fmt.Errorf("the answer is larger than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return writeonce.Answer{}, truncatedAnswer(err)
	}
	return writeonce.Answer{Status: res.StatusCode, Header: res.Header, Body: data}, nil
}

// WritesStatus is the state of the agent's unrepeatable calls, for operators.
type WritesStatus struct {
	// Routes lists the routes whose dated keys the agent claims.
	Routes []string `json:"routes"`
	// Ready is true once the claim streams of every route cover dated keys created now.
	Ready bool `json:"ready"`
	// Keys is the number of keys that the agent remembers.
	Keys int64 `json:"keys"`
	// Behind is the number of claim streams for which the log ends before the last record read.
	Behind int `json:"behind"`
}

func (w *writeExecutor) status() WritesStatus {
	s := WritesStatus{Keys: w.keys.Load(), Routes: w.routeNames()}
	s.Ready = len(s.Routes) > 0
	for _, p := range w.allPartitions() {
		p.mu.Lock()
		if p.ledger.Claims().Regressed() {
			s.Behind++
		}
		if p.stream != "" && (p.openedAt.IsZero() || time.Since(p.openedAt) <= writeonce.MaxClockLead) {
			s.Ready = false
		}
		p.mu.Unlock()
	}
	return s
}

func (w *writeExecutor) routeNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.routes))
}

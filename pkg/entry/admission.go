package entry

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/flowcontrol"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

const (
	// capacityInterval is how often the capacity of the pools is read again.
	capacityInterval = time.Second
	// reassessInterval is how often waiting requests that can no longer be
	// answered in time are given up.
	reassessInterval = 100 * time.Millisecond
)

// admission holds the gate of each pool.
type admission struct {
	scope tally.Scope
	mu    sync.Mutex
	gates map[string]*gate
}

func newAdmission(scope tally.Scope) *admission {
	return &admission{scope: scope, gates: make(map[string]*gate)}
}

// gate returns the gate of a pool and whether it is new.
func (a *admission) gate(pool string) (*gate, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.gates[pool]
	if !ok {
		g = newGate(time.Now())
		a.gates[pool] = g
	}
	return g, !ok
}

// drop forgets the gate of a pool that is no longer in the table.
func (a *admission) drop(pool string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.gates, pool)
}

// pools returns the names of the pools that have a gate.
func (a *admission) pools() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := make([]string, 0, len(a.gates))
	for name := range a.gates {
		names = append(names, name)
	}
	return names
}

// gateOf returns the gate of a pool, which has capacity if any replica takes
// work.
func (e *Entry) gateOf(pool tables.Pool) *gate {
	g, fresh := e.admission.gate(pool.Name)
	if _, _, window := g.size(); fresh || window == 0 {
		e.readCapacity(g, pool)
	}
	return g
}

// runAdmission keeps the capacity of every pool up to date, and gives up
// requests that wait in vain, until ctx ends.
func (e *Entry) runAdmission(ctx context.Context) error {
	capacity := time.NewTicker(capacityInterval)
	defer capacity.Stop()
	waiting := time.NewTicker(reassessInterval)
	defer waiting.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-capacity.C:
			e.readCapacities()
		case <-waiting.C:
			e.reassess()
		}
	}
}

func (e *Entry) readCapacities() {
	view := e.config.View()
	for _, name := range e.admission.pools() {
		pool, ok := view.Pool(name)
		if !ok {
			pool = tables.Pool{Name: name}
		}
		g, _ := e.admission.gate(name)
		e.readCapacity(g, pool)
		if waiting, inFlight, _ := g.size(); !ok && waiting+inFlight == 0 {
			e.admission.drop(name)
		}
	}
}

func (e *Entry) reassess() {
	for _, name := range e.admission.pools() {
		g, _ := e.admission.gate(name)
		g.reassess()
		e.reportGate(name, g)
	}
}

func (e *Entry) readCapacity(g *gate, pool tables.Pool) {
	whole := pool.Concurrency * e.usable(pool)
	entries := e.members.sharersOf(pool.Name)
	g.setCapacity(pool, (whole+entries-1)/entries, whole)
}

// usable counts the replicas of a pool that take work.
func (e *Entry) usable(pool tables.Pool) int {
	n := 0
	for _, r := range e.replicas.snapshot(pool.Name, pool.Concurrency) {
		if !r.Draining {
			n++
		}
	}
	return n
}

func (e *Entry) reportGate(pool string, g *gate) {
	waiting, inFlight, window := g.size()
	scope := e.admission.scope.Tagged(map[string]string{"pool": pool})
	scope.Gauge("waiting").Update(float64(waiting))
	scope.Gauge("in_flight").Update(float64(inFlight))
	scope.Gauge("window").Update(float64(window))
}

// admitAndForward waits for admission and forwards the request.
func (e *Entry) admitAndForward(ctx context.Context, x *exchange) error {
	g := e.gateOf(x.pool)
	start := time.Now()
	ticket, refusal, err := g.acquire(ctx, flowcontrol.Request{
		Organisation: x.organisation.Name,
		Share:        x.organisation.Share,
		Class:        x.organisation.Class,
		Deadline:     x.deadline,
	})
	for err == nil && refusal == nil {
		e.scope.Timer("admission_wait").Record(time.Since(start))
		failure := e.forwardAdmitted(ctx, x, g, ticket)
		if !waitsAgain(x, failure) {
			return failure
		}
		e.scope.Counter("requeues").Inc(1)
		start = time.Now()
		refusal, err = g.requeue(ctx, ticket)
	}
	if err != nil {
		return leftQueue(ctx, x)
	}
	e.scope.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refusals").Inc(1)
	return refused(x, refusal)
}

// forwardAdmitted forwards an admitted request and gives its slot back, unless
// the request waits again.
func (e *Entry) forwardAdmitted(ctx context.Context, x *exchange, g *gate, ticket *flowcontrol.Ticket) (err error) {
	ended := false
	defer func() {
		switch {
		case ended && err == nil:
			g.release(ticket, flowcontrol.Served)
		case !ended || !waitsAgain(x, err):
			g.release(ticket, flowcontrol.Failed)
		}
	}()
	err = e.forward(ctx, x, g)
	ended = true
	return err
}

// waitsAgain reports whether a request that every tried replica refused for
// being full goes back to the queue.
func waitsAgain(x *exchange, err error) bool {
	return problem.Is(err, problem.Overloaded) && problem.Of(err).Outcome == problem.NotRun && !x.answer.Committed()
}

// refused is the final answer to a request that was never sent to a replica.
func refused(x *exchange, r *flowcontrol.Refusal) error {
	kind, remedy := problem.Overloaded, "come back after the time in Retry-After"
	if r.Reason == flowcontrol.NoCapacity {
		kind, remedy = problem.NoReplica, "come back later; if it lasts, start a backend server of the pool"
	}
	return problem.New(kind, remedy, "pool %q does not take the request now: %s", x.pool.Name, r.Reason).
		WithOutcome(unsentOutcome(x)).WithRetryAfter(r.RetryAfter)
}

func leftQueue(ctx context.Context, x *exchange) error {
	kind, remedy := problem.CallerGone, "keep the connection open until the answer is whole"
	if ctx.Err() == context.DeadlineExceeded {
		kind, remedy = problem.DeadlineExceeded, "send the request again, or raise the route's deadline"
	}
	return problem.New(kind, remedy, "the request left the queue of pool %q", x.pool.Name).WithOutcome(unsentOutcome(x))
}

// unsentOutcome is the outcome of a request that this entry never sent. Where
// the caller may have sent another request under the same idempotency key, that
// one may have run.
func unsentOutcome(x *exchange) problem.Outcome {
	if x.call != nil && !x.call.OnlyRequest {
		return problem.NotKnown
	}
	return problem.NotRun
}

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
	// capacityInterval is how often the capacity of the pools is updated.
	capacityInterval = time.Second
	// reassessInterval is how often queued requests are checked against their deadlines.
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

// gate returns the gate of a pool and whether it was created by this call.
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

// drop removes the gate of a pool.
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

// gateOf returns the gate of a pool. It updates the capacity of a new gate and of one without
// any, so that a pool has capacity as soon as a replica is usable.
func (e *Entry) gateOf(pool tables.Pool) *gate {
	g, created := e.admission.gate(pool.Name)
	if _, _, window := g.counts(); created || window == 0 {
		e.updateCapacity(g, pool)
	}
	return g
}

// runAdmission updates the capacity of every pool, and refuses queued requests that can no
// longer meet their deadline, until ctx ends.
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
			e.updateCapacities()
		case <-waiting.C:
			e.reassess()
		}
	}
}

// updateCapacities updates every gate and drops those of removed pools that are idle.
func (e *Entry) updateCapacities() {
	view := e.config.View()
	for _, name := range e.admission.pools() {
		pool, ok := view.Pool(name)
		if !ok {
			pool = tables.Pool{Name: name}
		}
		g, _ := e.admission.gate(name)
		e.updateCapacity(g, pool)
		if waiting, inFlight, _ := g.counts(); !ok && waiting+inFlight == 0 {
			e.admission.drop(name)
		}
	}
}

// reassess refuses the waiting requests of every pool that can no longer meet their deadline, and updates the
// gauges of the queues.
func (e *Entry) reassess() {
	for _, name := range e.admission.pools() {
		g, _ := e.admission.gate(name)
		g.reassess()
		e.updateGauges(name, g)
	}
}

// updateCapacity sets the capacity of a pool's gate: this entry's equal share of the pool, and
// the pool's total.
func (e *Entry) updateCapacity(g *gate, pool tables.Pool) {
	poolCapacity := pool.Concurrency * e.usableReplicas(pool)
	entries := e.members.entriesPerReplicaOf(pool.Name)
	g.setCapacity(pool, (poolCapacity+entries-1)/entries, poolCapacity)
}

// usableReplicas counts the replicas of a pool that accept new work.
func (e *Entry) usableReplicas(pool tables.Pool) int {
	n := 0
	for _, r := range e.replicas.snapshot(pool.Name, pool.Concurrency) {
		if !r.Draining {
			n++
		}
	}
	return n
}

func (e *Entry) updateGauges(pool string, g *gate) {
	waiting, inFlight, window := g.counts()
	scope := e.admission.scope.Tagged(map[string]string{"pool": pool})
	scope.Gauge("waiting").Update(float64(waiting))
	scope.Gauge("in_flight").Update(float64(inFlight))
	scope.Gauge("window").Update(float64(window))
}

// admitAndForward queues the request for admission and forwards it once admitted.
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
		if !shouldRequeue(x, failure) {
			return failure
		}
		e.scope.Counter("requeues").Inc(1)
		start = time.Now()
		refusal, err = g.requeue(ctx, ticket)
	}
	if err != nil {
		return queueLeftError(ctx, x)
	}
	e.scope.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refusals").Inc(1)
	return refusalError(x, refusal)
}

// forwardAdmitted forwards an admitted request and releases its slot, unless the request is to
// be queued again.
func (e *Entry) forwardAdmitted(ctx context.Context, x *exchange, g *gate, ticket *flowcontrol.Ticket) (err error) {
	ended := false
	defer func() {
		switch {
		case ended && err == nil:
			g.release(ticket, flowcontrol.Served)
		case !ended || !shouldRequeue(x, err):
			g.release(ticket, flowcontrol.Failed)
		}
	}()
	err = e.forward(ctx, x, g)
	ended = true
	return err
}

// shouldRequeue reports whether a failed request returns to the queue: every replica tried was
// overloaded, none ran it, and the caller has received nothing.
func shouldRequeue(x *exchange, err error) bool {
	return problem.Is(err, problem.Overloaded) && problem.Of(err).Outcome == problem.NotRun && !x.answer.Committed()
}

// refusalError returns the final error of a request that flow control refused.
func refusalError(x *exchange, r *flowcontrol.Refusal) error {
	kind, remedy := problem.Overloaded, "retry after the time in Retry-After"
	if r.Reason == flowcontrol.NoCapacity {
		kind, remedy = problem.NoReplica, "retry later; if the error persists, start a backend server of the pool"
	}
	return problem.New(kind, remedy, "pool %q cannot accept the request now: %s", x.pool.Name, r.Reason).
		WithOutcome(unsentOutcome(x)).WithRetryAfter(r.RetryAfter)
}

// queueLeftError returns the error of a request whose ctx ended while it was queued.
func queueLeftError(ctx context.Context, x *exchange) error {
	kind, remedy := problem.CallerGone, "keep the connection open until the answer is complete"
	if ctx.Err() == context.DeadlineExceeded {
		kind, remedy = problem.DeadlineExceeded, "send the request again, or raise the route's deadline"
	}
	return problem.New(kind, remedy, "the request was removed from the queue of pool %q before it was admitted", x.pool.Name).WithOutcome(unsentOutcome(x))
}

// unsentOutcome returns the outcome of a request that this entry never sent. It is NotKnown
// where the caller may have sent another request under the same idempotency key, because that
// one may have run.
func unsentOutcome(x *exchange) problem.Outcome {
	if x.call != nil && !x.call.OnlyRequest {
		return problem.NotKnown
	}
	return problem.NotRun
}

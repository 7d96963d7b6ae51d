package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/flowcontrol"
	"github.com/fescuehub/fescuehub/pkg/retry"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// gate drives the flow control and the retry budget of one pool.
type gate struct {
	mu      sync.Mutex
	control *flowcontrol.Controller
	retries *retry.Policy
	// decisions gets the decision on each ticket that waits.
	decisions map[*flowcontrol.Ticket]chan *flowcontrol.Refusal
}

func newGate(now time.Time) *gate {
	return &gate{
		control:   flowcontrol.New(flowcontrol.Limits{}),
		retries:   retry.New(retry.DefaultLimits, now),
		decisions: make(map[*flowcontrol.Ticket]chan *flowcontrol.Refusal),
	}
}

// setCapacity takes the pool's limits and the number of requests that it runs,
// the entry's equal share of it and the whole.
func (g *gate) setCapacity(pool tables.Pool, share, whole int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.control.SetLimits(flowcontrol.Limits{QueueLimit: pool.QueueLimit})
	g.deliver(g.control.SetCapacity(now, share, whole, rand.Uint64()))
}

// reassess gives up waiting requests that can no longer be answered in time.
func (g *gate) reassess() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.control.Waiting() > 0 {
		g.deliver(g.control.Reassess(time.Now(), rand.Uint64()))
	}
}

// acquire waits for admission. It returns a refusal, or the error of ctx if
// the caller has gone or the deadline has passed.
func (g *gate) acquire(ctx context.Context, r flowcontrol.Request) (*flowcontrol.Ticket, *flowcontrol.Refusal, error) {
	g.mu.Lock()
	ticket, actions := g.control.Arrive(time.Now(), r, rand.Uint64())
	decision := g.register(ticket, actions)
	g.mu.Unlock()
	refusal, err := g.await(ctx, ticket, decision)
	return ticket, refusal, err
}

// requeue waits again with a request that every tried replica refused.
func (g *gate) requeue(ctx context.Context, ticket *flowcontrol.Ticket) (*flowcontrol.Refusal, error) {
	g.mu.Lock()
	decision := g.register(ticket, g.control.Requeue(time.Now(), ticket, rand.Uint64()))
	g.mu.Unlock()
	return g.await(ctx, ticket, decision)
}

// register registers a ticket for its decision, which may be among the actions.
// The caller holds the lock.
func (g *gate) register(ticket *flowcontrol.Ticket, actions []flowcontrol.Action) chan *flowcontrol.Refusal {
	decision := make(chan *flowcontrol.Refusal, 1)
	g.decisions[ticket] = decision
	g.deliver(actions)
	return decision
}

func (g *gate) await(ctx context.Context, ticket *flowcontrol.Ticket, decision chan *flowcontrol.Refusal) (*flowcontrol.Refusal, error) {
	select {
	case refusal := <-decision:
		return refusal, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.decisions, ticket)
	g.deliver(g.control.Cancel(time.Now(), ticket, rand.Uint64()))
	return nil, ctx.Err()
}

// release takes the end of an admitted request.
func (g *gate) release(ticket *flowcontrol.Ticket, result flowcontrol.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.control.Done(time.Now(), ticket, result, rand.Uint64()))
}

// deliver tells the decisions to the requests that wait for them. The caller
// holds the lock.
func (g *gate) deliver(actions []flowcontrol.Action) {
	for _, a := range actions {
		if decision, ok := g.decisions[a.Ticket]; ok {
			delete(g.decisions, a.Ticket)
			decision <- a.Refusal
		}
	}
}

// retryAfter returns when a caller refused by every replica may come back.
func (g *gate) retryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.RetryAfter(time.Now(), rand.Uint64())
}

// countFirstAttempt counts a countFirstAttempt attempt towards the retry budget.
func (g *gate) countFirstAttempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.RecordRequest(time.Now())
}

// decideRetry decides whether another attempt follows a failed one.
func (g *gate) decideRetry(f retry.Failure, class tables.Class) retry.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.MinUsefulTime = g.control.MinUsefulTime(class)
	return g.retries.Decide(time.Now(), f, rand.Uint64())
}

// counts returns the number of requests that wait and that are in flight, and
// the window.
func (g *gate) counts() (waiting, inFlight, window int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.Waiting(), g.control.InFlight(), g.control.Window()
}

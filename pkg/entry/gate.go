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

// gate connects requests to the flow control and the retry budget of one pool. It is safe for
// concurrent use.
type gate struct {
	mu      sync.Mutex
	control *flowcontrol.Controller
	retries *retry.Policy
	// decisions holds the channel that receives the decision of each waiting ticket; nil means
	// admission.
	decisions map[*flowcontrol.Ticket]chan *flowcontrol.Refusal
}

func newGate(now time.Time) *gate {
	return &gate{
		control:   flowcontrol.New(flowcontrol.Limits{}),
		retries:   retry.New(retry.DefaultLimits, now),
		decisions: make(map[*flowcontrol.Ticket]chan *flowcontrol.Refusal),
	}
}

// setCapacity sets the pool's queue limit and the number of requests that it can run at once:
// the entry's equal share and the whole pool.
func (g *gate) setCapacity(pool tables.Pool, share, poolCapacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.control.SetLimits(flowcontrol.Limits{QueueLimit: pool.QueueLimit})
	g.deliver(g.control.SetCapacity(now, share, poolCapacity, rand.Uint64()))
}

// reassess refuses waiting requests that can no longer be answered before their deadline.
func (g *gate) reassess() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.control.Waiting() > 0 {
		g.deliver(g.control.Reassess(time.Now(), rand.Uint64()))
	}
}

// acquire waits for admission. It returns a refusal, or the error of ctx if the caller has
// closed the connection or the deadline has passed.
func (g *gate) acquire(ctx context.Context, r flowcontrol.Request) (*flowcontrol.Ticket, *flowcontrol.Refusal, error) {
	g.mu.Lock()
	ticket, actions := g.control.Arrive(time.Now(), r, rand.Uint64())
	decision := g.register(ticket, actions)
	g.mu.Unlock()
	refusal, err := g.await(ctx, ticket, decision)
	return ticket, refusal, err
}

// requeue returns a request to the queue after all replicas that were tried have refused it, and
// waits for admission.
func (g *gate) requeue(ctx context.Context, ticket *flowcontrol.Ticket) (*flowcontrol.Refusal, error) {
	g.mu.Lock()
	decision := g.register(ticket, g.control.Requeue(time.Now(), ticket, rand.Uint64()))
	g.mu.Unlock()
	return g.await(ctx, ticket, decision)
}

// register creates the decision channel of a ticket and then delivers the actions, which may
// include its decision. The caller holds the lock.
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

// release ends an admitted request.
func (g *gate) release(ticket *flowcontrol.Ticket, result flowcontrol.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.control.Done(time.Now(), ticket, result, rand.Uint64()))
}

// deliver sends decisions to the requests that wait for them. The caller holds the lock.
func (g *gate) deliver(actions []flowcontrol.Action) {
	for _, a := range actions {
		if decision, ok := g.decisions[a.Ticket]; ok {
			delete(g.decisions, a.Ticket)
			decision <- a.Refusal
		}
	}
}

// retryAfter returns when a caller whose request was refused by every replica may retry.
func (g *gate) retryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.RetryAfter(time.Now(), rand.Uint64())
}

// countFirstAttempt credits the retry budget with the first attempt of a request.
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

// counts returns the numbers of waiting and in-flight requests, and the window.
func (g *gate) counts() (waiting, inFlight, window int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.Waiting(), g.control.InFlight(), g.control.Window()
}

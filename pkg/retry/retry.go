// Package retry decides whether a failed attempt is followed by another one. It has no clock,
// goroutines or random source. Only entries retry, so that attempts do not multiply over several
// layers.
package retry

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Reason is why a request is not retried.
type Reason string

// The reasons against a retry.
const (
	// Unsafe means that the request may have run and must not run twice.
	Unsafe Reason = "unsafe"
	// ResponseStarted means that part of the response has been sent to the caller.
	ResponseStarted Reason = "begun"
	// NotTransient means that another attempt would fail in the same way.
	NotTransient Reason = "not-transient"
	// TooManyAttempts means that the request has reached its maximum number of attempts.
	TooManyAttempts Reason = "too-many-tries"
	// OutOfTime means that too little time remains before the deadline for another attempt.
	OutOfTime Reason = "out-of-time"
	// OverBudget means that the pool's retry budget is exhausted.
	OverBudget Reason = "over-budget"
)

// Failure describes a failed attempt.
type Failure struct {
	Kind    problem.Kind
	Outcome problem.Outcome
	// Idempotent requests may run twice.
	Idempotent bool
	// ResponseStarted means that part of the response has been sent to the caller.
	ResponseStarted bool
	// Attempts is the number of attempts of the request so far.
	Attempts int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// MinUsefulTime is the minimum time that must remain for an attempt.
	MinUsefulTime time.Duration
}

// Decision is the decision on a retry. Wait is the delay before the next attempt.
type Decision struct {
	Retry  bool
	Wait   time.Duration
	Reason Reason
}

// Limits configures a Policy.
type Limits struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// FloorPerSecond is the number of retries per second that are added to the budget regardless of
	// traffic.
	FloorPerSecond float64
	// Burst is the maximum budget, in retries.
	Burst float64
	// NotRunCost is the cost of a retry after an attempt that is certified not to have run. Any
	// other retry costs 1.
	NotRunCost float64
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int
	// InitialBackoff bounds the random delay before the second attempt if the first one loaded a
	// backend server. It doubles with each attempt up to MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
}

// DefaultLimits holds the limits that entries use.
var DefaultLimits = Limits{
	Ratio:          0.1,
	FloorPerSecond: 1,
	Burst:          20,
	NotRunCost:     0.1,
	MaxAttempts:    4,
	InitialBackoff: 20 * time.Millisecond,
	MaxBackoff:     500 * time.Millisecond,
}

// Policy is the retry policy and the retry budget, a token bucket, of one pool at one entry. It is
// not safe for concurrent use.
type Policy struct {
	limits     Limits
	tokens     float64
	refilledAt time.Time
}

// New returns a policy with a full budget.
func New(limits Limits, now time.Time) *Policy {
	return &Policy{limits: limits, tokens: limits.Burst, refilledAt: now}
}

// RecordRequest records the first attempt of a request.
func (p *Policy) RecordRequest(now time.Time) {
	p.refill(now)
	p.add(p.limits.Ratio)
}

// Decide decides whether a failed attempt is followed by another one, and charges a retry to the
// budget. random is uniform over all values.
func (p *Policy) Decide(now time.Time, f Failure, random uint64) Decision {
	p.refill(now)
	if reason := p.refusalReason(f); reason != "" {
		return Decision{Reason: reason}
	}
	wait := p.backoff(f, random)
	if f.Remaining-wait <= f.MinUsefulTime {
		return Decision{Reason: OutOfTime}
	}
	cost := 1.0
	if f.Outcome == problem.NotRun {
		cost = p.limits.NotRunCost
	}
	if p.tokens < cost {
		return Decision{Reason: OverBudget}
	}
	p.tokens -= cost
	return Decision{Retry: true, Wait: wait}
}

// Budget returns the number of retries left as of the last call.
func (p *Policy) Budget() float64 { return p.tokens }

func (p *Policy) refusalReason(f Failure) Reason {
	switch {
	case f.ResponseStarted:
		return ResponseStarted
	case f.Outcome != problem.NotRun && !f.Idempotent:
		return Unsafe
	case !isTransient(f.Kind):
		return NotTransient
	case f.Attempts >= p.limits.MaxAttempts:
		return TooManyAttempts
	}
	return ""
}

// isTransient reports whether another replica may succeed where one failed.
func isTransient(kind problem.Kind) bool {
	switch kind {
	case problem.BadRequest, problem.TooLarge, problem.UnknownRoute, problem.MissingPool,
		problem.UnknownOrganisation, problem.DeadlineExceeded, problem.KeyReused,
		problem.KeyExpired, problem.KeyUndated:
		return false
	}
	return true
}

// backoff returns the delay of an exponential backoff with full jitter. An attempt that did not run
// added no load, so the retry at another replica is sent immediately, unless the failure was an
// overload.
func (p *Policy) backoff(f Failure, random uint64) time.Duration {
	if f.Outcome == problem.NotRun && f.Kind != problem.Overloaded {
		return 0
	}
	bound := p.limits.InitialBackoff
	for range f.Attempts - 1 {
		bound = min(2*bound, p.limits.MaxBackoff)
	}
	if bound <= 0 {
		return 0
	}
	return time.Duration(random % uint64(bound))
}

func (p *Policy) refill(now time.Time) {
	if d := now.Sub(p.refilledAt); d > 0 {
		p.add(d.Seconds() * p.limits.FloorPerSecond)
		p.refilledAt = now
	}
}

func (p *Policy) add(tokens float64) {
	p.tokens = min(p.tokens+tokens, p.limits.Burst)
}

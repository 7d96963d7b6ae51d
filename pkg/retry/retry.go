// Package retry decides whether a failed attempt is followed by another one.
// It has no clock, goroutine or random source of its own. The entry is the
// only process that retries, so attempts do not multiply over layers.
package retry

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Reason says why there is no further attempt.
type Reason string

// The reasons against another attempt.
const (
	// Unsafe means that the request may have run and may not run twice.
	Unsafe Reason = "unsafe"
	// ResponseStarted means that part of the answer has reached the caller.
	ResponseStarted Reason = "begun"
	// NotTransient means that another attempt would fail in the same way.
	NotTransient Reason = "not-transient"
	// TooManyAttempts means that the bound of attempts of one request is reached.
	TooManyAttempts Reason = "too-many-tries"
	// OutOfTime means that the deadline leaves no room for another attempt.
	OutOfTime Reason = "out-of-time"
	// OverBudget means that the pool's retry budget is used up.
	OverBudget Reason = "over-budget"
)

// Failure is what is known of a failed attempt.
type Failure struct {
	Kind    problem.Kind
	Outcome problem.Outcome
	// Idempotent requests may run twice.
	Idempotent bool
	// ResponseStarted is true once part of the answer has reached the caller.
	ResponseStarted bool
	// Attempts counts the attempts of the request so far.
	Attempts int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// MinUsefulTime is the time that an attempt usefully takes at least.
	MinUsefulTime time.Duration
}

// Decision is the decision. Wait is the pause before the next attempt.
type Decision struct {
	Retry  bool
	Wait   time.Duration
	Reason Reason
}

// Limits configure a Policy.
type Limits struct {
	// Ratio is the part of a retry that each first attempt adds to the budget.
	Ratio float64
	// FloorPerSecond is the number of retries added to the budget in a second
	// without any traffic.
	FloorPerSecond float64
	// Burst bounds the budget, in retries.
	Burst float64
	// NotRunCost is the cost of a retry after an attempt that is certified not
	// to have run. Any other retry costs 1.
	NotRunCost float64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// InitialBackoff is the bound of the pause before the second attempt where the
	// first one loaded a backend server. It doubles with each try up to
	// MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
}

// DefaultLimits are the limits that entries use.
var DefaultLimits = Limits{
	Ratio:          0.1,
	FloorPerSecond: 1,
	Burst:          20,
	NotRunCost:     0.1,
	MaxAttempts:    4,
	InitialBackoff: 20 * time.Millisecond,
	MaxBackoff:     500 * time.Millisecond,
}

// Policy holds the retry budget of one pool at one entry. It is not safe for
// concurrent use.
type Policy struct {
	limits Limits
	tokens float64
	at     time.Time
}

// New returns a policy with a full budget.
func New(limits Limits, now time.Time) *Policy {
	return &Policy{limits: limits, tokens: limits.Burst, at: now}
}

// RecordRequest takes the first attempt of a request.
func (p *Policy) RecordRequest(now time.Time) {
	p.refill(now)
	p.add(p.limits.Ratio)
}

// Decide takes a failed attempt and decides whether another one follows.
// random is uniform over all values.
func (p *Policy) Decide(now time.Time, f Failure, random uint64) Decision {
	p.refill(now)
	if reason := p.barred(f); reason != "" {
		return Decision{Reason: reason}
	}
	wait := p.wait(f, random)
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

// Budget returns the retries left.
func (p *Policy) Budget() float64 { return p.tokens }

func (p *Policy) barred(f Failure) Reason {
	switch {
	case f.ResponseStarted:
		return ResponseStarted
	case f.Outcome != problem.NotRun && !f.Idempotent:
		return Unsafe
	case !transient(f.Kind):
		return NotTransient
	case f.Attempts >= p.limits.MaxAttempts:
		return TooManyAttempts
	}
	return ""
}

// transient reports whether another replica may succeed where one failed.
func transient(kind problem.Kind) bool {
	switch kind {
	case problem.BadRequest, problem.TooLarge, problem.UnknownRoute, problem.MissingPool,
		problem.UnknownOrganisation, problem.DeadlineExceeded, problem.KeyReused,
		problem.KeyExpired, problem.KeyUndated:
		return false
	}
	return true
}

// wait is a full-jitter exponential backoff. An attempt that did not run gave
// no load, so its successor at another replica goes at once, unless that
// replica's bound was the cause.
func (p *Policy) wait(f Failure, random uint64) time.Duration {
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
	if d := now.Sub(p.at); d > 0 {
		p.add(d.Seconds() * p.limits.FloorPerSecond)
		p.at = now
	}
}

func (p *Policy) add(tokens float64) {
	p.tokens = min(p.tokens+tokens, p.limits.Burst)
}

// Package drain decides how a process shuts down: when it refuses new requests, when it closes its
// listeners, and when it ends. It has no clock.
package drain

import "time"

const (
	// acceptUnboundedFraction is the part of the grace period for which a draining process accepts requests
	// that it may not be able to finish, at most maxAcceptUnbounded: nearly all of them end within the
	// remaining time. The operators excuse those that do not if they were sent within 3 s of the signal.
	acceptUnboundedFraction = 0.3125
	maxAcceptUnbounded      = 2500 * time.Millisecond
)

// AcceptUnbounded returns the usual Plan.AcceptUnbounded for a grace period.
func AcceptUnbounded(grace time.Duration) time.Duration {
	return min(time.Duration(acceptUnboundedFraction*float64(grace)), maxAcceptUnbounded)
}

// Phase is a phase of the shutdown.
type Phase int

// The phases, in order.
const (
	// Serving: the process accepts new requests.
	Serving Phase = iota
	// Announced: the process is no longer advertised to new callers, but accepts requests from
	// callers that use an old list of addresses.
	Announced
	// Refusing: the process refuses new requests and finishes those in flight.
	Refusing
	// Ended: nothing is in flight, or the timeout has passed.
	Ended
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"serving", "announced", "refusing", "ended"}[p]
}

// Plan holds the durations of the phases.
type Plan struct {
	// Linger is how long callers may still use an old list of addresses.
	Linger time.Duration
	// Timeout is the time from the start of the drain after which the process ends even if requests
	// are in flight.
	Timeout time.Duration
	// AcceptUnbounded is the time from the start of the drain for which requests are accepted whose
	// deadline is beyond its end. Later ones may outlast the process.
	AcceptUnbounded time.Duration
	// QuietPeriod is the time without any request in flight after which a process that refuses new
	// requests ends; 0 ends it immediately.
	QuietPeriod time.Duration
}

// Progress is the state of the drain of one process. It is not safe for concurrent use.
type Progress struct {
	plan    Plan
	phase   Phase
	started time.Time
	// timeout is the longest Plan.Timeout since the start of the drain.
	timeout time.Duration
	// lastBusy is when Advance last found a request in flight.
	lastBusy time.Time
	// abortedRequests is the number of requests in flight when the drain ended.
	abortedRequests int
}

// New returns the state of a process in the phase Serving.
func New(plan Plan) *Progress { return &Progress{plan: plan} }

// SetPlan replaces the durations. A drain that has started does not end sooner by it, since requests were accepted
// that last until its end; those that follow must end within the new timeout.
func (m *Progress) SetPlan(plan Plan) {
	m.plan = plan
	m.timeout = max(m.timeout, plan.Timeout)
}

// Start begins the drain. A second call ends it immediately.
func (m *Progress) Start(now time.Time, inFlight int) Phase {
	if m.phase == Serving {
		m.phase = Announced
		m.started, m.timeout = now, m.plan.Timeout
		return m.Advance(now, inFlight)
	}
	return m.end(inFlight)
}

// Advance moves to the phase that results from the time and the number of requests in flight, and
// returns it.
func (m *Progress) Advance(now time.Time, inFlight int) Phase {
	if m.phase == Serving || m.phase == Ended {
		return m.phase
	}
	if inFlight > 0 {
		m.lastBusy = now
	}
	elapsed := now.Sub(m.started)
	if elapsed >= m.timeout {
		return m.end(inFlight)
	}
	if m.phase == Announced && elapsed >= m.plan.Linger {
		m.phase = Refusing
	}
	if m.phase == Refusing && inFlight == 0 && now.Sub(m.lastBusy) >= m.plan.QuietPeriod {
		m.phase = Ended
	}
	return m.phase
}

// Admits reports whether a request that has not been sent to a backend server may still be sent there. It must
// be answered by its deadline, so one whose deadline is within the drain is admitted in every phase but the
// last.
func (m *Progress) Admits(now, deadline time.Time) bool {
	switch {
	case m.phase == Serving:
		return true
	case m.phase == Ended:
		return false
	}
	return now.Sub(m.started) < m.plan.AcceptUnbounded || !deadline.After(m.started.Add(m.plan.Timeout))
}

// Phase returns the current phase.
func (m *Progress) Phase() Phase { return m.phase }

// AcceptsWork reports whether new requests are accepted.
func (m *Progress) AcceptsWork() bool { return m.phase <= Announced }

// Advertised reports whether the process is advertised to new callers.
func (m *Progress) Advertised() bool { return m.phase == Serving }

// AbortedRequests returns the number of requests in flight when the drain ended by its timeout or
// by a second Start.
func (m *Progress) AbortedRequests() int { return m.abortedRequests }

func (m *Progress) end(inFlight int) Phase {
	if m.phase != Ended {
		m.abortedRequests = inFlight
	}
	m.phase = Ended
	return m.phase
}

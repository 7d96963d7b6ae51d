// Package drain decides how a process leaves: when it refuses new work, when
// it closes its listeners, and when it ends. It has no clock of its own.
package drain

import "time"

// Phase is a stage of leaving.
type Phase int

// The phases, in order.
const (
	// Serving processes take new work.
	Serving Phase = iota
	// Announced processes are no longer named to new callers, and still take
	// work from callers that hold an old address answer.
	Announced
	// Refusing processes take no new work and finish what is in flight.
	Refusing
	// Ended processes have nothing in flight, or have met their bound.
	Ended
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"serving", "announced", "refusing", "ended"}[p]
}

// Plan bounds the phases.
type Plan struct {
	// Linger is how long callers may hold an old address answer.
	Linger time.Duration
	// Timeout ends the process whatever is in flight. It counts from the start
	// of the drain.
	Timeout time.Duration
	// QuietPeriod is how long nothing may have been in flight before a process that refuses new
	// work ends; 0 ends it at once.
	QuietPeriod time.Duration
}

// Progress is how far one process has come in leaving. It is not safe for concurrent use.
type Progress struct {
	plan    Plan
	phase   Phase
	started time.Time
	// busy is when something was last in flight.
	busy time.Time
	// cut is the number of requests in flight when the bound was met.
	cut int
}

// New returns the progress of a process that serves.
func New(plan Plan) *Progress { return &Progress{plan: plan} }

// SetPlan changes the bounds.
func (m *Progress) SetPlan(plan Plan) { m.plan = plan }

// Start begins the drain. A second call ends it at once.
func (m *Progress) Start(now time.Time, inFlight int) Phase {
	if m.phase == Serving {
		m.phase = Announced
		m.started = now
		return m.Advance(now, inFlight)
	}
	return m.end(inFlight)
}

// Advance moves to the phase that follows from the time and the number of
// requests in flight.
func (m *Progress) Advance(now time.Time, inFlight int) Phase {
	if m.phase == Serving || m.phase == Ended {
		return m.phase
	}
	if inFlight > 0 {
		m.busy = now
	}
	elapsed := now.Sub(m.started)
	if elapsed >= m.plan.Timeout {
		return m.end(inFlight)
	}
	if m.phase == Announced && elapsed >= m.plan.Linger {
		m.phase = Refusing
	}
	if m.phase == Refusing && inFlight == 0 && now.Sub(m.busy) >= m.plan.QuietPeriod {
		m.phase = Ended
	}
	return m.phase
}

// Phase returns the present phase.
func (m *Progress) Phase() Phase { return m.phase }

// AcceptsWork reports whether new work is taken.
func (m *Progress) AcceptsWork() bool { return m.phase <= Announced }

// Advertised reports whether the process is named to new callers.
func (m *Progress) Advertised() bool { return m.phase == Serving }

// AbortedRequests returns the number of requests that the bound cut off.
func (m *Progress) AbortedRequests() int { return m.cut }

func (m *Progress) end(inFlight int) Phase {
	if m.phase != Ended {
		m.cut = inFlight
	}
	m.phase = Ended
	return m.phase
}

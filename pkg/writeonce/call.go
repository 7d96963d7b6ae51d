package writeonce

import (
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	// maxAttempts limits the attempts in one round.
	maxAttempts = 4
	// maxRedirects limits how often one round follows a key to the agent that owns it.
	maxRedirects = 2
)

// Call is the state of one caller request under an idempotency key, at an entry. It decides where
// the next attempt goes and which outcome the caller receives. It is not safe for concurrent use.
type Call struct {
	Key Key
	// OnlyRequest is true if the caller has sent no other request under the key. Only then does a
	// refused attempt show that the key did not run.
	OnlyRequest bool

	attempts  int
	redirects int
	target    ident.Incarnation
	// uncertain lists the agents that may have executed the call or may still execute it.
	uncertain []ident.Incarnation
	// redirected is true once an attempt was sent on to the owner of the key.
	redirected bool
}

// NewCall returns a call for which no attempt has been sent.
func NewCall(key Key, onlyRequest bool) *Call {
	return &Call{Key: key, OnlyRequest: onlyRequest, target: key.owner}
}

// StartRound resets the limits on attempts and redirects for a new round.
func (c *Call) StartRound() { c.attempts, c.redirects = 0, 0 }

// KnownNotRun reports whether, after an attempt that failed with p, it is certain that no attempt
// of this call was executed or still can be.
func (c *Call) KnownNotRun(p *problem.Error) bool {
	return p.Outcome == problem.NotRun && !c.redirected && len(c.uncertain) == 0
}

// Target returns the agent that the next attempt must go to, or an empty incarnation if any agent
// of the key's pool may serve it.
func (c *Call) Target() ident.Incarnation { return c.target }

// UncertainAgents lists the agents that may have executed the call or may still execute it. The
// entry asks them to refuse the key before it calls FinalError.
func (c *Call) UncertainAgents() []ident.Incarnation { return c.uncertain }

// RecordFailure records a failed attempt at an agent and reports whether to retry. owner is set
// if the failure names the agent that owns the key.
func (c *Call) RecordFailure(agent ident.Incarnation, p *problem.Error, owner ident.Incarnation) (retry bool) {
	c.attempts++
	if KeyNeverRuns(p) || p.Outcome == problem.Ran || c.attempts >= maxAttempts {
		c.markUncertain(agent, p)
		return false
	}
	if p.Kind == problem.OwnerElsewhere && owner != "" {
		c.redirects++
		c.target = owner
		c.redirected = true
		return c.redirects <= maxRedirects
	}
	c.markUncertain(agent, p)
	switch {
	case p.Kind == problem.LogUnavailable, p.Kind == problem.LogRegressed, p.Kind == problem.BadRequest:
		return false
	case p.Outcome == problem.NotRun:
		return c.target == ""
	case p.Kind == problem.WrongIncarnation, p.Kind == problem.AnswerLost, p.Kind == problem.DeadlineExceeded, p.Kind == problem.CallerGone:
		return false
	}
	return true
}

func (c *Call) markUncertain(agent ident.Incarnation, p *problem.Error) {
	if p.Outcome != problem.NotRun {
		c.uncertain = append(c.uncertain, agent)
	}
}

// UnreachableError returns the failure of an attempt whose target could not be reached. replaced
// is true if the target's process is known to have been replaced by another incarnation.
func (c *Call) UnreachableError(replaced bool) *problem.Error {
	if replaced {
		return wrongIncarnation(c.Key, c.target)
	}
	return problem.New(problem.BackendUnreachable, remedySameKey, "agent %s, which owns the key, cannot be reached", c.target).
		WithOutcome(problem.NotKnown).WithRetryAfter(defaultRetryAfter)
}

// FinalError returns the error for the caller. Its outcome is that of the key, not only of the
// last attempt. certificates come from the agents in UncertainAgents; an agent that could not be
// reached has none.
func (c *Call) FinalError(p *problem.Error, certificates []Certificate) *problem.Error {
	if KeyNeverRuns(p) || p.Outcome == problem.Ran {
		return p
	}
	refusals := 0
	for _, cert := range certificates {
		if cert.Reused {
			return keyReused(c.Key)
		}
		if cert.Outcome == problem.Ran {
			return answerNotKept(c.Key)
		}
		if cert.Outcome == problem.NotRun && cert.ForAllAgents {
			return refusedForEver(c.Key)
		}
		if cert.Outcome == problem.NotRun {
			refusals++
		}
	}
	if c.OnlyRequest && !c.redirected && refusals == len(c.uncertain) {
		return p.WithOutcome(problem.NotRun)
	}
	return p.WithOutcome(problem.NotKnown)
}

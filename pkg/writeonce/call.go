package writeonce

import (
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	maxSends   = 4
	maxFollows = 2
)

// Call is one request of a caller under a key, at an entry. It decides where
// the next try goes and what the caller is told. It is not safe for concurrent
// use.
type Call struct {
	Key Key
	// OnlyRequest is true where the caller has sent no other request under the
	// key. A try that was refused then speaks for the key.
	OnlyRequest bool

	sends   int
	follows int
	target  ident.Incarnation
	// doubt lists the agents that may have got the call.
	doubt  []ident.Incarnation
	unsure bool
}

// NewCall returns a call that has not been sent.
func NewCall(key Key, onlyTry bool) *Call {
	return &Call{Key: key, OnlyRequest: onlyTry, target: key.owner}
}

// StartRound starts a round of tries.
func (c *Call) StartRound() { c.sends, c.follows = 0, 0 }

// Unsent reports whether, after a try that failed with p, certainly no agent
// holds the call.
func (c *Call) Unsent(p *problem.Error) bool {
	return p.Outcome == problem.NotRun && !c.unsure && len(c.doubt) == 0
}

// Target returns the agent that the next try must go to, or empty where any
// agent of the key's pool may take it.
func (c *Call) Target() ident.Incarnation { return c.target }

// UncertainAgents lists the agents that may still run the call. They are asked to refuse
// it before Settle.
func (c *Call) UncertainAgents() []ident.Incarnation { return c.doubt }

// RecordFailure takes the failure of a try at an agent and reports whether another
// try follows. owner is set where the failure names the key's owner.
func (c *Call) RecordFailure(agent ident.Incarnation, p *problem.Error, owner ident.Incarnation) (again bool) {
	c.sends++
	if KeyNeverRuns(p) || p.Outcome == problem.Ran || c.sends >= maxSends {
		c.note(agent, p)
		return false
	}
	if p.Kind == problem.OwnerElsewhere && owner != "" {
		c.follows++
		c.target = owner
		c.unsure = true
		return c.follows <= maxFollows
	}
	c.note(agent, p)
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

func (c *Call) note(agent ident.Incarnation, p *problem.Error) {
	if p.Outcome != problem.NotRun {
		c.doubt = append(c.doubt, agent)
	}
}

// UnreachableError returns the failure of a try whose target cannot be asked. dead
// is true where the target's process is known to have been replaced.
func (c *Call) UnreachableError(dead bool) *problem.Error {
	if dead {
		return wrongIncarnation(c.Key, c.target)
	}
	return problem.New(problem.BackendUnreachable, sameKey, "agent %s, which the key belongs to, cannot be reached", c.target).
		WithOutcome(problem.NotKnown).WithRetryAfter(retryPause)
}

// FinalError returns what the caller is told: the outcome of the key, not only of
// the last try. certificates are those of the agents in Doubt; an agent that
// could not be asked has none.
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
	if c.OnlyRequest && !c.unsure && refusals == len(c.doubt) {
		return p.WithOutcome(problem.NotRun)
	}
	return p.WithOutcome(problem.NotKnown)
}

package agent

import (
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/shard"
)

// attemptState is what the agent remembers of one attempt.
type attemptState int

const (
	attemptRefused attemptState = iota + 1
	attemptRunning
	attemptRan
)

// attempts remembers every attempt, so that a refused one stays refused.
type attempts struct {
	states *shard.Map[ident.AttemptID, attemptState]
}

func newAttempts() *attempts {
	return &attempts{states: shard.NewMap[ident.AttemptID, attemptState]()}
}

// begin admits an attempt that has never been seen. The error has the kind
// RefusedForEver.
func (a *attempts) begin(id ident.AttemptID) error {
	admitted := false
	a.states.Update(id, func(old attemptState, found bool) (attemptState, bool) {
		if found {
			return old, true
		}
		admitted = true
		return attemptRunning, true
	})
	if admitted {
		return nil
	}
	return problem.New(problem.RefusedForEver, "send the request again as a new attempt",
		"attempt %s was refused or has been sent already", id).WithOutcome(problem.NotKnown)
}

// withdraw refuses for ever an attempt that was begun and not sent.
func (a *attempts) withdraw(id ident.AttemptID) { a.states.Set(id, attemptRefused) }

// finish notes that the attempt has run.
func (a *attempts) finish(id ident.AttemptID) { a.states.Set(id, attemptRan) }

// refuse makes the agent refuse the attempt for ever and returns its outcome.
func (a *attempts) refuse(id ident.AttemptID) problem.Outcome {
	outcome := problem.NotRun
	a.states.Update(id, func(old attemptState, found bool) (attemptState, bool) {
		switch {
		case !found, old == attemptRefused:
			return attemptRefused, true
		case old == attemptRan:
			outcome = problem.Ran
		default:
			outcome = problem.NotKnown
		}
		return old, true
	})
	return outcome
}

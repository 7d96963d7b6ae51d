package writeonce

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	remedyLookUp      = "check at the service whether the action was carried out; if not, send it under a new key"
	remedyNewKey      = "send the action again under a new key"
	remedySameKey     = "send the same call again under the same key"
	defaultRetryAfter = time.Second
	// coverageRetryAfter exceeds MaxClockLead, because a stream covers only keys created at least
	// that long after its first record.
	coverageRetryAfter = MaxClockLead + time.Second
)

func wrongIncarnation(k Key, owner ident.Incarnation) *problem.Error {
	return problem.New(problem.WrongIncarnation, remedyLookUp,
		"key %s belongs to incarnation %s, which is no longer running", k, owner).WithOutcome(problem.NotKnown)
}

func keyReused(k Key) *problem.Error {
	return problem.New(problem.KeyReused, remedyNewKey,
		"key %s belongs to a call with another method, path or body", k).WithOutcome(problem.NotRun)
}

func keyExpired(k Key, outcome problem.Outcome) *problem.Error {
	remedy := remedyLookUp
	if outcome == problem.NotRun {
		remedy = remedyNewKey
	}
	return problem.New(problem.KeyExpired, remedy, "key %s is older than %v", k, KeyLifetime).WithOutcome(outcome)
}

func refusedForEver(k Key) *problem.Error {
	return problem.New(problem.RefusedForEver, remedyNewKey, "key %s was refused and will never run", k).WithOutcome(problem.NotRun)
}

func answerLost(k Key) *problem.Error {
	return problem.New(problem.AnswerLost, remedyLookUp,
		"the call of key %s was sent to the backend server and its answer was lost", k).WithOutcome(problem.NotKnown)
}

func answerNotKept(k Key) *problem.Error {
	return problem.New(problem.AnswerNotKept, "look up the result at the service; the action was carried out",
		"the call of key %s ran and its answer is no longer kept", k).WithOutcome(problem.Ran)
}

func notCovered(k Key) *problem.Error {
	return problem.New(problem.LogRegressed, "use a permit, or a newly created key",
		"the claims from the time when key %s was created cannot be read", k).WithOutcome(problem.NotRun).WithRetryAfter(coverageRetryAfter)
}

func ownerElsewhere(k Key, agent ident.Incarnation) *problem.Error {
	return problem.New(problem.OwnerElsewhere, remedySameKey, "key %s belongs to %s", k, agent).WithOutcome(problem.NotKnown)
}

func notAccepting() *problem.Error {
	return problem.New(problem.Unavailable, remedySameKey, "this agent accepts no new work for the route").
		WithOutcome(problem.NotRun).WithRetryAfter(defaultRetryAfter)
}

func overloaded() *problem.Error {
	return problem.New(problem.Overloaded, "retry later", "this agent has reached its limit of remembered keys or running calls").
		WithOutcome(problem.NotRun)
}

// logUnavailable has the outcome NotRun for this attempt only: this agent does not execute the
// key, but another agent may.
func logUnavailable() *problem.Error {
	return problem.New(problem.LogUnavailable, "retry later, or use a permit",
		"the log service does not accept claims").WithOutcome(problem.NotRun).WithRetryAfter(logRetryAfter)
}

// clockAhead refuses a dated key whose claim the log accepted before the time in the key.
func clockAhead(k Key) *problem.Error {
	return problem.New(problem.BadRequest, "set the clock of the caller, or use a permit",
		"key %s was created more than %v ahead of the log's clock", k, MaxClockLead).WithOutcome(problem.NotRun)
}

// KeyNeverRuns reports whether p certifies that the key, and not just one attempt, never runs.
func KeyNeverRuns(p *problem.Error) bool {
	switch p.Kind {
	case problem.RefusedForEver, problem.KeyUndated, problem.KeyReused, problem.KeyExpired:
		return p.Outcome == problem.NotRun
	}
	return false
}

package writeonce

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	lookUp      = "look the action up at the service; if it is not there, send it under a new key"
	newKey      = "send the action again under a new key"
	sameKey     = "send the same call again under the same key"
	retryPause  = time.Second
	coverageGap = MaxClockLead + time.Second
)

func wrongIncarnation(k Key, owner ident.Incarnation) *problem.Error {
	return problem.New(problem.WrongIncarnation, lookUp,
		"key %s belongs to %s, which no longer runs", k, owner).WithOutcome(problem.NotKnown)
}

func keyReused(k Key) *problem.Error {
	return problem.New(problem.KeyReused, newKey,
		"key %s belongs to a call with another method, path or body", k).WithOutcome(problem.NotRun)
}

func keyExpired(k Key, outcome problem.Outcome) *problem.Error {
	remedy := lookUp
	if outcome == problem.NotRun {
		remedy = newKey
	}
	return problem.New(problem.KeyExpired, remedy, "key %s is older than %v", k, KeyLifetime).WithOutcome(outcome)
}

func refusedForEver(k Key) *problem.Error {
	return problem.New(problem.RefusedForEver, newKey, "key %s was refused and never runs", k).WithOutcome(problem.NotRun)
}

func outcomeLost(k Key) *problem.Error {
	return problem.New(problem.AnswerLost, lookUp,
		"the call of key %s was sent once and its answer was lost", k).WithOutcome(problem.NotKnown)
}

func answerNotKept(k Key) *problem.Error {
	return problem.New(problem.AnswerNotKept, "look the action up at the service; it ran",
		"the call of key %s ran and its answer is no longer kept", k).WithOutcome(problem.Ran)
}

func notCovered(k Key) *problem.Error {
	return problem.New(problem.LogRegressed, "use a permit, or a key made from now on",
		"the claims made when key %s was made cannot be read", k).WithOutcome(problem.NotRun).WithRetryAfter(coverageGap)
}

func ownerElsewhere(k Key, agent ident.Incarnation) *problem.Error {
	return problem.New(problem.OwnerElsewhere, sameKey, "key %s belongs to %s", k, agent).WithOutcome(problem.NotKnown)
}

func notAccepting() *problem.Error {
	return problem.New(problem.Unavailable, sameKey, "this agent takes no new work for the route").
		WithOutcome(problem.NotRun).WithRetryAfter(retryPause)
}

func overloaded() *problem.Error {
	return problem.New(problem.Overloaded, "come back later", "this agent remembers or runs as many calls as it may").
		WithOutcome(problem.NotRun)
}

// logDown is about this agent: it does not run the key for this try.
func logDown() *problem.Error {
	return problem.New(problem.LogUnavailable, "come back later, or use a permit",
		"the log service does not take claims").WithOutcome(problem.NotRun).WithRetryAfter(logRetryAfter)
}

// clockAhead refuses a dated key whose claim the log took before the time in
// the key.
func clockAhead(k Key) *problem.Error {
	return problem.New(problem.BadRequest, "set the clock of the caller, or use a permit",
		"key %s was made more than %v ahead of the log's clock", k, MaxClockLead).WithOutcome(problem.NotRun)
}

// KeyNeverRuns reports whether the problem says of the key, not just of one
// try, that it never runs.
func KeyNeverRuns(p *problem.Error) bool {
	switch p.Kind {
	case problem.RefusedForEver, problem.KeyUndated, problem.KeyReused, problem.KeyExpired:
		return p.Outcome == problem.NotRun
	}
	return false
}

package agent

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/shard"
)

const (
	// attemptHorizon limits the difference between the time in an attempt's id and this
	// instance's clock. It allows for clock skew between instances.
	attemptHorizon = 10 * time.Minute
	evictInterval  = 10 * time.Second
)

// attemptSet remembers every attempt that was started or refused within attemptHorizon, so that
// none starts twice. An older attempt is refused by the time in its id. The clock that it uses
// never runs backwards: it is the start time plus the monotonic time elapsed since.
type attemptSet struct {
	seen    *shard.Map[ident.AttemptID, struct{}]
	started time.Time
}

func newAttemptSet(started time.Time) *attemptSet {
	return &attemptSet{seen: shard.NewMap[ident.AttemptID, struct{}](), started: started}
}

// admit admits an attempt that has not been seen before. elapsed is the time since the start. The
// error has the kind RefusedForEver.
func (a *attemptSet) admit(elapsed time.Duration, id ident.AttemptID) error {
	if !a.withinHorizon(elapsed, id) {
		return problem.New(problem.RefusedForEver, "set the clocks of the instances, and send the request again as a new attempt",
			"the time of attempt %s is more than %v from this instance's clock", id, attemptHorizon).WithOutcome(problem.NotKnown)
	}
	admitted := a.add(id)
	if admitted {
		return nil
	}
	return problem.New(problem.RefusedForEver, "send the request again as a new attempt",
		"attempt %s was refused or has been sent already", id).WithOutcome(problem.NotKnown)
}

// refuse makes the agent refuse the attempt permanently unless it has already started.
func (a *attemptSet) refuse(id ident.AttemptID) { a.add(id) }

// add adds the attempt and reports whether it was new.
func (a *attemptSet) add(id ident.AttemptID) bool {
	added := false
	a.seen.Update(id, func(_ struct{}, found bool) (struct{}, bool) {
		added = !found
		return struct{}{}, true
	})
	return added
}

// evictExpired removes the attempts that are refused by the time in their id from now on.
func (a *attemptSet) evictExpired(elapsed time.Duration) {
	var old []ident.AttemptID
	a.seen.Range(func(id ident.AttemptID, _ struct{}) bool {
		if a.expired(elapsed, id) {
			old = append(old, id)
		}
		return true
	})
	for _, id := range old {
		a.seen.Delete(id)
	}
}

func (a *attemptSet) withinHorizon(elapsed time.Duration, id ident.AttemptID) bool {
	created, err := ident.KeyTime(string(id))
	return err == nil && !a.expired(elapsed, id) && created.Before(a.started.Add(elapsed+attemptHorizon))
}

func (a *attemptSet) expired(elapsed time.Duration, id ident.AttemptID) bool {
	created, err := ident.KeyTime(string(id))
	return err != nil || created.Before(a.started.Add(elapsed-attemptHorizon))
}

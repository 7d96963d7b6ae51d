package agent

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/shard"
)

const (
	// attemptHorizon bounds the age of an attempt at its arrival. It covers the
	// difference of two instances' clocks.
	attemptHorizon = 10 * time.Minute
	forgetInterval = 10 * time.Second
)

// attempts remembers every attempt that began or was refused and is younger
// than attemptHorizon, so that none begins twice. An older one is refused by the time in its
// id. The clock never goes back: it is the time of the start and what has
// passed since.
type attempts struct {
	seen    *shard.Map[ident.AttemptID, struct{}]
	started time.Time
}

func newAttempts(started time.Time) *attempts {
	return &attempts{seen: shard.NewMap[ident.AttemptID, struct{}](), started: started}
}

// begin admits an attempt that has never been seen. elapsed is the time since
// the start. The error has the kind RefusedForEver.
func (a *attempts) begin(elapsed time.Duration, id ident.AttemptID) error {
	if !a.timely(elapsed, id) {
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

// refuse makes the agent refuse the attempt for ever unless it has begun.
func (a *attempts) refuse(id ident.AttemptID) { a.add(id) }

// add remembers the attempt and reports whether it was new.
func (a *attempts) add(id ident.AttemptID) bool {
	added := false
	a.seen.Update(id, func(_ struct{}, found bool) (struct{}, bool) {
		added = !found
		return struct{}{}, true
	})
	return added
}

// forget drops what the time in its id refuses from now on.
func (a *attempts) forget(elapsed time.Duration) {
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

func (a *attempts) timely(elapsed time.Duration, id ident.AttemptID) bool {
	made, err := ident.KeyTime(string(id))
	return err == nil && !a.expired(elapsed, id) && made.Before(a.started.Add(elapsed+attemptHorizon))
}

func (a *attempts) expired(elapsed time.Duration, id ident.AttemptID) bool {
	made, err := ident.KeyTime(string(id))
	return err != nil || made.Before(a.started.Add(elapsed-attemptHorizon))
}

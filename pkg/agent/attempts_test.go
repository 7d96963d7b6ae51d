package agent

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// attemptCreatedAt returns an attempt id with the given creation time.
func attemptCreatedAt(at time.Time) ident.AttemptID {
	id := uuid.Must(uuid.NewV7())
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	return ident.AttemptID(id.String())
}

// The set of remembered attempts must stay bounded, and an attempt must not start twice, not even
// after it was evicted from the set.
func TestEvictedAttemptsStayRefused(t *testing.T) {
	started := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	a := newAttemptSet(started)
	const perMinute, minutes = 60, 60
	var all []ident.AttemptID
	largest := 0
	for i := range perMinute * minutes {
		elapsed := time.Duration(i) * time.Minute / perMinute
		id := attemptCreatedAt(started.Add(elapsed))
		if i%2 == 0 {
			a.refuse(id)
		} else if err := a.admit(elapsed, id); err != nil {
			t.Fatal(err)
		}
		all = append(all, id)
		a.evictExpired(elapsed)
		largest = max(largest, a.seen.Len())
	}
	if bound := int(attemptHorizon/time.Minute)*perMinute + 1; largest > bound {
		t.Errorf("%d attempts remembered, limit %d", largest, bound)
	}
	for _, id := range all {
		if a.admit(minutes*time.Minute, id) == nil {
			t.Fatalf("attempt %s was admitted although it had been refused or started", id)
		}
	}
	if a.admit(0, attemptCreatedAt(started.Add(attemptHorizon+time.Second))) == nil || a.admit(0, "x") == nil {
		t.Error("an attempt more than attemptHorizon in the future, or without a time, was admitted")
	}
}

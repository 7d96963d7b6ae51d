package agent

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// attemptMadeAt returns the id of an attempt made at a time.
func attemptMadeAt(at time.Time) ident.AttemptID {
	id := uuid.Must(uuid.NewV7())
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	return ident.AttemptID(id.String())
}

// TestAttemptsAreForgottenAndStayRefused shows that the memory of attempts is
// bounded and that none begins twice, remembered or not.
func TestAttemptsAreForgottenAndStayRefused(t *testing.T) {
	started := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	a := newAttempts(started)
	const perMinute, minutes = 60, 60
	var all []ident.AttemptID
	largest := 0
	for i := range perMinute * minutes {
		elapsed := time.Duration(i) * time.Minute / perMinute
		id := attemptMadeAt(started.Add(elapsed))
		if i%2 == 0 {
			a.refuse(id)
		} else if err := a.begin(elapsed, id); err != nil {
			t.Fatal(err)
		}
		all = append(all, id)
		a.forget(elapsed)
		largest = max(largest, a.seen.Len())
	}
	if bound := int(attemptHorizon/time.Minute)*perMinute + 1; largest > bound {
		t.Errorf("%d attempts remembered, bound %d", largest, bound)
	}
	for _, id := range all {
		if a.begin(minutes*time.Minute, id) == nil {
			t.Fatalf("attempt %s began twice", id)
		}
	}
	if a.begin(0, attemptMadeAt(started.Add(attemptHorizon+time.Second))) == nil || a.begin(0, "x") == nil {
		t.Error("an attempt from the future, or without a time, began")
	}
}

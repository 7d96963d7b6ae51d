// Package ident makes the identifiers that are never used twice.
package ident

import (
	"time"

	"github.com/google/uuid"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// AttemptID identifies one try of one request at one replica.
type AttemptID string

// Incarnation identifies one life of a process: its name and a unique part
// that changes with every start.
type Incarnation string

// EditID identifies one edit of the configuration tables.
type EditID string

// NewAttemptID returns an AttemptID that has never been used.
func NewAttemptID() AttemptID {
	return AttemptID(newV7())
}

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation(name string) Incarnation {
	return Incarnation(name + "@" + newV7())
}

// NewEditID returns an EditID that has never been used.
func NewEditID() EditID {
	return EditID(newV7())
}

// NewKey returns an idempotency key that carries the present time.
func NewKey() string {
	return newV7()
}

// KeyTime returns the time that an idempotency key of the form UUID version 7
// carries. The error kind is KeyUndated for every other form.
func KeyTime(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, problem.New(problem.KeyUndated,
			"send a UUID version 7 as Idempotency-Key, made once for all tries of the request",
			"the idempotency key %q does not carry the time it was made", key)
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}

func newV7() string {
	return uuid.Must(uuid.NewV7()).String()
}

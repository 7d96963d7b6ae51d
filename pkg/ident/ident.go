// Package ident generates globally unique identifiers.
package ident

import (
	"time"

	"github.com/google/uuid"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// AttemptID identifies one attempt to execute a request at one replica.
type AttemptID string

// Incarnation identifies one run of a process. It consists of the name of the process and a unique
// part that changes with every start.
type Incarnation string

// EditID identifies one edit of the configuration tables.
type EditID string

// NewAttemptID returns a new AttemptID.
func NewAttemptID() AttemptID {
	return AttemptID(newV7())
}

// NewIncarnation returns a new Incarnation of the process with the name.
func NewIncarnation(name string) Incarnation {
	return Incarnation(name + "@" + newV7())
}

// NewEditID returns a new EditID.
func NewEditID() EditID {
	return EditID(newV7())
}

// NewKey returns a new idempotency key that contains the current time.
func NewKey() string {
	return newV7()
}

// KeyTime returns the creation time that an idempotency key contains. The key must be a UUID of
// version 7; for any other form the error has the kind KeyUndated.
func KeyTime(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, problem.New(problem.KeyUndated,
			"send a UUID version 7 as Idempotency-Key, generated once and reused for all retries of the request",
			"the idempotency key %q contains no creation time", key)
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}

func newV7() string {
	return uuid.Must(uuid.NewV7()).String()
}

// Package problem defines the typed errors of fescuehub. Every error that can reach a caller or
// an operator has a kind, a remedy and, if it belongs to a request, the request's outcome.
package problem

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is a class of failure. Its text is part of the public interface.
type Kind string

// The kinds of failure.
const (
	BadRequest          Kind = "bad-request"
	BadSettings         Kind = "bad-settings"
	TooLarge            Kind = "too-large"
	UnknownRoute        Kind = "unknown-route"
	MissingPool         Kind = "missing-pool"
	UnknownOrganisation Kind = "unknown-organisation"
	Overloaded          Kind = "overloaded"
	NoReplica           Kind = "no-replica"
	Draining            Kind = "draining"
	WrongIncarnation    Kind = "wrong-incarnation"
	BackendUnreachable  Kind = "backend-unreachable"
	TruncatedAnswer     Kind = "truncated-answer"
	MalformedAnswer     Kind = "malformed-answer"
	CallerGone          Kind = "caller-gone"
	BrokenFrame         Kind = "broken-frame"
	DeadlineExceeded    Kind = "deadline-exceeded"
	KeyReused           Kind = "key-reused"
	KeyExpired          Kind = "key-expired"
	KeyUndated          Kind = "key-undated"
	AnswerNotKept       Kind = "answer-not-kept"
	AnswerLost          Kind = "answer-lost"
	NotCertified        Kind = "not-certified"
	RefusedForEver      Kind = "refused-for-ever"
	OwnerElsewhere      Kind = "owner-elsewhere"
	Unavailable         Kind = "unavailable"
	LogUnavailable      Kind = "log-unavailable"
	LogRegressed        Kind = "log-regressed"
	EditConflict        Kind = "edit-conflict"
	BadTables           Kind = "bad-tables"
	NewerRecord         Kind = "newer-record"
	FencedOff           Kind = "fenced-off"
	Internal            Kind = "internal"
)

// Outcome states whether a request was executed, as far as is known.
type Outcome string

// The three outcomes of a request.
const (
	// Ran means that the backend server executed the request.
	Ran Outcome = "ran"
	// NotRun means that the request was not executed and never will be.
	NotRun Outcome = "not-run"
	// NotKnown means that the request may or may not have been executed.
	NotKnown Outcome = "not-known"
)

// Error is a failure with a kind, an outcome and a remedy.
type Error struct {
	Kind       Kind          `json:"kind"`
	Detail     string        `json:"detail"`
	Remedy     string        `json:"remedy"`
	Outcome    Outcome       `json:"outcome,omitempty"`
	RetryAfter time.Duration `json:"retryAfterNanos,omitempty"`
}

// New returns an Error of the given kind.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Error implements the error interface. The text ends with the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (remedy: %s)", e.Kind, e.Detail, e.Remedy)
}

// WithOutcome returns a copy of e with the outcome set.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller how long to wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the Error in err's chain. An err without one is converted to an Error of kind
// Internal, so that every failure has a kind and a remedy.
func Of(err error) *Error {
	var p *Error
	if errors.As(err, &p) {
		return p
	}
	return New(Internal, "report this with the log of the process", "%v", err)
}

// Is reports whether err's chain holds an Error of the given kind.
func Is(err error, kind Kind) bool {
	var p *Error
	return errors.As(err, &p) && p.Kind == kind
}

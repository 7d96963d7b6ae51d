// Package writeonce decides about unrepeatable calls: which agent may run the
// call of an idempotency key, what it remembers, and what a caller is told. It
// has no clock, socket, goroutine or random source of its own.
//
// Two kinds of key exist. A permit names the agent incarnation that issued it:
// only that incarnation may run its call, and no other process has to be
// asked. A dated key (UUID version 7) is made by the caller: the agent that
// gets the call appends a claim to the platform's log and runs it only if the
// first valid claim of the key in the stream is its own. Streams belong to
// routes, so that a route may be moved to another pool; a dated key is scoped
// to its route.
//
// Safety rests on no clock but the log's: a claim counts only if the log's own
// time of its record is within Window of the time in the key.
package writeonce

import "time"

const (
	// KeyLifetime is how long a key may be used, counted from its issue.
	KeyLifetime = 15 * time.Minute
	// KeyRetention is how long an agent remembers a key, counted from its issue.
	KeyRetention = 2 * KeyLifetime
	// MaxClockLead is how far the clock of a caller may be ahead of the log's.
	MaxClockLead = 2 * time.Second
	// Partitions is the number of claim streams of a route.
	Partitions = 8
	// MaxKeptAnswerBytes bounds an answer that is kept for later tries.
	MaxKeptAnswerBytes = 64 << 10
	// MaxKeptBytes bounds the answers that one ledger keeps. The oldest are
	// dropped first; their keys are remembered as having run.
	MaxKeptBytes = 256 << 10
)

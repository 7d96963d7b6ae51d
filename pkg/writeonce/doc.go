// Package writeonce runs each unrepeatable call at most once. It decides which agent may execute
// the call of an idempotency key, how long the agent remembers the key, and which outcome the
// caller receives. It has no clock, socket, goroutine or random source of its own.
//
// There are two kinds of key. A permit names the agent incarnation that issued it: only that
// incarnation may execute the call, so no other process has to be consulted. A dated key
// (UUID version 7) is created by the caller: the agent that receives the call appends a claim to
// the platform's log and executes the call only if the first valid claim of the key in the stream
// is its own. A dated key is scoped to its route. Claim streams belong to routes, not to pools, so
// that a route can be moved to another pool.
//
// Safety depends on no clock other than the log's: a claim is valid only if the log's timestamp of
// its record is within KeyLifetime of the time in the key.
package writeonce

import "time"

const (
	// KeyLifetime is how long a key can be used, counted from its creation or issue.
	KeyLifetime = 15 * time.Minute
	// KeyRetention is how long an agent remembers a key, counted from its creation or issue.
	KeyRetention = 2 * KeyLifetime
	// MaxClockLead is how far the clock of a caller may be ahead of the log's clock.
	MaxClockLead = 2 * time.Second
	// Partitions is the number of claim streams per route.
	Partitions = 8
	// MaxKeptAnswerBytes limits the size of an answer that is kept for later attempts.
	MaxKeptAnswerBytes = 64 << 10
	// MaxKeptBytes limits the total size of the answers that one ledger keeps. The oldest answers
	// are dropped first; their keys stay recorded as executed.
	MaxKeptBytes = 256 << 10
)

// Package sharedlog is the product's view of the log that a deployment's
// processes and its operators share. What must last lives there.
package sharedlog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Topic names a keyed part of the log. The newest record of each key is kept.
type Topic int

// The topics.
const (
	// Operators holds what the operators have accepted.
	Operators Topic = iota
	// Servers holds the announcements of the backend servers by their ID.
	Servers
	// Entries holds the addresses of the entries by their name.
	Entries
)

// String returns the topic's name for logs.
func (t Topic) String() string { return [...]string{"operators", "servers", "entries"}[t] }

// Record is one record of a topic. An empty Value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is a part of the newest records. Pages are no snapshot: read on from the
// End of the first page.
type Page struct {
	Records []Record
	// After continues with the next page; empty where there is none.
	After string
	End   int64
}

// Batch is what a read returned.
type Batch struct {
	Records []Record
	// Next is the offset to read from next.
	Next int64
}

// ErrExpired means that the records asked for are no longer kept.
var ErrExpired = errors.New("the records asked for are no longer kept; start from the newest records")

// RefusedError is an answer that says that nothing was done.
type RefusedError struct{ Status int }

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return "the log refused the call; it is tried again later"
}

// Ownership is the answer to a member of an election.
type Ownership struct {
	// Generation rises with each change of owner.
	Generation int64
	Owner      bool
}

// Log is the shared log. Calls return when ctx ends at the latest; an error
// other than a RefusedError leaves open whether a write was done.
type Log interface {
	// Newest returns the newest record of each key after a key.
	Newest(ctx context.Context, topic Topic, after string) (Page, error)
	// Read returns records from an offset and waits for one for up to wait.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Batch, error)
	// Put writes the record of a key.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// Elect joins an election or keeps the member in it. One member owns it
	// until it has sent nothing for ttl.
	Elect(ctx context.Context, election, member string, ttl time.Duration, generation int64) (Ownership, error)
	// Resign leaves an election.
	Resign(ctx context.Context, election, member string) error
}

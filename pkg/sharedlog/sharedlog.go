// Package sharedlog defines the interface of the log that the processes of a
// deployment and its operators share. The log is the durable store of the
// deployment.
package sharedlog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Topic identifies a keyed part of the log, which retains the newest record of
// each key.
type Topic int

// The topics.
const (
	// Operators holds the configurations that the operators have accepted.
	Operators Topic = iota
	// Servers holds the announcements of the backend servers, keyed by ID.
	Servers
	// Entries holds the addresses of the entries, keyed by name.
	Entries
)

// String returns the topic's name for logs.
func (t Topic) String() string { return [...]string{"operators", "servers", "entries"}[t] }

// Record is one record of a topic. An empty Value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Timeline numbers the histories of the log. A restore of the log from an earlier copy starts a new
// timeline, which is higher than all earlier ones: records after the copy are gone, and their offsets
// and the generations of elections are assigned again. 0 means that the log states no timeline.
type Timeline int64

// Answer is the part of an answer that tells its timeline.
type Answer struct {
	// StatedTimeline is the timeline as the log states it; empty if it states none.
	StatedTimeline string
	// Timeline is set by Guard.
	Timeline Timeline
}

// Position is a position in a topic.
type Position struct {
	Timeline Timeline
	// Next is the offset to read from next.
	Next int64
}

// After reports whether the position is later than another one. A position of a higher timeline is
// later than every position of a lower one.
func (p Position) After(other Position) bool {
	if p.Timeline != other.Timeline {
		return p.Timeline > other.Timeline
	}
	return p.Next > other.Next
}

// Page is one page of the newest records. The pages together are not a
// consistent snapshot: continue reading from the End of the first page.
type Page struct {
	Answer
	Records []Record
	// After is the argument for the next page; empty on the last page.
	After string
	// End is the end of the topic when the page was read.
	End int64
}

// Batch is the result of a read.
type Batch struct {
	Answer
	Records []Record
	// Next is the offset to read from next.
	Next int64
	// End is the end of the topic when it was read.
	End int64
}

// ErrExpired means that the requested records are no longer retained.
var ErrExpired = errors.New("the requested records are no longer retained; start from the newest records")

// RefusedError means that the log refused a call and did nothing. Status is the
// HTTP status of the response.
type RefusedError struct{ Status int }

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return "the log refused the call and did nothing; retry the call later"
}

// Ownership is the result of Elect.
type Ownership struct {
	Answer
	// Generation increases with each change of owner.
	Generation int64
	// Owner is true if the member owns the election.
	Owner bool
}

// Log is a client of the shared log. Calls return at the latest when ctx ends.
// After an error other than a RefusedError it is not known whether a write took
// effect.
type Log interface {
	// Newest returns a page of the newest records of the keys after a key.
	Newest(ctx context.Context, topic Topic, after string) (Page, error)
	// Read returns the records from an offset. If there are none it waits for one
	// for up to wait. The error is ErrExpired if they are no longer retained.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Batch, error)
	// Put writes the record of a key.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// Elect joins an election or renews the membership. One member owns the
	// election until it has not renewed for ttl. last is the last Ownership that the
	// member received in the current timeline; its zero value if it has received none.
	Elect(ctx context.Context, election, member string, ttl time.Duration, last Ownership) (Ownership, error)
	// Resign leaves an election.
	Resign(ctx context.Context, election, member string) error
}

// Package configread is the state machine by which a process obtains the
// configuration in force and keeps it up to date. It decides what to read next
// from the log and from peers, applies the responses, and reports whether the
// process may serve. It does no I/O and has no clock; times are passed in. The
// offset of a reader never decreases.
package configread

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	// MaxStaleness is how long a serving process may lag behind an offset that it
	// knows to be in force elsewhere. The users require this bound.
	MaxStaleness = 6 * time.Second
	// FetchDelay is how long the reader waits for the log to deliver records that
	// a peer already has in force, before it fetches them from the peer.
	FetchDelay = 300 * time.Millisecond
)

// Condition is the state of the reader with respect to the log.
type Condition string

// The conditions.
const (
	// Starting: the log has not been read to its end yet.
	Starting Condition = "starting"
	// Following: the log answers, and new records are folded as they arrive.
	Following Condition = "following"
	// Unreachable: the log does not answer.
	Unreachable Condition = "unreachable"
	// Behind: the log ends before the offset in force. A stale replica answered,
	// or the log was reset.
	Behind Condition = "behind"
	// Forked: the log holds records that differ from those in force.
	Forked Condition = "forked"
	// Gap: records after the offset in force have expired, and neither a snapshot
	// nor a peer has supplied a later state yet.
	Gap Condition = "gap"
	// NewerRecord: the next record needs a newer binary.
	NewerRecord Condition = "newer-record"
)

// Event is a change that the process counts in its metrics and may log.
type Event struct {
	// Result of a folded record; nil for other events.
	Result *configfold.Result
	// AdoptedOffset is the offset of a complete state that replaced the one in
	// force; nil for other events.
	AdoptedOffset *int64
	// Condition that the reader has entered.
	Condition Condition
	// DivergedPeer names a peer whose records in force differ from ours.
	DivergedPeer string
	Detail       string
}

// Reader tracks the configuration of one process. It is not safe for
// concurrent use.
type Reader struct {
	state     configfold.State
	history   history
	condition Condition
	detail    string
	failures  int
	idlePolls int
	events    []Event
	// snapshotsRead is false after the start and after a gap, until the
	// snapshots have been read.
	snapshotsRead bool
	// pending is true while the log is known to hold unread records.
	pending bool
	// complete is true once the log or a peer has supplied every offset known
	// at the time.
	complete bool
	// serving is true once the process has been ready for the first time.
	serving  bool
	peers    peers
	disabled disabled
}

// disabled lists the mechanisms that tests switch off to show that the fault
// matrix detects their absence. It is zero in production.
type disabled struct {
	confirm, monotonic, peers, gap, foldVersion bool
}

// New returns a reader that has read nothing.
func New() *Reader {
	return &Reader{state: configfold.Empty(), condition: Starting, peers: newPeers()}
}

// State returns the configuration in force.
func (r *Reader) State() configfold.State { return r.state }

// Condition returns the condition of the reader and a detail text.
func (r *Reader) Condition() (Condition, string) { return r.condition, r.detail }

// Events returns and clears the events since the last call.
func (r *Reader) Events() []Event {
	out := r.events
	r.events = nil
	return out
}

// Ready returns nil if the process may serve from the configuration in force.
// Otherwise the error has the kind Unavailable and says what is missing.
func (r *Reader) Ready(now time.Time) error {
	if err := r.checkReady(now); err != nil {
		return err
	}
	r.serving = true
	return nil
}

func (r *Reader) checkReady(now time.Time) error {
	known, since := r.KnownOffset()
	behind := known > r.state.Offset
	switch {
	case !r.complete:
		return notReady("this entry has not read the configuration yet (log: %s)", r.condition)
	case !r.serving && !r.peers.queried && r.idlePolls < maxIdlePolls:
		return notReady("the other entries have not been asked for the configuration yet")
	case !behind || r.disabled.peers:
		return nil
	case r.serving && r.condition == NewerRecord:
		return nil
	case r.serving && now.Sub(since) < MaxStaleness:
		return nil
	}
	return notReady("offset %d is in force elsewhere, offset %d here (log: %s)", known, r.state.Offset, r.condition)
}

func notReady(format string, args ...any) error {
	return problem.New(problem.Unavailable, "use another address, or retry later", format, args...).
		WithOutcome(problem.NotRun).WithRetryAfter(time.Second)
}

// advance replaces the state in force by a later one.
func (r *Reader) advance(next configfold.State) {
	r.state = next
	r.peers.clearIfReached(next.Offset)
}

// adopt puts a complete state in force, from a snapshot or a peer. A state that
// is not newer is ignored.
func (r *Reader) adopt(s configfold.State) {
	if s.Offset <= r.state.Offset && !r.disabled.monotonic {
		return
	}
	r.history = history{}
	r.advance(s)
	r.events = append(r.events, Event{AdoptedOffset: &s.Offset})
}

// fold applies the next record. It returns false if this binary cannot fold the
// record; the reader must not read past it.
func (r *Reader) fold(offset int64, record []byte) bool {
	next, result, err := configfold.Fold(r.state, offset, record)
	if err != nil && r.disabled.foldVersion {
		next = r.state
		next.Offset = offset
	} else if err != nil {
		r.setCondition(NewerRecord, problem.Of(err).Detail)
		return false
	}
	r.history.add(r.state.Digest, offset, record)
	r.advance(next)
	r.events = append(r.events, Event{Result: &result})
	return true
}

// setCondition records an event if the condition has changed.
func (r *Reader) setCondition(c Condition, detail string) {
	if r.condition == c {
		return
	}
	r.condition = c
	r.detail = detail
	r.events = append(r.events, Event{Condition: c, Detail: detail})
}

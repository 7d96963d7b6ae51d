// Package configread decides how a process comes by the configuration in force
// and keeps it: what to read from the log and from its peers next, what to
// make of the answers, and whether it may serve. It does no I/O and has no
// clock; times are passed in. A reader never moves to a lower offset.
package configread

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Bounds of a reader.
const (
	// MaxStaleness is how long a process that serves may stay behind an offset
	// that it knows to be in force elsewhere. It is the users' bound.
	MaxStaleness = 6 * time.Second
	// FetchDelay is how long the log may take to bring what a peer already has.
	FetchDelay = 300 * time.Millisecond
)

// Condition says how the reader stands to the log.
type Condition string

// The conditions.
const (
	// Starting: the log has not been read to its end yet.
	Starting Condition = "starting"
	// Following: the log answers, and what it holds is folded as it comes.
	Following Condition = "following"
	// Unreachable: the log does not answer.
	Unreachable Condition = "unreachable"
	// Behind: the log ends before what is in force. It answers from an old
	// replica or has started again.
	Behind Condition = "behind"
	// Forked: the log holds other records than those in force.
	Forked Condition = "forked"
	// Gap: records after those in force have expired, and no snapshot and no
	// peer bridges them yet.
	Gap Condition = "gap"
	// NewerRecord: the next record needs a newer binary.
	NewerRecord Condition = "newer-record"
)

// Event is a change that is worth a line in the log of the process.
type Event struct {
	// Result of a record that was folded.
	Result *configfold.Result
	// AdoptedOffset is the offset of a state that was taken whole.
	AdoptedOffset *int64
	// Condition that the reader has entered.
	Condition Condition
	// DivergedPeer names a peer that has other records in force.
	DivergedPeer string
	Detail       string
}

// Reader is the reader of one process. It is not safe for concurrent use.
type Reader struct {
	state     configfold.State
	history   history
	condition Condition
	detail    string
	failures  int
	idles     int
	events    []Event
	// snapshotsRead is false until the snapshots have been read after the start
	// or after a gap.
	snapshotsRead bool
	// pending is true where the log holds records that have not been read.
	pending bool
	// complete is true after the log or a peer has given all that was known.
	complete bool
	// serving is true after the process was ready for the first time.
	serving bool
	peers   peers
	off     disabled
}

// disabled names mechanisms that tests turn off.
type disabled struct {
	confirm, monotonic, peers, gap, foldVersion bool
}

// New returns a reader that has read nothing.
func New() *Reader {
	return &Reader{state: configfold.Empty(), condition: Starting, peers: newPeers()}
}

// State returns the configuration in force.
func (r *Reader) State() configfold.State { return r.state }

// Condition returns how the reader stands to the log, with a detail.
func (r *Reader) Condition() (Condition, string) { return r.condition, r.detail }

// Events returns what has happened since the last call.
func (r *Reader) Events() []Event {
	out := r.events
	r.events = nil
	return out
}

// Ready returns nil where the process may serve from the configuration in
// force. The error has the kind Unavailable and says what is missing.
func (r *Reader) Ready(now time.Time) error {
	if err := r.unready(now); err != nil {
		return err
	}
	r.serving = true
	return nil
}

func (r *Reader) unready(now time.Time) error {
	known, since := r.KnownOffset()
	behind := known > r.state.Offset
	switch {
	case !r.complete:
		return notReady("this entry has not read the configuration yet (log: %s)", r.condition)
	case !r.serving && !r.peers.asked && r.idles < maxIdles:
		return notReady("the other entries have not been asked for the configuration yet")
	case !behind || r.off.peers:
		return nil
	case r.serving && r.condition == NewerRecord:
		return nil
	case r.serving && now.Sub(since) < MaxStaleness:
		return nil
	}
	return notReady("offset %d is in force elsewhere, offset %d here (log: %s)", known, r.state.Offset, r.condition)
}

func notReady(format string, args ...any) error {
	return problem.New(problem.Unavailable, "use another address, or come back", format, args...).
		WithOutcome(problem.NotRun).WithRetryAfter(time.Second)
}

// advance puts the next state in force.
func (r *Reader) advance(next configfold.State) {
	r.state = next
	r.peers.reached(next.Offset)
}

// adopt takes a whole state that is above the one in force.
func (r *Reader) adopt(s configfold.State) {
	if s.Offset <= r.state.Offset && !r.off.monotonic {
		return
	}
	r.history = history{}
	r.advance(s)
	r.events = append(r.events, Event{AdoptedOffset: &s.Offset})
}

// fold puts the next record in force. It returns false where the reader must
// stop there.
func (r *Reader) fold(offset int64, record []byte) bool {
	next, result, err := configfold.Fold(r.state, offset, record)
	if err != nil && r.off.foldVersion {
		next = r.state
		next.Offset = offset
	} else if err != nil {
		r.enter(NewerRecord, problem.Of(err).Detail)
		return false
	}
	r.history.add(r.state.Digest, offset, record)
	r.advance(next)
	r.events = append(r.events, Event{Result: &result})
	return true
}

func (r *Reader) enter(c Condition, detail string) {
	if r.condition == c {
		return
	}
	r.condition = c
	r.detail = detail
	r.events = append(r.events, Event{Condition: c, Detail: detail})
}

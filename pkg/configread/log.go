package configread

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	// PageRecords is the maximum number of records per read.
	PageRecords = 1000
	// PollWait is how long a long poll waits for the next record.
	PollWait = 10 * time.Second
	// idlePause and maxIdlePolls bound the wait for peers at the start to 6 s.
	idlePause    = 20 * time.Millisecond
	maxIdlePolls = 300
	// minRetryPause and maxRetryPause bound the backoff between reads while the
	// log is unusable. The maximum is well within MaxStaleness.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// Request describes the next read of the log.
type Request struct {
	// Idle is true if the log must not be read yet; call Next again after Pause.
	Idle bool
	// Pause is the time to wait before the read.
	Pause time.Duration
	// Snapshots selects the snapshot stream; the fields below are then unused.
	Snapshots bool
	From      int64
	Limit     int
	// Wait is how long a long poll waits for a record. Records returned by a
	// long poll are not folded: they are read again together with the last
	// record in force, which confirms that the log has not forked.
	Wait time.Duration
}

// Next returns the next read of the log. A starting process queries its peers
// first, since it could not tell from the log alone that the log was reset and
// lacks records that are in force.
func (r *Reader) Next() Request {
	switch {
	case r.mustWaitForPeers():
		r.idlePolls++
		return Request{Idle: true, Pause: idlePause}
	case !r.snapshotsRead:
		return Request{Pause: r.pause(), Snapshots: true}
	case r.condition == Following && !r.pending:
		return Request{From: r.state.Offset + 1, Limit: 1, Wait: PollWait}
	}
	return Request{Pause: r.pause(), From: max(r.state.Offset, 0), Limit: PageRecords}
}

// mustWaitForPeers reports whether a starting process must wait for its peers. The
// wait is bounded by a number of polls, not by the clock, so that a process that
// was frozen still processes the responses that arrived while it was frozen.
func (r *Reader) mustWaitForPeers() bool {
	if r.disabled.peers || r.idlePolls >= maxIdlePolls {
		return false
	}
	ahead := r.peers.highestPeerOffset() > r.state.Offset
	if r.condition == Starting {
		return ahead || !r.peers.queried
	}
	return ahead && r.state.Offset < 0
}

// Pending reports whether the log is known to hold records that have not been
// read.
func (r *Reader) Pending() bool { return r.pending }

// Refresh makes the next request an immediate read instead of a long poll.
func (r *Reader) Refresh() { r.pending = true }

func (r *Reader) pause() time.Duration {
	if r.failures == 0 {
		return 0
	}
	return min(minRetryPause<<min(r.failures-1, 8), maxRetryPause)
}

// HandleLogError records a failed read of the log.
func (r *Reader) HandleLogError(err error) {
	r.markUnusable(Unreachable, problem.Of(err).Detail)
}

// ApplySnapshots adopts the newest snapshot that is later than the state in
// force, if there is one.
func (r *Reader) ApplySnapshots(states []configfold.State) {
	r.snapshotsRead = true
	for _, s := range states {
		r.adopt(s)
	}
}

// ApplyPage applies the response to a request for records. It is ignored while a
// starting process waits for peers that are known to have a higher offset.
func (r *Reader) ApplyPage(q Request, page logservice.Page) {
	switch {
	case r.mustWaitForPeers():
		return
	case page.Next <= r.state.Offset && r.disabled.monotonic:
		r.state = configfold.Empty()
		r.pending = true
	case page.Next <= r.state.Offset:
		r.complete = r.complete || r.reachedKnown()
		r.markUnusable(Behind, "the log ends before the configuration in force")
	case page.First > r.state.Offset+1 && !r.disabled.gap:
		r.handleGap()
	case q.Wait > 0:
		r.pending = page.Next > r.state.Offset+1
	default:
		r.applyRecords(page)
	}
}

func (r *Reader) applyRecords(page logservice.Page) {
	for _, rec := range page.Records {
		if !r.applyRecord(rec) {
			return
		}
	}
	r.failures = 0
	r.pending = r.state.Offset+1 < page.Next
	if !r.pending {
		r.complete = true
		r.setCondition(Following, "")
	}
}

// applyRecord folds one record, or compares it with the last record in force if
// the offsets are equal. It returns false if the reader must stop at the record.
func (r *Reader) applyRecord(rec logservice.Record) bool {
	switch {
	case rec.Offset < r.state.Offset:
		return true
	case rec.Offset == r.state.Offset && !r.state.IsLastRecord(rec.Data) && !r.disabled.confirm:
		r.markUnusable(Forked, "the log holds another record at the offset in force")
		return false
	case rec.Offset == r.state.Offset:
		return true
	case rec.Offset > r.state.Offset+1 && !r.disabled.gap:
		r.handleGap()
		return false
	}
	if !r.fold(rec.Offset, rec.Data) {
		r.failures++
		r.completeFromPeers()
		return false
	}
	return true
}

// handleGap makes the reader read the snapshots again, since the next record expired.
func (r *Reader) handleGap() {
	r.snapshotsRead = false
	r.markUnusable(Gap, "the records after the configuration in force have expired")
}

func (r *Reader) markUnusable(c Condition, detail string) {
	r.failures++
	r.setCondition(c, detail)
	r.completeFromPeers()
}

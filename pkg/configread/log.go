package configread

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Bounds of reading the log.
const (
	// PageRecords is the limit of records in one reading.
	PageRecords = 1000
	// PollWait is how long a reading waits for the next record.
	PollWait = 10 * time.Second
	// idlePause and maxIdles bound the wait for peers at the start: 6 s.
	idlePause = 20 * time.Millisecond
	maxIdles  = 300
	// firstPause and longestPause separate readings while the log is unusable.
	// The longest is well within StaleBound.
	firstPause   = 250 * time.Millisecond
	longestPause = 2 * time.Second
)

// Request is what to read from the log next.
type Request struct {
	// Idle is true where the log must not be read yet; ask again after Pause.
	Idle bool
	// Pause before the request.
	Pause time.Duration
	// Snapshots is true for the stream of snapshots; the other fields then mean
	// nothing.
	Snapshots bool
	From      int64
	Limit     int
	// Wait for the first record. The records of a request that waits are not
	// folded; they are read again together with the last one in force.
	Wait time.Duration
}

// Next returns what to read from the log next. A process that starts asks its
// peers first: a log that has started again would otherwise be taken for the
// whole truth.
func (r *Reader) Next() Request {
	switch {
	case r.awaitsPeers():
		r.idles++
		return Request{Idle: true, Pause: idlePause}
	case !r.snapshotsRead:
		return Request{Pause: r.pause(), Snapshots: true}
	case r.condition == Following && !r.pending:
		return Request{From: r.state.Offset + 1, Limit: 1, Wait: PollWait}
	}
	return Request{Pause: r.pause(), From: max(r.state.Offset, 0), Limit: PageRecords}
}

// awaitsPeers bounds the wait by the number of looks, not by the clock, so that
// a process that was frozen still hears the answers that came meanwhile.
func (r *Reader) awaitsPeers() bool {
	if r.off.peers || r.idles >= maxIdles {
		return false
	}
	ahead := r.peers.held() > r.state.Offset
	if r.condition == Starting {
		return ahead || !r.peers.asked
	}
	return ahead && r.state.Offset < 0
}

// Pending reports whether the log is known to hold records that have not been
// read.
func (r *Reader) Pending() bool { return r.pending }

// Refresh makes the next request read without waiting.
func (r *Reader) Refresh() { r.pending = true }

func (r *Reader) pause() time.Duration {
	if r.failures == 0 {
		return 0
	}
	return min(firstPause<<min(r.failures-1, 8), longestPause)
}

// HandleLogError notes that the log did not answer.
func (r *Reader) HandleLogError(err error) {
	r.unusable(Unreachable, problem.Of(err).Detail)
}

// ApplySnapshots takes the snapshots that the log holds. The newest one that is
// above what is in force is adopted.
func (r *Reader) ApplySnapshots(states []configfold.State) {
	r.snapshotsRead = true
	for _, s := range states {
		r.adopt(s)
	}
}

// ApplyPage takes the answer to a request for records. While peers are known to
// have more in force, a process that starts takes it from them first.
func (r *Reader) ApplyPage(q Request, page logservice.Page) {
	switch {
	case r.awaitsPeers():
		return
	case page.Next <= r.state.Offset && r.off.monotonic:
		r.state = configfold.Empty()
		r.pending = true
	case page.Next <= r.state.Offset:
		r.complete = r.complete || r.reachedKnown()
		r.unusable(Behind, "the log ends before the configuration in force")
	case page.First > r.state.Offset+1 && !r.off.gap:
		r.gap()
	case q.Wait > 0:
		r.pending = page.Next > r.state.Offset+1
	default:
		r.takeRecords(page)
	}
}

func (r *Reader) takeRecords(page logservice.Page) {
	for _, rec := range page.Records {
		if !r.takeRecord(rec) {
			return
		}
	}
	r.failures = 0
	r.pending = r.state.Offset+1 < page.Next
	if !r.pending {
		r.complete = true
		r.enter(Following, "")
	}
}

// takeRecord folds one record, or checks it where it is known. It returns
// false where the reader must stop there.
func (r *Reader) takeRecord(rec logservice.Record) bool {
	switch {
	case rec.Offset < r.state.Offset:
		return true
	case rec.Offset == r.state.Offset && !r.state.IsLastRecord(rec.Data) && !r.off.confirm:
		r.unusable(Forked, "the log holds another record at the offset in force")
		return false
	case rec.Offset == r.state.Offset:
		return true
	case rec.Offset > r.state.Offset+1 && !r.off.gap:
		r.gap()
		return false
	}
	if !r.fold(rec.Offset, rec.Data) {
		r.failures++
		r.settle()
		return false
	}
	return true
}

// gap makes the reader look for a snapshot again.
func (r *Reader) gap() {
	r.snapshotsRead = false
	r.unusable(Gap, "the records after the configuration in force have expired")
}

func (r *Reader) unusable(c Condition, detail string) {
	r.failures++
	r.enter(c, detail)
	r.settle()
}

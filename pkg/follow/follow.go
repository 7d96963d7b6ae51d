// Package follow keeps a process up to date with one topic of the shared log. It
// reads a snapshot, which is the newest record of each key, and then the records
// after it. The pages of a snapshot are not consistent with each other: records
// appended while the pages are read are read again afterwards. If records expire
// before they are read, or the log was restored from an earlier copy, it reads a
// snapshot again.
package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/panics"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// PollSlack is the timeout of the read of a leader beyond its wait: others depend on it and replace it
	// if it is not answered. A call usually takes 4 ms, and up to 90 times as long when the log is slow.
	PollSlack = 600 * time.Millisecond
	// callSlack is the timeout of any other call, and of the reads of a leader after one that failed.
	callSlack = 900 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call. All
	// readers reconnect within the time in which entries must be up to date.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
	// coalescePause is the time from the arrival of records to the next read, so
	// that one call reads records that arrive close together.
	coalescePause = 200 * time.Millisecond
	// maxPages bounds the pages of a snapshot; a page usually holds 500 records.
	maxPages = 1000
	// LeaderCheckInterval is the interval at which a reader checks whether it has become a
	// leader, beside the checks that Recheck requests.
	LeaderCheckInterval = 250 * time.Millisecond
	// UrgentPause is the longest time from the signal of urgent records to the read of a reader that is
	// not a leader. It spreads the reads of a large fleet.
	UrgentPause = 100 * time.Millisecond
)

// Options configure how a topic is followed.
type Options struct {
	Topic sharedlog.Topic
	// Wait is how long the long poll of a leader waits for a record. While IsMonitor reports true, it waits for
	// MonitorWait, so that this leader notices soon on behalf of the others that the log does not answer; nil
	// means that it does not.
	Wait, MonitorWait time.Duration
	IsMonitor         func() bool
	// Pause returns the time between the reads of a reader that is not a leader; nil means that
	// there is none.
	Pause func() time.Duration
	// IsLeader reports whether this process is one of the leaders, which poll the
	// log on behalf of all processes. The others read when woken. Nil means that
	// this process is a leader.
	IsLeader func() bool
	// Wake signals to a reader that is not a leader that new records exist. WakePause returns the
	// time from the signal to the read, so that one call reads records that arrive close together;
	// nil means that there is none.
	Wake      <-chan struct{}
	WakePause func() time.Duration
	// Urgent signals to a reader that is not a leader that records exist which it must not read late: it
	// reads within UrgentPause, also while it waits for WakePause.
	Urgent <-chan struct{}
	// Recheck signals to a reader that is not a leader that it may have become one.
	Recheck <-chan struct{}
	// OnProgress is called with the position to read from next; it may be nil.
	OnProgress func(next sharedlog.Position)
}

// Sink receives the records of a topic. Its methods are called from one
// goroutine.
type Sink interface {
	// Apply applies one record; an empty value deletes the key.
	Apply(r sharedlog.Record)
	// Restored is called before the snapshot that follows a restore of the log from an
	// earlier copy. That snapshot may lack newer records that the sink has applied, and
	// may contain records that they replaced.
	Restored()
	// BeginSnapshot starts a snapshot and EndSnapshot ends it. A key without a
	// record in the snapshot has been deleted, unless it was written after end, the end
	// of the topic when the snapshot began. The records after the snapshot belong to the
	// timeline of end.
	BeginSnapshot(end sharedlog.Position)
	EndSnapshot()
	// ReadFailed is called after each failed read, ReadRecovered when a read
	// succeeds again.
	ReadFailed(err error)
	ReadRecovered()
}

// Run follows a topic until ctx ends.
func Run(ctx context.Context, log sharedlog.Log, o Options, sink Sink, logger *zap.Logger) {
	f := &follower{log: log, o: o, sink: sink, logger: logger.With(zap.Stringer("topic", o.Topic))}
	for ctx.Err() == nil {
		if err := f.readNext(ctx); err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.handleSuccess()
		if o.OnProgress != nil {
			o.OnProgress(f.position)
		}
		f.waitForNextRead(ctx)
	}
}

func (f *follower) isLeader() bool { return f.o.Wait > 0 && (f.o.IsLeader == nil || f.o.IsLeader()) }

// waitForNextRead waits until the next read. A leader waits only after a read that returned
// records.
func (f *follower) waitForNextRead(ctx context.Context) {
	if f.isLeader() {
		if f.gotRecords {
			wait.For(ctx, coalescePause)
		}
		return
	}
	timer := time.NewTimer(pause(f.o.Pause))
	defer timer.Stop()
	leaderCheck := time.NewTicker(LeaderCheckInterval)
	defer leaderCheck.Stop()
	wake := f.o.Wake
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.o.Urgent:
			wait.For(ctx, rand.N(UrgentPause))
			return
		case <-wake:
			// One read follows, after the pause or at an earlier reason to read.
			wake = nil
			timer.Reset(pause(f.o.WakePause))
		case <-timer.C:
			return
		case <-f.o.Recheck:
			if f.isLeader() {
				return
			}
		case <-leaderCheck.C:
			if f.isLeader() {
				return
			}
		}
	}
}

// pause returns a jittered pause; a missing one is 0.
func pause(length func() time.Duration) time.Duration {
	if length == nil {
		return 0
	}
	return jittered(length())
}

type follower struct {
	log     sharedlog.Log
	o       Options
	sink    Sink
	logger  *zap.Logger
	started bool
	// position is where the next read starts.
	position sharedlog.Position
	// readBefore is true once a snapshot has been read. restored is true if the next
	// snapshot follows a restore of the log.
	readBefore, restored bool
	// gotRecords is true if the last read returned records.
	gotRecords bool
	// wasLeader is true if the last read or snapshot was that of a leader.
	wasLeader bool
	// failures is the number of consecutive failed calls.
	failures int
	// failingSince is when the first of these calls failed.
	failingSince time.Time
}

// readNext performs one read, or a snapshot if there is none yet or the records to
// read have expired.
func (f *follower) readNext(ctx context.Context) error {
	if !f.started {
		return f.start(ctx)
	}
	pollWait := time.Duration(0)
	leader := f.isLeader()
	// After a failure the read does not wait: one that begins just before the log returns is not answered,
	// and the next one follows only when it has timed out. Nor does the first read of a new leader, so that the
	// next one takes over soon if this one is cut off from the log as well.
	if leader && f.wasLeader && f.failures == 0 {
		pollWait = f.pollWait()
	}
	f.wasLeader = leader
	slack := callSlack
	if leader && f.failures == 0 {
		slack = PollSlack
	}
	callCtx, cancel := context.WithTimeout(ctx, pollWait+slack)
	defer cancel()
	batch, err := f.log.Read(callCtx, f.o.Topic, f.position.Next, pollWait)
	if errors.Is(err, sharedlog.ErrExpired) {
		f.logger.Warn("records expired before they were read; reading the newest record of each key", zap.Int64("offset", f.position.Next))
		f.started = false
		return f.start(ctx)
	}
	if err != nil {
		return err
	}
	if f.wasRestored(batch) {
		// The next read follows after a pause, also if the log returns such batches repeatedly.
		f.started, f.restored, f.gotRecords = false, true, true
		return f.start(ctx)
	}
	f.applyAll(batch.Records)
	f.gotRecords = len(batch.Records) > 0
	f.position.Next = batch.Next
	return nil
}

// pollWait returns how long the next long poll waits.
func (f *follower) pollWait() time.Duration {
	if f.o.IsMonitor != nil && f.o.IsMonitor() {
		return f.o.MonitorWait
	}
	return f.o.Wait
}

// applyAll applies records. A record that the sink fails to handle is skipped.
func (f *follower) applyAll(records []sharedlog.Record) {
	for _, r := range records {
		if err := panics.Catch(func() { f.sink.Apply(r) }); err != nil {
			f.logger.Error("failed to apply a record; it is skipped", zap.String("key", r.Key), zap.Int64("offset", r.Offset), telemetry.Err(err))
		}
	}
}

// wasRestored reports whether the log was restored since the last read: the batch belongs to another
// timeline, or its offsets are impossible for the position that was read.
func (f *follower) wasRestored(batch sharedlog.Batch) bool {
	if batch.Timeline != f.position.Timeline {
		return true
	}
	if batch.End >= f.position.Next && batch.Next <= batch.End {
		return false
	}
	f.logger.Warn("the log returned impossible offsets; reading the newest record of each key",
		zap.Int64("offset", f.position.Next), zap.Int64("end", batch.End), zap.Int64("nextOffset", batch.Next))
	return true
}

// start reads the newest record of each key. Reading continues from the end of
// the log as of the first page, so records appended during the paging are read.
func (f *follower) start(ctx context.Context) error {
	pages, err := f.readPages(ctx)
	if err != nil {
		return err
	}
	position := sharedlog.Position{Timeline: pages[0].Timeline, Next: pages[0].End}
	if f.restored || f.readBefore && position.Timeline != f.position.Timeline {
		f.sink.Restored()
	}
	f.sink.BeginSnapshot(position)
	for _, page := range pages {
		f.applyAll(page.Records)
	}
	f.sink.EndSnapshot()
	f.position, f.started, f.readBefore, f.restored = position, true, true, false
	f.wasLeader = f.isLeader()
	f.logger.Info("read the newest record of each key", zap.Int64("nextOffset", position.Next),
		zap.Int64("timeline", int64(position.Timeline)), zap.Int("pages", len(pages)))
	return nil
}

// readPages reads the pages of a snapshot, all of which belong to one timeline.
func (f *follower) readPages(ctx context.Context) ([]sharedlog.Page, error) {
	var pages []sharedlog.Page
	after := ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, callSlack)
		page, err := f.log.Newest(callCtx, f.o.Topic, after)
		cancel()
		if err != nil {
			return nil, err
		}
		if page.End < 0 || page.After != "" && page.After == after || len(pages) == maxPages {
			return nil, errors.Newf("the log returned an impossible page: number %d, end %d, after key %q, continued after key %q", len(pages)+1, page.End, after, page.After)
		}
		if len(pages) > 0 && page.Timeline != pages[0].Timeline {
			return nil, errors.Newf("the log was restored during a snapshot: timeline %d became %d", pages[0].Timeline, page.Timeline)
		}
		pages = append(pages, page)
		if after = page.After; after == "" {
			return pages, nil
		}
	}
}

func (f *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		f.failingSince = time.Now()
		f.logger.Warn("dependency lost", zap.String("dependency", "shared log"), telemetry.Err(err))
	}
	f.failures++
	f.sink.ReadFailed(err)
	wait.For(ctx, Backoff(f.failures))
}

func (f *follower) handleSuccess() {
	if f.failures == 0 {
		return
	}
	f.logger.Info("dependency regained", zap.String("dependency", "shared log"),
		zap.Duration("outage", time.Since(f.failingSince)), zap.Int("failures", f.failures))
	f.failures = 0
	f.sink.ReadRecovered()
}

// Backoff returns the jittered pause after a number of consecutive failed calls.
func Backoff(failures int) time.Duration {
	d := firstBackoff << min(failures-1, 8)
	return jittered(min(d, maxBackoff))
}

// jittered returns a random duration of 75 to 125 percent of d, 100 percent on
// average.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

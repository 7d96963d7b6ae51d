package configuration

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configread"
	"github.com/fescuehub/fescuehub/pkg/configsnapshot"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// maxSnapshotRecords is how many of the newest records of the snapshot
	// stream are read.
	maxSnapshotRecords = 128
	// snapshotChecksPerRetention is the number of reads of the snapshot stream within the
	// log's retention.
	snapshotChecksPerRetention = 64
	minSnapshotCheck           = 200 * time.Millisecond
	maxSnapshotCheck           = time.Minute
)

// SnapshotOptions determine which entry writes snapshots and how often.
type SnapshotOptions struct {
	// Name is the name of this entry.
	Name string
	// Retention is how long the log keeps records.
	Retention time.Duration
	// Entries returns the names of the running entries. If it is nil, this process
	// writes no snapshots.
	Entries func() []string
}

// snapshotWriter reads the snapshot stream and writes a snapshot when one is due
// and this entry is the one to write it.
type snapshotWriter struct {
	log      *zap.Logger
	scope    tally.Scope
	client   *logservice.Client
	follower *Follower
	options  SnapshotOptions

	mu       sync.Mutex
	schedule *configsnapshot.Schedule
	// next is the offset of the first unread record of the snapshot stream.
	next int64
}

func newSnapshotWriter(log *zap.Logger, scope tally.Scope, client *logservice.Client, f *Follower, o SnapshotOptions) *snapshotWriter {
	return &snapshotWriter{log: log, scope: scope, client: client, follower: f, options: o, schedule: configsnapshot.NewSchedule(o.Retention)}
}

func (w *snapshotWriter) newest() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.schedule.Newest()
}

// run checks periodically whether a snapshot is due, and writes it, until ctx
// ends.
func (w *snapshotWriter) run(ctx context.Context) error {
	if w.options.Entries == nil {
		return nil
	}
	check := min(max(w.options.Retention/snapshotChecksPerRetention, minSnapshotCheck), maxSnapshotCheck)
	for ctx.Err() == nil {
		wait.For(ctx, jitter(check))
		if w.follower.Status().Condition != configread.Following {
			continue
		}
		if w.readNew(ctx) == nil && w.due() {
			w.write(ctx)
		}
	}
	return nil
}

// read returns the snapshots in the log, oldest first.
func (w *snapshotWriter) read(ctx context.Context) ([]configfold.State, error) {
	return ReadSnapshots(ctx, w.client)
}

// readNew updates the schedule with the snapshots written since the last read.
func (w *snapshotWriter) readNew(ctx context.Context) error {
	w.mu.Lock()
	from := w.next
	w.mu.Unlock()
	page, err := w.client.Read(ctx, SnapshotStream, from, maxSnapshotRecords, 0)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		w.noteRecord(r)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = page.Next
	if n := len(page.Records); n > 0 {
		w.next = page.Records[n-1].Offset + 1
	}
	return nil
}

// noteRecord updates the schedule if the record completes a snapshot.
func (w *snapshotWriter) noteRecord(r logservice.Record) {
	offset, ok := configsnapshot.LastPart(r.Data)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.schedule.NoteSnapshot(time.Now(), offset, time.UnixMilli(r.TimeMS))
}

func (w *snapshotWriter) due() bool {
	offset := w.follower.Head().Offset
	w.mu.Lock()
	defer w.mu.Unlock()
	position := configsnapshot.WriterOrder(w.options.Name, w.options.Entries(), w.schedule.Newest())
	return w.schedule.Due(time.Now(), offset, position)
}

// write appends a snapshot of the state in force. A failed write is retried at
// the next check.
func (w *snapshotWriter) write(ctx context.Context) {
	state := w.follower.store.View().State
	records, err := configsnapshot.Split(state, uuid.NewString())
	for _, r := range records {
		if err == nil {
			_, err = w.client.Append(ctx, SnapshotStream, r)
		}
	}
	if err != nil {
		w.scope.Counter("snapshots_failed").Inc(1)
		return
	}
	w.scope.Counter("snapshots_written").Inc(1)
	w.log.Info("snapshot written", zap.Int64("offset", state.Offset), zap.Int("records", len(records)))
}

// ReadSnapshots returns those snapshots in the log that this binary can read,
// oldest first.
func ReadSnapshots(ctx context.Context, client *logservice.Client) ([]configfold.State, error) {
	end, err := client.Read(ctx, SnapshotStream, math.MaxInt64, 1, 0)
	if err != nil {
		return nil, err
	}
	from := max(end.First, end.Next-maxSnapshotRecords)
	page, err := client.Read(ctx, SnapshotStream, from, maxSnapshotRecords, 0)
	if err != nil {
		return nil, err
	}
	var a configsnapshot.Assembler
	var states []configfold.State
	for _, r := range page.Records {
		if s, ok, _ := a.Add(r.Data); ok {
			states = append(states, s)
		}
	}
	return states, nil
}

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
	// heldSnapshotRecords is how many of the newest records of the stream of
	// snapshots are read.
	heldSnapshotRecords = 128
	// snapshotCheckShare is how often within an interval the stream is read.
	snapshotCheckShare = 64
	minSnapshotCheck   = 200 * time.Millisecond
	maxSnapshotCheck   = time.Minute
)

// SnapshotOptions say who writes snapshots and how often.
type SnapshotOptions struct {
	// Name of this entry.
	Name string
	// Retention of the log.
	Retention time.Duration
	// Entries returns the names of the live entries.
	Entries func() []string
}

// snapshotWriter reads the stream of snapshots and writes one when this
// entry's turn has come.
type snapshotWriter struct {
	log      *zap.Logger
	scope    tally.Scope
	client   *logservice.Client
	follower *Follower
	options  SnapshotOptions

	mu       sync.Mutex
	schedule *configsnapshot.Schedule
	// next is the offset of the stream from which on it has not been read.
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

// run keeps the stream of snapshots fresh until ctx ends.
func (w *snapshotWriter) run(ctx context.Context) error {
	if w.options.Entries == nil {
		return nil
	}
	check := min(max(w.options.Retention/snapshotCheckShare, minSnapshotCheck), maxSnapshotCheck)
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

// read returns the snapshots that the log holds, oldest first.
func (w *snapshotWriter) read(ctx context.Context) ([]configfold.State, error) {
	return ReadSnapshots(ctx, w.client)
}

// readNew notes the snapshots that were written since the last reading.
func (w *snapshotWriter) readNew(ctx context.Context) error {
	w.mu.Lock()
	from := w.next
	w.mu.Unlock()
	page, err := w.client.Read(ctx, SnapshotStream, from, heldSnapshotRecords, 0)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		w.seen(r)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = page.Next
	if n := len(page.Records); n > 0 {
		w.next = page.Records[n-1].Offset + 1
	}
	return nil
}

// seen notes the last record of a snapshot.
func (w *snapshotWriter) seen(r logservice.Record) {
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
	rank := configsnapshot.WriterOrder(w.options.Name, w.options.Entries(), w.schedule.Newest())
	return w.schedule.Due(time.Now(), offset, rank)
}

// write appends a snapshot of the state in force. A failed one is tried again
// at the next check.
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

// ReadSnapshots returns the snapshots that the log holds and this binary can
// read, oldest first.
func ReadSnapshots(ctx context.Context, client *logservice.Client) ([]configfold.State, error) {
	end, err := client.Read(ctx, SnapshotStream, math.MaxInt64, 1, 0)
	if err != nil {
		return nil, err
	}
	from := max(end.First, end.Next-heldSnapshotRecords)
	page, err := client.Read(ctx, SnapshotStream, from, heldSnapshotRecords, 0)
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

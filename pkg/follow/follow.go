// Package follow keeps a process up to date with one topic of the shared log:
// it starts from the newest record of each key, reads on from there, and starts
// anew where the records have gone.
package follow

import (
	"context"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// callSlack is the time of a call beyond its wait: 4 ms are usual, 60 times
	// as much on a slow day.
	callSlack = 900 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call. All
	// readers come back within the time in which entries must be current.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
	// gatherPause is the time from a record to the next read: records that come
	// close together are read by one call.
	gatherPause = 200 * time.Millisecond
	// leadCheck is the time in which a reader notices that it leads now.
	leadCheck = 250 * time.Millisecond
)

// Options set how a topic is followed.
type Options struct {
	Topic sharedlog.Topic
	// Wait is how long a leading reader's read waits for a record.
	Wait time.Duration
	// Pause is the time from one read to the next of a reader that does not
	// lead.
	Pause time.Duration
	// IsLeader reports whether this process is one of those that wait at the log
	// for all; nil stands for true. The others read when they are told.
	IsLeader func() bool
	// Wake tells a reader that does not lead that there is something to read.
	Wake <-chan struct{}
	// OnProgress is told of the offset that is read next; it may be nil.
	OnProgress func(next int64)
}

// Sink takes what is read. Its methods are called from one goroutine.
type Sink interface {
	// Apply takes one record; an empty value drops the key.
	Apply(r sharedlog.Record)
	// BeginSnapshot starts a reading of all newest records, and Complete ends it: a key
	// that was not taken since is gone.
	BeginSnapshot()
	EndSnapshot()
	// ReadFailed is called when a call has failed, Regained when one succeeds again.
	ReadFailed(err error)
	ReadRecovered()
}

// Run follows a topic until ctx ends.
func Run(ctx context.Context, log sharedlog.Log, o Options, sink Sink, logger *zap.Logger) {
	f := &follower{log: log, o: o, sink: sink, logger: logger.With(zap.Stringer("topic", o.Topic))}
	for ctx.Err() == nil {
		if err := f.round(ctx); err != nil {
			f.fail(ctx, err)
			continue
		}
		f.succeed()
		if o.OnProgress != nil {
			o.OnProgress(f.next)
		}
		f.rest(ctx)
	}
}

func (f *follower) leads() bool { return f.o.Wait > 0 && (f.o.IsLeader == nil || f.o.IsLeader()) }

// rest waits until a reader that does not lead reads again.
func (f *follower) rest(ctx context.Context) {
	if f.leads() {
		if f.got {
			wait.For(ctx, gatherPause)
		}
		return
	}
	timer := time.NewTimer(jittered(f.o.Pause))
	defer timer.Stop()
	check := time.NewTicker(leadCheck)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.o.Wake:
			return
		case <-timer.C:
			return
		case <-check.C:
			if f.leads() {
				return
			}
		}
	}
}

type follower struct {
	log     sharedlog.Log
	o       Options
	sink    Sink
	logger  *zap.Logger
	started bool
	next    int64
	// got is true where the last read brought records.
	got      bool
	failures int
	lostAt   time.Time
}

func (f *follower) round(ctx context.Context) error {
	if !f.started {
		return f.start(ctx)
	}
	waits := time.Duration(0)
	if f.leads() {
		waits = f.o.Wait
	}
	call, cancel := context.WithTimeout(ctx, waits+callSlack)
	defer cancel()
	batch, err := f.log.Read(call, f.o.Topic, f.next, waits)
	if errors.Is(err, sharedlog.ErrExpired) {
		f.logger.Warn("records expired before they were read; reading all newest records", zap.Int64("offset", f.next))
		f.started = false
		return f.start(ctx)
	}
	if err != nil {
		return err
	}
	for _, r := range batch.Records {
		f.sink.Apply(r)
	}
	f.got = len(batch.Records) > 0
	f.next = batch.Next
	return nil
}

// start reads the newest record of each key. The end is noted before paging:
// what comes meanwhile is read again from there.
func (f *follower) start(ctx context.Context) error {
	var pages []sharedlog.Page
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, callSlack)
		page, err := f.log.Newest(call, f.o.Topic, after)
		cancel()
		if err != nil {
			return err
		}
		pages = append(pages, page)
		if after = page.After; after == "" {
			break
		}
	}
	f.sink.BeginSnapshot()
	for _, page := range pages {
		for _, r := range page.Records {
			f.sink.Apply(r)
		}
	}
	f.sink.EndSnapshot()
	f.next, f.started = pages[0].End, true
	f.logger.Info("read all newest records", zap.Int64("end", f.next), zap.Int("pages", len(pages)))
	return nil
}

func (f *follower) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		f.lostAt = time.Now()
		f.logger.Warn("dependency lost", zap.String("dependency", "shared log"), telemetry.Err(err))
	}
	f.failures++
	f.sink.ReadFailed(err)
	wait.For(ctx, Backoff(f.failures))
}

func (f *follower) succeed() {
	if f.failures == 0 {
		return
	}
	f.logger.Info("dependency regained", zap.String("dependency", "shared log"),
		zap.Duration("after", time.Since(f.lostAt)), zap.Int("failures", f.failures))
	f.failures = 0
	f.sink.ReadRecovered()
}

// Backoff returns the jittered pause after a number of failed calls in a row.
func Backoff(failures int) time.Duration {
	d := firstBackoff << min(failures-1, 8)
	return jittered(min(d, maxBackoff))
}

// jittered spreads a pause over 75 to 125 in 100 of it.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

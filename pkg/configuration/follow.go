package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
)

const (
	pageRecords = 1000
	readWait    = 10 * time.Second
	retryPause  = 500 * time.Millisecond
)

// Follower folds the stream of edits into a Store.
type Follower struct {
	log      *zap.Logger
	client   *logservice.Client
	store    *Store
	caughtUp atomic.Bool
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(log *zap.Logger, client *logservice.Client, store *Store) *Follower {
	return &Follower{log: log, client: client, store: store}
}

// CaughtUp reports whether the follower has once read to the end of the
// stream.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	reachable := true
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if (err == nil) != reachable {
			reachable = err == nil
			f.log.Info("log service state", zap.Bool("reachable", reachable), zap.Error(err))
		}
		if err != nil {
			pause(ctx, retryPause)
		}
	}
	return nil
}

func (f *Follower) readOnce(ctx context.Context) error {
	wait := readWait
	if !f.caughtUp.Load() {
		wait = 0
	}
	state := f.store.View().State
	page, err := f.client.Read(ctx, Stream, state.Offset+1, pageRecords, wait)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		next, result, err := configfold.Fold(state, r.Offset, r.Data)
		if err != nil {
			return err
		}
		state = next
		f.log.Info("edit folded", zap.Int64("offset", r.Offset), zap.Bool("accepted", result.Accepted), zap.Int64("version", result.Version))
	}
	f.store.Publish(state)
	if state.Offset+1 >= page.Next {
		f.caughtUp.Store(true)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// slowLog is a log whose writes take a while, and of which the first ones fail.
type slowLog struct {
	sharedlog.Log
	writeTime time.Duration

	mu       sync.Mutex
	failures int
	// written tells whether a write has succeeded, and readsAfter counts the reads after that.
	written           bool
	reads, readsAfter int
}

// Put implements sharedlog.Log.
func (l *slowLog) Put(context.Context, sharedlog.Topic, string, []byte) error {
	time.Sleep(l.writeTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures > 0 {
		l.failures--
		return errors.New("the log is down")
	}
	l.written = true
	return nil
}

func (l *slowLog) countRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.written {
		l.readsAfter++
	}
}

// Newest implements sharedlog.Log.
func (l *slowLog) Newest(context.Context, sharedlog.Topic, string) (sharedlog.Page, error) {
	l.countRead()
	return sharedlog.Page{}, nil
}

// Read implements sharedlog.Log.
func (l *slowLog) Read(context.Context, sharedlog.Topic, int64, time.Duration) (sharedlog.Batch, error) {
	l.countRead()
	return sharedlog.Batch{}, nil
}

// TestEntriesThatStartTogetherDiscoverEachOther guards against two entries that start at the same time and do
// not know each other until the next poll, 20 s later: if each read the records before the other had
// written its own, neither would send the other a message. An entry must read after it has written.
func TestEntriesThatStartTogetherDiscoverEachOther(t *testing.T) {
	for name, failures := range map[string]int{"first write succeeds": 0, "first writes fail": 4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &slowLog{writeTime: 100 * time.Millisecond, failures: failures}
			g := New(settings.Instance{Name: "a", Bounds: settings.Bounds{RetryWindow: 10 * time.Second}}, nil, log, zap.NewNop(), telemetry.NewMetrics())
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			group.Go(func() { g.publishRecord(ctx) })
			group.Go(func() { g.followEntries(ctx) })
			time.Sleep(3 * time.Second)
			cancel()
			group.Wait()
			log.mu.Lock()
			defer log.mu.Unlock()
			if !log.written || log.readsAfter == 0 {
				t.Errorf("record written: %v; %d of %d reads came after that, want at least one", log.written, log.readsAfter, log.reads)
			}
			if failures == 0 && log.reads != log.readsAfter {
				t.Errorf("%d reads came before the record was written; they cost a call and miss others", log.reads-log.readsAfter)
			}
		})
	}
}

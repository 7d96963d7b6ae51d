package follow_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// log plays a topic whose history can be forgotten and that can be away.
type log struct {
	sharedlog.Log
	mu      sync.Mutex
	first   int64
	records []sharedlog.Record
	away    bool
	reads   int
}

func (l *log) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, sharedlog.Record{Key: key, Value: []byte(value), Offset: int64(len(l.records))})
}

func (l *log) set(change func(l *log)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// Newest pages by single records, and a record comes between the pages.
func (l *log) Newest(_ context.Context, _ sharedlog.Topic, after string) (sharedlog.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return sharedlog.Page{}, errors.New("away")
	}
	newest := make(map[string]sharedlog.Record)
	for _, r := range l.records {
		newest[r.Key] = r
	}
	page := sharedlog.Page{End: int64(len(l.records))}
	for _, key := range []string{"a", "b", "c"} {
		r, ok := newest[key]
		if !ok || key <= after || len(r.Value) == 0 {
			continue
		}
		if len(page.Records) == 1 {
			page.After = page.Records[0].Key
			break
		}
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (l *log) Read(ctx context.Context, _ sharedlog.Topic, from int64, wait time.Duration) (sharedlog.Batch, error) {
	l.mu.Lock()
	l.reads++
	away, first, records := l.away, l.first, l.records
	l.mu.Unlock()
	switch {
	case away:
		return sharedlog.Batch{}, errors.New("away")
	case from < first:
		return sharedlog.Batch{}, sharedlog.ErrExpired
	}
	if int(from) == len(records) {
		select {
		case <-time.After(min(wait, 20*time.Millisecond)):
		case <-ctx.Done():
		}
	}
	return sharedlog.Batch{Records: records[from:], Next: int64(len(records))}, nil
}

// sink keeps the newest value of each key.
type sink struct {
	mu             sync.Mutex
	values         map[string]string
	seen           map[string]bool
	lost, regained int
}

func (s *sink) Apply(r sharedlog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[r.Key] = string(r.Value)
	if s.seen != nil {
		s.seen[r.Key] = true
	}
}

func (s *sink) BeginSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = make(map[string]bool)
}

func (s *sink) EndSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.values {
		if !s.seen[key] {
			delete(s.values, key)
		}
	}
	s.seen = nil
}

func (s *sink) ReadFailed(error) { s.mu.Lock(); defer s.mu.Unlock(); s.lost++ }

func (s *sink) ReadRecovered() { s.mu.Lock(); defer s.mu.Unlock(); s.regained++ }

func (s *sink) losses() int { s.mu.Lock(); defer s.mu.Unlock(); return s.lost }

func (s *sink) returns() int { s.mu.Lock(); defer s.mu.Unlock(); return s.regained }

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.values)
}

func eventually(t *testing.T, want string, s *sink) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); s.text() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %s, want %s", s.text(), want)
		}
	}
}

func start(t *testing.T, l *log, o follow.Options) *sink {
	t.Helper()
	s := &sink{values: make(map[string]string)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow.Run(ctx, l, o, s, zap.NewNop())
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// TestFollowerMissesNothing: pages, records after them, history that goes while
// the log is away, and keys that are dropped meanwhile.
func TestFollowerMissesNothing(t *testing.T) {
	l := &log{}
	l.put("a", "1")
	l.put("b", "1")
	s := start(t, l, follow.Options{Wait: 50 * time.Millisecond})
	eventually(t, "map[a:1 b:1]", s)
	l.put("c", "1")
	eventually(t, "map[a:1 b:1 c:1]", s)
	l.set(func(l *log) { l.away = true })
	for end := time.Now().Add(5 * time.Second); s.losses() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	l.put("b", "")
	l.put("a", "2")
	l.set(func(l *log) { l.away, l.first = false, int64(len(l.records)) })
	eventually(t, "map[a:2 c:1]", s)
	// The records come just before the sink is told that the log is back.
	for end := time.Now().Add(5 * time.Second); s.returns() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost == 0 || s.regained != 1 {
		t.Errorf("lost %d, regained %d", s.lost, s.regained)
	}
}

// TestOthersReadWhenTold: a reader that does not lead makes one read for each
// piece of news, and takes over when it leads.
func TestOthersReadWhenTold(t *testing.T) {
	l := &log{}
	l.put("a", "1")
	news := make(chan struct{}, 1)
	var mu sync.Mutex
	leads := false
	s := start(t, l, follow.Options{
		Wait: 50 * time.Millisecond, Pause: time.Hour, Wake: news,
		IsLeader: func() bool { mu.Lock(); defer mu.Unlock(); return leads },
	})
	eventually(t, "map[a:1]", s)
	l.put("a", "2")
	time.Sleep(100 * time.Millisecond)
	if s.text() != "map[a:1]" {
		t.Fatal("read without news")
	}
	news <- struct{}{}
	eventually(t, "map[a:2]", s)
	l.put("a", "3")
	mu.Lock()
	leads = true
	mu.Unlock()
	eventually(t, "map[a:3]", s)
}

package follow_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// log is a fake shared log with one topic, whose records can expire and which
// can be unavailable.
type log struct {
	sharedlog.Log
	mu          sync.Mutex
	first       int64
	records     []sharedlog.Record
	unavailable bool
	reads       int
	timeline    sharedlog.Timeline
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

// Newest returns pages of one record. Records may be appended between the pages.
func (l *log) Newest(_ context.Context, _ sharedlog.Topic, after string) (sharedlog.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return sharedlog.Page{}, errors.New("log unavailable")
	}
	newest := make(map[string]sharedlog.Record)
	for _, r := range l.records {
		newest[r.Key] = r
	}
	page := sharedlog.Page{Answer: sharedlog.Answer{Timeline: l.timeline}, End: int64(len(l.records))}
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
	unavailable, first, records, timeline := l.unavailable, l.first, l.records, l.timeline
	l.mu.Unlock()
	switch {
	case unavailable:
		return sharedlog.Batch{}, errors.New("log unavailable")
	case from < first:
		return sharedlog.Batch{}, sharedlog.ErrExpired
	}
	if int(from) == len(records) {
		select {
		case <-time.After(min(wait, 20*time.Millisecond)):
		case <-ctx.Done():
		}
	}
	batch := sharedlog.Batch{Answer: sharedlog.Answer{Timeline: timeline}, Next: from, End: int64(len(records))}
	if from < batch.End {
		batch.Records, batch.Next = records[from:], batch.End
	}
	return batch, nil
}

// sink keeps the newest value of each key.
type sink struct {
	mu                          sync.Mutex
	values                      map[string]string
	inSnapshot                  map[string]bool
	failedReads, recoveredReads int
	// restores counts the calls of Restored.
	restores int
}

func (s *sink) Apply(r sharedlog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[r.Key] = string(r.Value)
	if s.inSnapshot != nil {
		s.inSnapshot[r.Key] = true
	}
}

func (s *sink) Restored() { s.mu.Lock(); defer s.mu.Unlock(); s.restores++ }

func (s *sink) BeginSnapshot(sharedlog.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inSnapshot = make(map[string]bool)
}

func (s *sink) EndSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.values {
		if !s.inSnapshot[key] {
			delete(s.values, key)
		}
	}
	s.inSnapshot = nil
}

func (s *sink) ReadFailed(error) { s.mu.Lock(); defer s.mu.Unlock(); s.failedReads++ }

func (s *sink) ReadRecovered() { s.mu.Lock(); defer s.mu.Unlock(); s.recoveredReads++ }

func (s *sink) failures() int { s.mu.Lock(); defer s.mu.Unlock(); return s.failedReads }

func (s *sink) recoveries() int { s.mu.Lock(); defer s.mu.Unlock(); return s.recoveredReads }

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.values)
}

func waitForText(t *testing.T, want string, s *sink) {
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

// TestFollowerAppliesAllRecordsAcrossOutage checks that the follower applies the
// pages of the snapshot and the records after them. During an outage of the log,
// unread records expire and a key is deleted: the follower must read a new
// snapshot, remove the key, and report the recovery once.
func TestFollowerAppliesAllRecordsAcrossOutage(t *testing.T) {
	l := &log{}
	l.put("a", "1")
	l.put("b", "1")
	s := start(t, l, follow.Options{Wait: 50 * time.Millisecond})
	waitForText(t, "map[a:1 b:1]", s)
	l.put("c", "1")
	waitForText(t, "map[a:1 b:1 c:1]", s)
	l.set(func(l *log) { l.unavailable = true })
	for end := time.Now().Add(5 * time.Second); s.failures() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	l.put("b", "")
	l.put("a", "2")
	l.set(func(l *log) { l.unavailable, l.first = false, int64(len(l.records)) })
	waitForText(t, "map[a:2 c:1]", s)
	// The records are applied just before the sink is notified of the recovery.
	for end := time.Now().Add(5 * time.Second); s.recoveries() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedReads == 0 || s.recoveredReads != 1 {
		t.Errorf("%d failed reads, want some; %d recoveries, want 1", s.failedReads, s.recoveredReads)
	}
}

// TestNonLeaderReadsWhenWoken checks that a reader that is not a leader reads
// only when woken, and reads by itself once it becomes a leader.
func TestNonLeaderReadsWhenWoken(t *testing.T) {
	l := &log{}
	l.put("a", "1")
	wake := make(chan struct{}, 1)
	var mu sync.Mutex
	isLeader := false
	s := start(t, l, follow.Options{
		Wait: 50 * time.Millisecond, Pause: func() time.Duration { return time.Hour }, Wake: wake,
		IsLeader: func() bool { mu.Lock(); defer mu.Unlock(); return isLeader },
	})
	waitForText(t, "map[a:1]", s)
	l.put("a", "2")
	time.Sleep(100 * time.Millisecond)
	if s.text() != "map[a:1]" {
		t.Fatal("a reader that is not a leader read without being woken")
	}
	wake <- struct{}{}
	waitForText(t, "map[a:2]", s)
	l.put("a", "3")
	mu.Lock()
	isLeader = true
	mu.Unlock()
	waitForText(t, "map[a:3]", s)
}

// TestWakesAreCoalesced checks that records that arrive close together, each with a signal, are read
// by few calls: otherwise all readers of a large fleet would read each record by itself.
func TestWakesAreCoalesced(t *testing.T) {
	const records, interval, wakePause, maxReads = 40, 10 * time.Millisecond, 200 * time.Millisecond, 4
	l := &log{}
	l.put("a", "0")
	wake := make(chan struct{}, 1)
	s := start(t, l, follow.Options{
		Wait: 50 * time.Millisecond, Pause: func() time.Duration { return time.Hour }, Wake: wake,
		WakePause: func() time.Duration { return wakePause }, IsLeader: func() bool { return false },
	})
	waitForText(t, "map[a:0]", s)
	for n := range records {
		l.put("a", fmt.Sprint(n+1))
		select {
		case wake <- struct{}{}:
		default:
		}
		time.Sleep(interval)
	}
	waitForText(t, fmt.Sprintf("map[a:%d]", records), s)
	reads := 0
	l.set(func(l *log) { reads = l.reads })
	// 0.4 s of records, a pause of at least 0.15 s before each read, and one for the last record
	if reads > maxReads {
		t.Errorf("%d reads of %d records, want at most %d", reads, records, maxReads)
	}
}

// TestRestoredLogIsReadAgain guards against records that are missed after the log was restored from
// an earlier copy: offsets go back and are assigned again to other records. The follower must read a
// snapshot whether the log has grown past the follower's offset again (told by the timeline), is
// still behind it (told by its end), or states no timeline.
func TestRestoredLogIsReadAgain(t *testing.T) {
	for _, c := range []struct {
		name     string
		timeline sharedlog.Timeline
		// added is the number of records that are appended after the restore.
		added int
	}{
		{"grown past the old offset", 2, 5}, {"end at the old offset", 2, 2}, {"end before the old offset", 2, 0},
		{"end before the old offset, no timeline", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &log{timeline: min(c.timeline, 1)}
			l.put("a", "1")
			s := start(t, l, follow.Options{Wait: 50 * time.Millisecond})
			waitForText(t, "map[a:1]", s)
			l.put("a", "2")
			l.put("b", "lost")
			waitForText(t, "map[a:2 b:lost]", s)
			l.set(func(l *log) {
				l.records, l.timeline = l.records[:1:1], c.timeline
				for i := range c.added {
					l.records = append(l.records, sharedlog.Record{Key: "c", Value: fmt.Append(nil, i), Offset: int64(len(l.records))})
				}
			})
			want := "map[a:1]"
			if c.added > 0 {
				want = fmt.Sprintf("map[a:1 c:%d]", c.added-1)
			}
			waitForText(t, want, s)
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.restores != 1 {
				t.Errorf("the sink was notified of %d restores, want 1", s.restores)
			}
		})
	}
}

// TestEachRestoreIsNoticed checks that two restores in a row lead to two snapshots, the second of
// which replaces what was read since the first.
func TestEachRestoreIsNoticed(t *testing.T) {
	l := &log{timeline: 1}
	l.put("a", "1")
	s := start(t, l, follow.Options{Wait: 50 * time.Millisecond})
	waitForText(t, "map[a:1]", s)
	for timeline := sharedlog.Timeline(2); timeline < 4; timeline++ {
		l.put("b", "lost")
		waitForText(t, "map[a:1 b:lost]", s)
		l.set(func(l *log) { l.records, l.timeline = l.records[:1:1], timeline })
		waitForText(t, "map[a:1]", s)
	}
}

// repeatingLog answers one read with the answer to the read before it, as a log does whose second copy
// of an answer arrives when the connection is in use again.
type repeatingLog struct {
	*log
	mu     sync.Mutex
	last   sharedlog.Batch
	repeat bool
}

func (l *repeatingLog) Read(ctx context.Context, topic sharedlog.Topic, from int64, wait time.Duration) (sharedlog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.repeat && len(l.last.Records) > 0 {
		l.repeat = false
		stale := l.last
		stale.Next = from + int64(len(stale.Records)) // the offsets that the follower expects
		return stale, nil
	}
	batch, err := l.log.Read(ctx, topic, from, wait)
	l.last = batch
	return batch, err
}

// TestRepeatedAnswerIsNotAppliedTwice guards against records that replace newer ones because an
// earlier answer is taken for that of another read.
func TestRepeatedAnswerIsNotAppliedTwice(t *testing.T) {
	l := &repeatingLog{log: &log{timeline: 1}}
	l.put("a", "1")
	s := &sink{values: make(map[string]string)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow.Run(ctx, l, follow.Options{Wait: 50 * time.Millisecond}, s, zap.NewNop())
	}()
	defer func() {
		cancel()
		<-done
	}()
	waitForText(t, "map[a:1]", s)
	l.put("a", "2")
	waitForText(t, "map[a:2]", s)
	l.mu.Lock()
	l.last.Records = append([]sharedlog.Record(nil), sharedlog.Record{Key: "a", Value: []byte("1")})
	l.last.End = int64(len(l.records))
	l.repeat = true
	l.mu.Unlock()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if s.text() != "map[a:2]" {
			t.Fatalf("got %s after an earlier answer was repeated, want a:2", s.text())
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.repeat {
		t.Error("no answer was repeated")
	}
}

// silentLog answers no read while it is silent; such a read ends with its timeout, also if the log has
// returned meanwhile.
type silentLog struct {
	*log
	mu     sync.Mutex
	silent bool
}

func (l *silentLog) setSilent(silent bool) { l.mu.Lock(); defer l.mu.Unlock(); l.silent = silent }

// Read implements sharedlog.Log.
func (l *silentLog) Read(ctx context.Context, topic sharedlog.Topic, from int64, wait time.Duration) (sharedlog.Batch, error) {
	l.mu.Lock()
	silent := l.silent
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return sharedlog.Batch{}, ctx.Err()
	}
	return l.log.Read(ctx, topic, from, wait)
}

// TestReadAfterSilenceIsShort guards against a configuration that is in force too late after the log was
// silent: a read that began just before the log returned must not wait for as long as a long poll. The
// operators allow 3 s from the return of the log on.
func TestReadAfterSilenceIsShort(t *testing.T) {
	const longPoll, limit = 1800 * time.Millisecond, 2 * time.Second
	l := &silentLog{log: &log{}}
	l.put("a", "1")
	s := &sink{values: make(map[string]string)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow.Run(ctx, l, follow.Options{Wait: longPoll}, s, zap.NewNop())
	}()
	defer func() {
		cancel()
		<-done
	}()
	waitForText(t, "map[a:1]", s)
	l.setSilent(true)
	for end := time.Now().Add(8 * time.Second); s.failures() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond) // the next read has begun
	l.put("a", "2")
	l.setSilent(false)
	returned := time.Now()
	waitForText(t, "map[a:2]", s)
	if took := time.Since(returned); took > limit {
		t.Errorf("the record was applied %v after the log returned, want at most %v", took, limit)
	}
}

// TestNewLeaderNoticesSoonThatItIsCutOff guards against a configuration that is in force too late after several
// leaders in succession were cut off from the log: each must notice it in its first read, which must not wait for
// as long as a long poll, so that the next one takes over. The operators allow 3 s for all of them.
func TestNewLeaderNoticesSoonThatItIsCutOff(t *testing.T) {
	const longPoll, limit = 1800 * time.Millisecond, 1500 * time.Millisecond
	l := &silentLog{log: &log{}}
	l.put("a", "1")
	s := &sink{values: make(map[string]string)}
	var leader atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow.Run(ctx, l, follow.Options{Wait: longPoll, IsLeader: leader.Load, Pause: func() time.Duration { return time.Minute }}, s, zap.NewNop())
	}()
	defer func() {
		cancel()
		<-done
	}()
	waitForText(t, "map[a:1]", s)
	time.Sleep(100 * time.Millisecond) // it waits to become a leader or for its poll
	l.setSilent(true)
	leader.Store(true)
	became := time.Now()
	for end := became.Add(8 * time.Second); s.failures() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if took := time.Since(became); took > limit {
		t.Errorf("the reader noticed %v after it became a leader that it does not reach the log, want at most %v", took, limit)
	}
}

// TestUrgentRecordsAreReadSoon guards against records that take effect late at a reader that already waits to read
// others, and against a reader that becomes a leader and notices it late.
func TestUrgentRecordsAreReadSoon(t *testing.T) {
	const limit = follow.UrgentPause + 200*time.Millisecond
	for name, leader := range map[string]bool{"urgent": false, "recheck": true} {
		t.Run(name, func(t *testing.T) {
			l := &log{}
			l.put("a", "1")
			wake, urgent, recheck := make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
			var isLeader atomic.Bool
			s := start(t, l, follow.Options{
				Wait: 50 * time.Millisecond, Pause: func() time.Duration { return time.Hour }, IsLeader: isLeader.Load,
				Wake: wake, WakePause: func() time.Duration { return time.Hour }, Urgent: urgent, Recheck: recheck,
			})
			waitForText(t, "map[a:1]", s)
			wake <- struct{}{}
			time.Sleep(20 * time.Millisecond)
			l.put("a", "2")
			began := time.Now()
			if isLeader.Store(leader); leader {
				recheck <- struct{}{}
			} else {
				urgent <- struct{}{}
			}
			waitForText(t, "map[a:2]", s)
			if took := time.Since(began); took > limit {
				t.Errorf("the record was read after %v, want at most %v", took, limit)
			}
		})
	}
}

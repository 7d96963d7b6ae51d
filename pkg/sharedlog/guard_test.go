package sharedlog_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// statedLog answers each read with the timeline that it is told to state.
type statedLog struct {
	sharedlog.Log
	stated string
	// inCall, if set, runs before the next answer.
	inCall func()
}

func (l *statedLog) Read(context.Context, sharedlog.Topic, int64, time.Duration) (sharedlog.Batch, error) {
	answer := sharedlog.Batch{Answer: sharedlog.Answer{StatedTimeline: l.stated}}
	if run := l.inCall; run != nil {
		l.inCall = nil
		run()
	}
	return answer, nil
}

// TestTimelinesOfAnswers checks which timeline the answers have, one after the other. A missing or
// malformed timeline must change nothing, and must be logged once with its value.
func TestTimelinesOfAnswers(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	log := &statedLog{}
	guard := sharedlog.NewGuard(log, zap.New(core))
	for _, c := range []struct {
		stated string
		want   sharedlog.Timeline
		logged int
	}{
		{"", 0, 1}, {"", 0, 1},
		{"3", 3, 1}, {"3", 3, 1},
		{"4", 4, 2},
		{"x", 4, 3}, {"x", 4, 3}, {"4.5", 4, 4}, {"-1", 4, 5}, {"0", 4, 6},
		{"99999999999999999999", 4, 7}, {"32768", 4, 8}, {"20000", 4, 9},
		{"5", 5, 10},
		{"2", 2, 11}, // the log itself has gone back
	} {
		log.stated = c.stated
		batch, err := guard.Read(context.Background(), sharedlog.Servers, 0, 0)
		if err != nil || batch.Timeline != c.want {
			t.Errorf("stated %q: timeline %d, error %v; want %d", c.stated, batch.Timeline, err, c.want)
		}
		if logs.Len() != c.logged {
			t.Errorf("stated %q: %d log lines, want %d", c.stated, logs.Len(), c.logged)
		}
	}
	if value := logs.All()[2].ContextMap()["statedTimeline"]; value != "x" {
		t.Errorf("the line about a malformed timeline names %q, want x", value)
	}
}

// TestLateAnswerOfReplacedTimelineIsRejected guards against an answer that was sent before a restore
// of the log and arrives after another call has observed the restore.
func TestLateAnswerOfReplacedTimelineIsRejected(t *testing.T) {
	log := &statedLog{stated: "1"}
	guard := sharedlog.NewGuard(log, zap.NewNop())
	read := func() (sharedlog.Batch, error) {
		return guard.Read(context.Background(), sharedlog.Servers, 0, 0)
	}
	if _, err := read(); err != nil {
		t.Fatal(err)
	}
	log.inCall = func() {
		log.stated = "2"
		if batch, err := read(); err != nil || batch.Timeline != 2 {
			t.Errorf("the answer after the restore: timeline %d, %v; want 2", batch.Timeline, err)
		}
	}
	if batch, err := read(); !errors.Is(err, sharedlog.ErrStale) {
		t.Errorf("a late answer of timeline 1 was accepted: %+v, %v", batch, err)
	}
	if batch, err := read(); err != nil || batch.Timeline != 2 {
		t.Errorf("the next answer: timeline %d, %v; want 2", batch.Timeline, err)
	}
}

// TestPositionsAreOrderedByTimeline checks that an offset of a later timeline is later than every
// offset of an earlier one.
func TestPositionsAreOrderedByTimeline(t *testing.T) {
	for _, c := range []struct {
		p, other sharedlog.Position
		want     bool
	}{
		{sharedlog.Position{Timeline: 2, Next: 5}, sharedlog.Position{Timeline: 1, Next: 90}, true},
		{sharedlog.Position{Timeline: 1, Next: 90}, sharedlog.Position{Timeline: 2, Next: 5}, false},
		{sharedlog.Position{Timeline: 2, Next: 6}, sharedlog.Position{Timeline: 2, Next: 5}, true},
		{sharedlog.Position{Timeline: 2, Next: 5}, sharedlog.Position{Timeline: 2, Next: 5}, false},
	} {
		if got := c.p.After(c.other); got != c.want {
			t.Errorf("%+v after %+v: %v, want %v", c.p, c.other, got, c.want)
		}
	}
}

package gateway

import (
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// topic is this entry's read progress in a topic of the shared log. Two entries long-poll the
// log; the others read when a message reports a later position, so that the calls to the log do
// not grow with the number of entries.
type topic struct {
	mu   sync.Mutex
	next sharedlog.Position
	wake chan struct{}
}

func newTopic() *topic { return &topic{wake: make(chan struct{}, 1)} }

func (t *topic) setPosition(next sharedlog.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = next
}

func (t *topic) position() sharedlog.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// observe wakes the reader if another entry has read further than this one, or has read the log
// after a restore that this entry has not noticed yet. A position without a timeline is compared by
// its offset only.
func (t *topic) observe(next sharedlog.Position) {
	own := t.position()
	if next.Timeline == 0 {
		next.Timeline = own.Timeline
	}
	if !next.After(own) {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (g *Gateway) topicOptions(name sharedlog.Topic) follow.Options {
	t := g.topics[name]
	return follow.Options{
		Topic: name, Wait: longPollWait, Pause: g.pollInterval(topicPollInterval),
		IsLeader: g.isLogReader, Wake: t.wake, WakePause: g.wakePause, OnProgress: t.setPosition,
	}
}

// pollInterval returns the time between two polls that only make up for lost messages. Beyond
// maxPollingEntries it grows with the fleet, so that the total rate of these calls stays constant.
func (g *Gateway) pollInterval(interval time.Duration) func() time.Duration {
	return func() time.Duration {
		return interval * time.Duration(max(g.otherEntries(), maxPollingEntries)) / maxPollingEntries
	}
}

// wakePause returns the time from the message that reports newer records to the read of them: half of
// the time between the messages of one entry.
func (g *Gateway) wakePause() time.Duration { return stateInterval(g.otherEntries()) / 2 }

func (g *Gateway) otherEntries() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peerAddresses)
}

// isLogReader reports whether this entry is one of those that long-poll the shared log.
func (g *Gateway) isLogReader() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.IsLogReader(time.Now(), logReaders)
}

// progress returns the next offset to read of each topic and the timeline that it belongs to, by
// topic name.
func (g *Gateway) progress() (offsets, timelines map[string]int64) {
	offsets, timelines = make(map[string]int64, len(g.topics)), make(map[string]int64, len(g.topics))
	for name, t := range g.topics {
		next := t.position()
		offsets[name.String()] = next.Next
		if next.Timeline > 0 {
			timelines[name.String()] = int64(next.Timeline)
		}
	}
	return offsets, timelines
}

func (g *Gateway) observeProgress(offsets, timelines map[string]int64) {
	for name, t := range g.topics {
		t.observe(sharedlog.Position{Timeline: sharedlog.Timeline(timelines[name.String()]), Next: offsets[name.String()]})
	}
}

func (g *Gateway) setLogReachable(reachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logReachable = reachable
}

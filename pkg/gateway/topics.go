package gateway

import (
	"sync/atomic"
	"time"

	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// topic is this entry's read progress in a topic of the shared log. Two entries long-poll the
// log; the others read when a message reports a higher offset, so that the calls to the log do
// not grow with the number of entries.
type topic struct {
	nextOffset atomic.Int64
	wake       chan struct{}
}

func newTopic() *topic { return &topic{wake: make(chan struct{}, 1)} }

// observe wakes the reader if another entry has read further than this one.
func (t *topic) observe(next int64) {
	if next <= t.nextOffset.Load() {
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
		Topic: name, Wait: longPollWait, Pause: topicPollInterval,
		IsLeader: g.isLogReader, Wake: t.wake, OnProgress: t.nextOffset.Store,
	}
}

// isLogReader reports whether this entry is one of those that long-poll the shared log.
func (g *Gateway) isLogReader() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.IsLogReader(time.Now(), logReaders)
}

// progress returns the next offset to read of each topic, by topic name.
func (g *Gateway) progress() map[string]int64 {
	next := make(map[string]int64, len(g.topics))
	for name, t := range g.topics {
		next[name.String()] = t.nextOffset.Load()
	}
	return next
}

func (g *Gateway) observeProgress(next map[string]int64) {
	for name, t := range g.topics {
		t.observe(next[name.String()])
	}
}

func (g *Gateway) setLogReachable(reachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logReachable = reachable
}

package gateway

import (
	"sync/atomic"
	"time"

	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// topic is how far this entry has read a topic of the shared log. Two entries
// wait at the log; the others read when a message tells of something newer, so
// that the calls to the log don't grow with the number of entries.
type topic struct {
	nextOffset atomic.Int64
	updates    chan struct{}
}

func newTopic() *topic { return &topic{updates: make(chan struct{}, 1)} }

// observe takes how far another entry has read.
func (t *topic) observe(next int64) {
	if next <= t.nextOffset.Load() {
		return
	}
	select {
	case t.updates <- struct{}{}:
	default:
	}
}

func (g *Gateway) topicOptions(name sharedlog.Topic) follow.Options {
	t := g.topics[name]
	return follow.Options{
		Topic: name, Wait: longPollWait, Pause: topicPollInterval,
		IsLeader: g.isLogReader, Wake: t.updates, OnProgress: t.nextOffset.Store,
	}
}

func (g *Gateway) isLogReader() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.IsLogReader(time.Now(), logReaders)
}

// progress returns how far the topics are read, by name.
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

func (g *Gateway) setLogReachable(reads bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logReachable = reads
}

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
	next atomic.Int64
	news chan struct{}
}

func newTopic() *topic { return &topic{news: make(chan struct{}, 1)} }

// hear takes how far another entry has read.
func (t *topic) hear(next int64) {
	if next <= t.next.Load() {
		return
	}
	select {
	case t.news <- struct{}{}:
	default:
	}
}

func (g *Gateway) topicOptions(name sharedlog.Topic) follow.Options {
	t := g.topics[name]
	return follow.Options{
		Topic: name, Wait: topicWait, Pause: topicPause,
		IsLeader: g.leads, Wake: t.news, OnProgress: t.next.Store,
	}
}

func (g *Gateway) leads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.IsLogReader(time.Now(), readers)
}

// progress returns how far the topics are read, by name.
func (g *Gateway) progress() map[string]int64 {
	next := make(map[string]int64, len(g.topics))
	for name, t := range g.topics {
		next[name.String()] = t.next.Load()
	}
	return next
}

func (g *Gateway) hearProgress(next map[string]int64) {
	for name, t := range g.topics {
		t.hear(next[name.String()])
	}
}

func (g *Gateway) setReads(reads bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads = reads
}

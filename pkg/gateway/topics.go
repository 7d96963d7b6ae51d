package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// topic is this entry's read progress in a topic of the shared log. A few entries long-poll the
// log; the others read when a message reports a later position, so that the calls to the log do
// not grow with the number of entries.
type topic struct {
	mu   sync.Mutex
	next sharedlog.Position
	// changed is true if the records of the current read change what this entry does with requests.
	// urgentUntil is until when messages tell others not to read these records late.
	changed     bool
	urgentUntil time.Time
	// drainFound is true if the records of the current read name servers that drain. The next messages hold
	// these servers, so that others need not read the records at once.
	drainFound bool
	// wake, urgent and recheck are the signals of follow.Options.
	wake, urgent, recheck chan struct{}
}

func newTopic() *topic {
	return &topic{wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1), recheck: make(chan struct{}, 1)}
}

// signal sends on a channel of a buffer of one, unless a signal is pending.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// markChanged records that a record of the current read changes what this entry does with requests.
func (t *topic) markChanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = true
}

// markDrainFound records that a record of the current read names a server that drains.
func (t *topic) markDrainFound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainFound = true
}

// endRead reports whether the others must be told at once of records of the read that has ended. Those that
// were marked as changed become urgent.
func (t *topic) endRead(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tell := t.changed || t.drainFound
	if t.changed {
		t.urgentUntil = now.Add(urgentRepeat)
	}
	t.changed, t.drainFound = false, false
	return tell
}

func (t *topic) isUrgent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.urgentUntil)
}

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
// its offset only. urgent is true if the records must not be read late.
func (t *topic) observe(next sharedlog.Position, urgent bool) {
	own := t.position()
	if next.Timeline == 0 {
		next.Timeline = own.Timeline
	}
	switch {
	case !next.After(own):
	case urgent:
		signal(t.urgent)
	default:
		signal(t.wake)
	}
}

func (g *Gateway) topicOptions(name sharedlog.Topic) follow.Options {
	t := g.topics[name]
	// One topic suffices to notice that the log does not answer this entry.
	isMonitor := func() bool { return name == sharedlog.Operators && g.isLogMonitor() }
	return follow.Options{
		Topic: name, Wait: longPollWait, MonitorWait: monitorWait, IsMonitor: isMonitor, Pause: g.pollInterval(topicPollInterval),
		IsLeader: g.isLogReader, Wake: t.wake, WakePause: g.wakePause, Urgent: t.urgent, Recheck: t.recheck,
		OnProgress: func(next sharedlog.Position) {
			t.setPosition(next)
			if t.endRead(time.Now()) && g.isLogReader() {
				g.sendState()
			}
		},
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

// isLogMonitor reports whether this entry notices on behalf of all that the shared log does not answer.
func (g *Gateway) isLogMonitor() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.IsLogMonitor(time.Now())
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

func (g *Gateway) observeProgress(offsets, timelines map[string]int64, urgent []string) {
	for name, t := range g.topics {
		next := sharedlog.Position{Timeline: sharedlog.Timeline(timelines[name.String()]), Next: offsets[name.String()]}
		t.observe(next, slices.Contains(urgent, name.String()))
	}
}

// urgentTopics returns the names of the topics that others must not read late.
func (g *Gateway) urgentTopics(now time.Time) []string {
	var names []string
	for name, t := range g.topics {
		if t.isUrgent(now) {
			names = append(names, name.String())
		}
	}
	return names
}

// setReadable records whether this entry can read a topic. If it does not reach the log any more, it tells the others
// at once, so that they replace it as a log reader.
func (g *Gateway) setReadable(name sharedlog.Topic, readable bool) {
	g.mu.Lock()
	before := g.logReachable()
	if readable {
		delete(g.unreadable, name)
	} else {
		g.unreadable[name] = true
	}
	lost := before && !g.logReachable()
	g.mu.Unlock()
	if lost {
		g.sendState()
	}
}

// logReachable reports whether this entry can read all topics. The caller holds mu.
func (g *Gateway) logReachable() bool { return len(g.unreadable) == 0 }

// recheckReaders makes the readers of all topics check whether this entry has become a log reader.
func (g *Gateway) recheckReaders() {
	for _, t := range g.topics {
		signal(t.recheck)
	}
}

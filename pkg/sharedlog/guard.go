package sharedlog

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// ErrStale means that an answer belongs to a timeline that has been replaced since the call began:
// the log was restored meanwhile, and what the answer says may be undone.
var ErrStale = errors.New("the answer is older than the last restore of the log; repeat the call")

const (
	// MaxTimeline is the highest valid timeline. Fences contain the timeline in 15 bits.
	MaxTimeline Timeline = 1<<15 - 1
	// maxTimelineStep bounds how much the timeline may rise between two answers. Each restore
	// raises it by one, so a larger step is a malformed value.
	maxTimelineStep = 1 << 10
	// maxLoggedValues bounds the malformed timelines that are logged, each of them once.
	maxLoggedValues = 16
)

// Guard is a Log that determines the timeline of each answer and rejects answers of replaced
// timelines with ErrStale. All calls of a process must share one Guard: a restore that one call
// observes invalidates the answers to all calls that are in progress. It is safe for concurrent use.
type Guard struct {
	log    Log
	logger *zap.Logger

	mu      sync.Mutex
	current Timeline
	// changes counts the changes of current.
	changes int
	// logged holds the malformed and falling timelines that have been logged.
	logged        map[string]bool
	missingLogged bool
}

// NewGuard returns a guard of the log.
func NewGuard(log Log, logger *zap.Logger) *Guard {
	return &Guard{log: log, logger: logger, logged: make(map[string]bool)}
}

// Newest implements Log.
func (g *Guard) Newest(ctx context.Context, topic Topic, after string) (Page, error) {
	began := g.begin()
	page, err := g.log.Newest(ctx, topic, after)
	if err == nil {
		page.Timeline, err = g.admit(began, page.StatedTimeline)
	}
	return page, err
}

// Read implements Log.
func (g *Guard) Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Batch, error) {
	began := g.begin()
	batch, err := g.log.Read(ctx, topic, from, wait)
	if err == nil {
		batch.Timeline, err = g.admit(began, batch.StatedTimeline)
	}
	return batch, err
}

// Put implements Log. A write that was acknowledged before a restore may be undone by it: the writer
// has to write again when it follows a topic and its sink is notified of the restore.
func (g *Guard) Put(ctx context.Context, topic Topic, key string, value []byte) error {
	return g.log.Put(ctx, topic, key, value)
}

// Elect implements Log.
func (g *Guard) Elect(ctx context.Context, election, member string, ttl time.Duration, last Ownership) (Ownership, error) {
	began := g.begin()
	o, err := g.log.Elect(ctx, election, member, ttl, last)
	if err == nil {
		o.Timeline, err = g.admit(began, o.StatedTimeline)
	}
	return o, err
}

// Resign implements Log.
func (g *Guard) Resign(ctx context.Context, election, member string) error {
	return g.log.Resign(ctx, election, member)
}

// begin returns the number of changes of the timeline at the start of a call.
func (g *Guard) begin() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

// admit returns the timeline of an answer to a call that began after a number of changes. An answer
// that states a lower timeline than the current one is stale if the call began before the current
// timeline was known; otherwise the log itself has gone back, which is a new timeline as well.
func (g *Guard) admit(began int, stated string) (Timeline, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	timeline, ok := g.parse(stated)
	switch {
	case !ok || timeline == g.current:
		return g.current, nil
	case timeline < g.current && began != g.changes:
		return 0, errors.Wrapf(ErrStale, "timeline %d, the current one is %d", timeline, g.current)
	case timeline < g.current:
		g.logOnce("the log states a lower timeline than before; its records are read again", stated)
	case g.current > 0:
		g.logger.Warn("the log was restored from an earlier copy; its records are read again",
			zap.Int64("timeline", int64(timeline)), zap.Int64("previousTimeline", int64(g.current)))
	}
	g.current = timeline
	g.changes++
	return timeline, nil
}

// parse returns a stated timeline, or false if it is missing or malformed. g.mu must be held.
func (g *Guard) parse(stated string) (Timeline, bool) {
	if stated == "" {
		g.logMissing()
		return 0, false
	}
	n, err := strconv.ParseInt(stated, 10, 64)
	t := Timeline(n)
	if err != nil || t <= 0 || t > MaxTimeline || g.current > 0 && t > g.current+maxTimelineStep {
		g.logOnce("ignored a malformed timeline: want an integer that rises by one with each restore", stated)
		return 0, false
	}
	return t, true
}

// logMissing logs once that answers state no timeline. g.mu must be held.
func (g *Guard) logMissing() {
	if !g.missingLogged {
		g.missingLogged = true
		g.logger.Info("the log states no timeline; restores are detected only by its offsets")
	}
}

// logOnce logs a value unless it has been logged before. g.mu must be held.
func (g *Guard) logOnce(message, stated string) {
	if g.logged[stated] || len(g.logged) >= maxLoggedValues {
		return
	}
	g.logged[stated] = true
	g.logger.Warn(message, zap.String("statedTimeline", stated), zap.Int64("timeline", int64(g.current)), zap.Int64("maxTimeline", int64(MaxTimeline)))
}

package entry

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuehub/fescuehub/pkg/configuration"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/report"
)

const (
	burnShards = 8
	// burnSeriesPerShard bounds the memory used by the counts of organisations.
	burnSeriesPerShard = 2048
	// configurationService is the service name under which the configuration objective is
	// counted.
	configurationService = "configuration"
	// offsetInterval is how often the configuration offset is polled.
	offsetInterval = 200 * time.Millisecond
)

// burn counts the events of the entry's service-level objectives, sharded by organisation. It
// is safe for concurrent use.
type burn struct {
	shards [burnShards]burnShard
}

type burnShard struct {
	mu      sync.Mutex
	counter *report.Counter
}

func newBurn() *burn {
	b := &burn{}
	for i := range b.shards {
		b.shards[i].counter = report.NewCounter(burnSeriesPerShard)
	}
	return b
}

// objectiveCount is the contribution of a request to one objective.
type objectiveCount struct {
	objective report.Objective
	count     report.Count
}

// add counts events of one service and one organisation.
func (b *burn) add(now time.Time, service, organisation string, counts ...objectiveCount) {
	s := &b.shards[xxhash.Sum64String(organisation)%burnShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range counts {
		s.counter.Add(now, service, organisation, c.objective, c.count)
	}
}

// snapshot returns the counts of all shards.
func (b *burn) snapshot(now time.Time, entry string) report.Snapshot {
	parts := make([]report.Snapshot, burnShards)
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		parts[i] = s.counter.Snapshot(now, entry)
		s.mu.Unlock()
	}
	return report.MergeSnapshots(now, entry, parts)
}

// countRequest counts a finished request. A request that failed by the caller's fault is not
// counted.
func (b *burn) countRequest(x *exchange, err error) {
	if err != nil && isCallerFault(problem.Of(err).Kind) {
		return
	}
	answered := report.Count{Total: 1}
	if err == nil {
		answered.Good = 1
	}
	objective := report.Answers
	if x.call != nil {
		objective = report.Writes
	}
	counts := []objectiveCount{{objective, answered}}
	if x.stream {
		counts = append(counts,
			objectiveCount{report.FirstToken, x.tokens.firstToken()},
			objectiveCount{report.BetweenTokens, x.tokens.between})
	}
	b.add(time.Now(), x.route.Name, x.organisation.Name, counts...)
}

func isCallerFault(kind problem.Kind) bool {
	switch kind {
	case problem.BadRequest, problem.TooLarge, problem.UnknownRoute, problem.UnknownOrganisation,
		problem.KeyReused, problem.KeyExpired, problem.KeyUndated, problem.CallerGone:
		return true
	}
	return false
}

// tokenTimer is a response writer that records when the events of a streamed answer are sent.
// Each event counts as one token.
type tokenTimer struct {
	http.ResponseWriter
	start           time.Time
	lastEvent       time.Time
	firstEventDelay time.Duration
	between         report.Count
}

func newTokenTimer(w http.ResponseWriter) *tokenTimer {
	return &tokenTimer{ResponseWriter: w, start: time.Now()}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *tokenTimer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *tokenTimer) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data)
	if err == nil && !bytes.HasPrefix(data, []byte("event: error")) {
		w.recordEvents(time.Now(), bytes.Count(data, []byte("data: "))-bytes.Count(data, []byte(engine.DoneMarker)))
	}
	return n, err
}

// recordEvents counts events that were sent together. The time since the previous event is
// divided equally among them.
func (w *tokenTimer) recordEvents(now time.Time, events int) {
	if events <= 0 {
		return
	}
	if w.lastEvent.IsZero() {
		w.firstEventDelay = now.Sub(w.start)
		w.lastEvent = now
		events--
	}
	if events > 0 && now.Sub(w.lastEvent) <= time.Duration(events)*report.BetweenTokensBound {
		w.between.Good += int64(events)
	}
	w.between.Total += int64(events)
	w.lastEvent = now
}

// firstToken returns the first-token count. A stream without a token counts as not good.
func (w *tokenTimer) firstToken() report.Count {
	count := report.Count{Total: 1}
	if !w.lastEvent.IsZero() && w.firstEventDelay <= report.FirstTokenBound {
		count.Good = 1
	}
	return count
}

// measureConfigurationDelay counts, until ctx ends, whether each configuration record came into
// force here in time after the log accepted it. Records that came into force before the entry
// was ready are not counted.
func (e *Entry) measureConfigurationDelay(ctx context.Context, client *logservice.Client) error {
	ticker := time.NewTicker(offsetInterval)
	defer ticker.Stop()
	lastOffset := int64(-1)
	ready := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		offset := e.config.View().State.Offset
		if ready && offset > lastOffset {
			e.countConfigurationDelay(ctx, client, lastOffset+1, offset, now)
		}
		lastOffset = offset
		ready = e.notReady() == nil
	}
}

// countConfigurationDelay reads from the log when it accepted the records from..to, which are
// now in force. If the log cannot be read, they are not counted.
func (e *Entry) countConfigurationDelay(ctx context.Context, client *logservice.Client, from, to int64, now time.Time) {
	page, err := client.Read(ctx, configuration.Stream, from, int(to-from+1), 0)
	if err != nil {
		e.scope.Counter("configuration_times_unknown").Inc(1)
		return
	}
	for _, r := range page.Records {
		count := report.Count{Total: 1}
		if now.Sub(time.UnixMilli(r.TimeMS)) <= report.ConfigurationBound {
			count.Good = 1
		}
		e.burn.add(now, configurationService, "", objectiveCount{report.Configuration, count})
	}
}

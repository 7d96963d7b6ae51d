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
	// burnSeriesPerShard bounds the memory of the counts of organisations.
	burnSeriesPerShard = 2048
	// configurationService is the name under which the configuration objective
	// is counted.
	configurationService = "configuration"
	// offsetInterval is how often the offset in force is looked at.
	offsetInterval = 200 * time.Millisecond
)

// burn counts the service-level events of the entry, in shards by organisation.
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

// objectiveCount is the part of a request that belongs to one objective.
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

// request counts the end of a request. A fault of the caller does not count.
func (b *burn) request(x *exchange, err error) {
	if err != nil && callersFault(problem.Of(err).Kind) {
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
			objectiveCount{report.FirstToken, x.watch.firstToken()},
			objectiveCount{report.BetweenTokens, x.watch.between})
	}
	b.add(time.Now(), x.route.Name, x.organisation.Name, counts...)
}

func callersFault(kind problem.Kind) bool {
	switch kind {
	case problem.BadRequest, problem.TooLarge, problem.UnknownRoute, problem.UnknownOrganisation,
		problem.KeyReused, problem.KeyExpired, problem.KeyUndated, problem.CallerGone:
		return true
	}
	return false
}

// streamWatch notes when the events of a streamed answer are sent. An event
// counts as one token.
type streamWatch struct {
	http.ResponseWriter
	start   time.Time
	last    time.Time
	first   time.Duration
	between report.Count
}

func newStreamWatch(w http.ResponseWriter) *streamWatch {
	return &streamWatch{ResponseWriter: w, start: time.Now()}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *streamWatch) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *streamWatch) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data)
	if err == nil && !bytes.HasPrefix(data, []byte("event: error")) {
		w.note(time.Now(), bytes.Count(data, []byte("data: "))-bytes.Count(data, []byte(engine.DoneMarker)))
	}
	return n, err
}

// note counts events that were sent together. Each is taken to have had an
// equal part of the time since the one before.
func (w *streamWatch) note(now time.Time, events int) {
	if events <= 0 {
		return
	}
	if w.last.IsZero() {
		w.first = now.Sub(w.start)
		w.last = now
		events--
	}
	if events > 0 && now.Sub(w.last) <= time.Duration(events)*report.BetweenTokensBound {
		w.between.Good += int64(events)
	}
	w.between.Total += int64(events)
	w.last = now
}

// firstToken counts the first token, which is not good where none came.
func (w *streamWatch) firstToken() report.Count {
	count := report.Count{Total: 1}
	if !w.last.IsZero() && w.first <= report.FirstTokenBound {
		count.Good = 1
	}
	return count
}

// watchConfiguration counts how long after the log took an edit it was in force
// here, until ctx ends. Edits from before the entry was ready do not count.
func (e *Entry) watchConfiguration(ctx context.Context, client *logservice.Client) error {
	ticker := time.NewTicker(offsetInterval)
	defer ticker.Stop()
	seen := int64(-1)
	ready := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		offset := e.config.View().State.Offset
		if ready && offset > seen {
			e.countConfiguration(ctx, client, seen+1, offset, now)
		}
		seen = offset
		ready = e.notReady() == nil
	}
}

// countConfiguration reads when the log took the records that are now in force.
// Without the log they are not counted.
func (e *Entry) countConfiguration(ctx context.Context, client *logservice.Client, from, to int64, now time.Time) {
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

package report

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Others is the organisation of the series that combines all organisations above the limit.
	Others = "(others)"

	// historyStep and historySteps are the resolution and the number of steps of the history of
	// each service.
	historyStep  = 5 * time.Minute
	historySteps = 72
)

// Key identifies a series. Organisation is empty for the total of a service.
type Key struct {
	Service      string    `json:"service"`
	Organisation string    `json:"organisation,omitempty"`
	Objective    Objective `json:"objective"`
}

// Series holds the counts of one key over the windows.
type Series struct {
	Key
	Windows [windowCount]Count `json:"windows"`
	// History holds the counts of the last 6 h in steps of 5 min, oldest first. It is set only for
	// the total of a service.
	History []Count `json:"history,omitempty"`
}

// Snapshot holds the counts of one entry.
type Snapshot struct {
	Entry  string    `json:"entry"`
	At     time.Time `json:"at"`
	Series []Series  `json:"series"`
}

// Counter counts events in sliding windows by service, organisation and objective.
type Counter struct {
	limit   int
	series  map[Key]*series
	history map[Key]*history
}

type series struct {
	windows   [windowCount]slidingCount
	lastEvent time.Time
}

// history is a ring buffer of the counts of the last historySteps steps. Steps are numbered since
// the Unix epoch.
type history struct {
	lastStep int64
	counts   [historySteps]Count
}

// NewCounter returns a counter that adds series of further organisations only while it holds fewer
// than limit series. Above the limit, organisations are counted together as Others.
func NewCounter(limit int) *Counter {
	return &Counter{limit: limit, series: make(map[Key]*series), history: make(map[Key]*history)}
}

// Add counts events of an objective for the service and, unless it is empty, the organisation.
func (c *Counter) Add(now time.Time, service, organisation string, o Objective, count Count) {
	if count.Total == 0 {
		return
	}
	total := Key{Service: service, Objective: o}
	c.seriesFor(now, total).add(now, count)
	c.historyFor(total).add(now, count)
	if organisation != "" {
		c.seriesFor(now, Key{service, organisation, o}).add(now, count)
	}
}

// Len returns the number of series.
func (c *Counter) Len() int { return len(c.series) }

// seriesFor returns the series of a key. At the limit it drops idle series to add that of a new
// organisation; if none is idle, it returns the series of Others.
func (c *Counter) seriesFor(now time.Time, key Key) *series {
	if s, ok := c.series[key]; ok {
		return s
	}
	if len(c.series) >= c.limit && key.Organisation != Others && key.Organisation != "" {
		if !c.dropIdle(now) {
			return c.seriesFor(now, Key{key.Service, Others, key.Objective})
		}
	}
	s := &series{}
	c.series[key] = s
	return s
}

// dropIdle removes the series without an event in twice the longest window and reports whether it
// removed any.
func (c *Counter) dropIdle(now time.Time) bool {
	before := len(c.series)
	for key, s := range c.series {
		if now.Sub(s.lastEvent) > 2*Windows[windowCount-1] {
			delete(c.series, key)
		}
	}
	return len(c.series) < before
}

func (s *series) add(now time.Time, count Count) {
	s.lastEvent = now
	for i := range s.windows {
		s.windows[i].add(now, Windows[i], count)
	}
}

func (c *Counter) historyFor(key Key) *history {
	h, ok := c.history[key]
	if !ok {
		h = &history{}
		c.history[key] = h
	}
	return h
}

func (h *history) add(now time.Time, count Count) {
	h.advance(now)
	h.counts[h.lastStep%historySteps].Add(count)
}

// advance makes the step of now the last one and clears the counts of the steps after the
// previous last one.
func (h *history) advance(now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	for n := min(step-h.lastStep, historySteps); n > 0; n-- {
		h.counts[(step-n+1)%historySteps] = Count{}
	}
	h.lastStep = max(h.lastStep, step)
}

// read returns the counts of all steps, oldest first.
func (h *history) read(now time.Time) []Count {
	h.advance(now)
	out := make([]Count, historySteps)
	for i := range out {
		out[i] = h.counts[(h.lastStep+1+int64(i))%historySteps]
	}
	return out
}

// Snapshot returns the counts of every series with events in the longest window, sorted by key.
func (c *Counter) Snapshot(now time.Time, entry string) Snapshot {
	out := Snapshot{Entry: entry, At: now}
	for key, s := range c.series {
		row := Series{Key: key}
		for i := range s.windows {
			row.Windows[i] = s.windows[i].read(now, Windows[i])
		}
		if row.Windows[windowCount-1].Total == 0 {
			continue
		}
		if h, ok := c.history[key]; ok {
			row.History = h.read(now)
		}
		out.Series = append(out.Series, row)
	}
	sortSeries(out.Series)
	return out
}

func sortSeries(list []Series) {
	slices.SortFunc(list, func(a, b Series) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Organisation, b.Organisation),
			cmp.Compare(slices.Index(Objectives, a.Objective), slices.Index(Objectives, b.Objective)),
		)
	})
}

// MergeSnapshots sums the snapshots of the counters of one entry.
func MergeSnapshots(now time.Time, entry string, parts []Snapshot) Snapshot {
	merged := make(map[Key]*Series)
	for _, p := range parts {
		for _, row := range p.Series {
			mergeSeries(merged, row)
		}
	}
	out := Snapshot{Entry: entry, At: now}
	for _, s := range merged {
		out.Series = append(out.Series, *s)
	}
	sortSeries(out.Series)
	return out
}

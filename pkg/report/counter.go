package report

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Others stands for the organisations that are not counted on their own.
	Others = "(others)"

	// historyStep and historySteps are the resolution and the length of the
	// history that is kept for each service.
	historyStep  = 5 * time.Minute
	historySteps = 72
)

// Key names a series. Organisation is empty for a service as a whole.
type Key struct {
	Service      string    `json:"service"`
	Organisation string    `json:"organisation,omitempty"`
	Objective    Objective `json:"objective"`
}

// Series are the counts of one key over the windows.
type Series struct {
	Key
	Windows [windowCount]Count `json:"windows"`
	// History has the counts of the last 6 h in steps of 5 min, oldest first,
	// for a service as a whole.
	History []Count `json:"history,omitempty"`
}

// Snapshot is what one entry counted.
type Snapshot struct {
	Entry  string    `json:"entry"`
	At     time.Time `json:"at"`
	Series []Series  `json:"series"`
}

// Counter holds the series of one entry.
type Counter struct {
	limit   int
	series  map[Key]*series
	history map[Key]*history
}

type series struct {
	windows [windowCount]sliding
	last    time.Time
}

type history struct {
	step   int64
	counts [historySteps]Count
}

// NewCounter returns a counter that holds at most limit series of organisations.
// Past it, organisations are counted together as Others.
func NewCounter(limit int) *Counter {
	return &Counter{limit: limit, series: make(map[Key]*series), history: make(map[Key]*history)}
}

// Add counts events of a service and an organisation.
func (c *Counter) Add(now time.Time, service, organisation string, o Objective, count Count) {
	if count.Total == 0 {
		return
	}
	whole := Key{Service: service, Objective: o}
	c.of(now, whole).add(now, count)
	c.historyOf(whole).add(now, count)
	if organisation != "" {
		c.of(now, Key{service, organisation, o}).add(now, count)
	}
}

// Len returns the number of series.
func (c *Counter) Len() int { return len(c.series) }

// of returns the series of a key. A full counter first drops the series whose
// last event is out of every window, then counts new organisations together.
func (c *Counter) of(now time.Time, key Key) *series {
	if s, ok := c.series[key]; ok {
		return s
	}
	if len(c.series) >= c.limit && key.Organisation != Others && key.Organisation != "" {
		if !c.drop(now) {
			return c.of(now, Key{key.Service, Others, key.Objective})
		}
	}
	s := &series{}
	c.series[key] = s
	return s
}

// drop removes the series without events in any window and reports whether
// there was one.
func (c *Counter) drop(now time.Time) bool {
	before := len(c.series)
	for key, s := range c.series {
		if now.Sub(s.last) > 2*Windows[windowCount-1] {
			delete(c.series, key)
		}
	}
	return len(c.series) < before
}

func (s *series) add(now time.Time, count Count) {
	s.last = now
	for i := range s.windows {
		s.windows[i].add(now, Windows[i], count)
	}
}

func (c *Counter) historyOf(key Key) *history {
	h, ok := c.history[key]
	if !ok {
		h = &history{}
		c.history[key] = h
	}
	return h
}

func (h *history) add(now time.Time, count Count) {
	h.roll(now)
	h.counts[h.step%historySteps].Add(count)
}

func (h *history) roll(now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	for n := min(step-h.step, historySteps); n > 0; n-- {
		h.counts[(step-n+1)%historySteps] = Count{}
	}
	h.step = max(h.step, step)
}

func (h *history) read(now time.Time) []Count {
	h.roll(now)
	out := make([]Count, historySteps)
	for i := range out {
		out[i] = h.counts[(h.step+1+int64(i))%historySteps]
	}
	return out
}

// Snapshot returns the counts of every series with events, in the order of its
// key.
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

// MergeSnapshots adds the snapshots of the counters of one entry.
func MergeSnapshots(now time.Time, entry string, parts []Snapshot) Snapshot {
	merged := make(map[Key]*Series)
	for _, p := range parts {
		for _, row := range p.Series {
			merge(merged, row)
		}
	}
	out := Snapshot{Entry: entry, At: now}
	for _, s := range merged {
		out.Series = append(out.Series, *s)
	}
	sortSeries(out.Series)
	return out
}

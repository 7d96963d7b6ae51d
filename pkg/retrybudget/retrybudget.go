// Package retrybudget bounds the repeats that all entries together send to a
// service. It has no clock and no I/O: the entries tell each other their counts.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// windowParts cut the window into parts that expire one by one. One more is
	// kept: the newest part has only begun.
	windowParts = 10
	buckets     = windowParts + 1
	// margin is the part of the budget that is used: counts of the other
	// entries are some hundred milliseconds old.
	margin = 0.7
)

// Limits are the operators' bounds of one service's repeats.
type Limits struct {
	Ratio  float64
	Floor  float64
	Window time.Duration
}

// Counts are requests and repeats within one window.
type Counts struct {
	Requests int `json:"q"`
	Retries  int `json:"r"`
}

// Budget holds the counts of every service. It is safe for concurrent use.
type Budget struct {
	limits Limits
	// start is the origin of the ticks: the time of day jumps, differences don't.
	start    time.Time
	mu       sync.Mutex
	services map[string]*window
	// others holds the last counts of the other entries.
	others map[string]map[string]Counts
	// entries is the number of entries that share the budget.
	entries int
}

// window counts one entry's requests and repeats by part of the window.
type window struct {
	parts [buckets]Counts
	// tick is the newest part's number since the start.
	tick int64
	// since counts repeats since the last sharing of counts.
	since int
}

// New returns an empty budget.
func New(limits Limits, now time.Time) *Budget {
	return &Budget{limits: limits, start: now, services: make(map[string]*window), others: make(map[string]map[string]Counts), entries: 1}
}

// SetLimits changes the ratio and the floor.
func (b *Budget) SetLimits(ratio, floor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Ratio, b.limits.Floor = ratio, floor
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service).newest().Requests++
}

// Acquire counts a repeat and reports whether it may be sent.
func (b *Budget) Acquire(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if float64(w.since)+1 > b.left(w, service)/float64(b.entries) {
		return false
	}
	w.newest().Retries++
	w.since++
	return true
}

// left returns the repeats that all entries together had left when they last
// shared their counts.
func (b *Budget) left(w *window, service string) float64 {
	total := w.sum()
	total.Retries -= w.since
	for _, counts := range b.others {
		total.Requests += counts[service].Requests
		total.Retries += counts[service].Retries
	}
	return margin*(b.limits.Ratio*float64(total.Requests)+b.limits.Floor) - float64(total.Retries)
}

// Snapshot returns the counts to tell the other entries. What may be sent until
// the next call follows from the counts as they are now.
func (b *Budget) Snapshot(now time.Time) map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	shared := make(map[string]Counts, len(b.services))
	for service := range b.services {
		w := b.window(now, service)
		w.since = 0
		shared[service] = w.sum()
	}
	return shared
}

// SetEntryCounts takes the counts of another entry.
func (b *Budget) SetEntryCounts(entry string, counts map[string]Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others[entry] = counts
	b.entries = len(b.others) + 1
}

// RemoveEntry forgets an entry that has gone.
func (b *Budget) RemoveEntry(entry string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.others, entry)
	b.entries = len(b.others) + 1
}

func (b *Budget) window(now time.Time, service string) *window {
	tick := int64(now.Sub(b.start) / (b.limits.Window / windowParts))
	w := b.services[service]
	if w == nil {
		w = &window{tick: tick}
		b.services[service] = w
	}
	for ; w.tick < tick; w.tick++ {
		if tick-w.tick > buckets {
			w.tick = tick - buckets
		}
		w.parts[(w.tick+1)%buckets] = Counts{}
	}
	return w
}

func (w *window) newest() *Counts { return &w.parts[w.tick%buckets] }

func (w *window) sum() Counts {
	var total Counts
	for _, c := range w.parts {
		total.Requests += c.Requests
		total.Retries += c.Retries
	}
	return total
}

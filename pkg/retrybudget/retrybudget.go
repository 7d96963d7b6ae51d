// Package retrybudget limits the retries that all entries together send to a service, to a ratio of
// the requests plus a floor within a sliding window. It has no clock and no I/O: the caller passes
// the time and exchanges the counts between entries.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets that make up the window and expire one by one. One more
	// bucket is kept because the newest one is incomplete.
	windowBuckets = 10
	bucketCount   = windowBuckets + 1
	// usableShare is the share of the budget that is used. The rest allows for the counts of other
	// entries, which are some hundred milliseconds old.
	usableShare = 0.7
)

// Limits are the configured limits of one service's retries within a window: Ratio per request plus
// Floor.
type Limits struct {
	Ratio  float64
	Floor  float64
	Window time.Duration
}

// Counts holds the requests and retries within one window.
type Counts struct {
	Requests int `json:"q"`
	Retries  int `json:"r"`
}

// Budget tracks the counts of every service. It is safe for concurrent use.
type Budget struct {
	limits Limits
	// start is the origin of the ticks. Ticks are computed from time differences, which clock
	// adjustments do not affect.
	start    time.Time
	mu       sync.Mutex
	services map[string]*window
	// others holds the last counts of each other entry.
	others map[string]map[string]Counts
	// entries is the number of entries that share the budget.
	entries int
}

// window counts this entry's requests and retries of one service in buckets.
type window struct {
	buckets [bucketCount]Counts
	// tick is the number of the newest bucket, counted from the start.
	tick int64
	// sinceSnapshot counts the retries since the last Snapshot.
	sinceSnapshot int
}

// New returns a budget without counts.
func New(limits Limits, now time.Time) *Budget {
	return &Budget{limits: limits, start: now, services: make(map[string]*window), others: make(map[string]map[string]Counts), entries: 1}
}

// SetLimits replaces the ratio and the floor.
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

// Acquire reports whether a retry may be sent, and counts it if so. Each entry may use an equal
// part of the retries that remained at the last Snapshot.
func (b *Budget) Acquire(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if float64(w.sinceSnapshot)+1 > b.remaining(w, service)/float64(b.entries) {
		return false
	}
	w.newest().Retries++
	w.sinceSnapshot++
	return true
}

// remaining returns the retries that all entries together had left at the last Snapshot. b.mu is
// held.
func (b *Budget) remaining(w *window, service string) float64 {
	total := w.sum()
	total.Retries -= w.sinceSnapshot
	for _, counts := range b.others {
		total.Requests += counts[service].Requests
		total.Retries += counts[service].Retries
	}
	return usableShare*(b.limits.Ratio*float64(total.Requests)+b.limits.Floor) - float64(total.Retries)
}

// Snapshot returns the counts to send to the other entries. The retries allowed until the next call
// are computed from these counts.
func (b *Budget) Snapshot(now time.Time) map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	shared := make(map[string]Counts, len(b.services))
	for service := range b.services {
		w := b.window(now, service)
		w.sinceSnapshot = 0
		shared[service] = w.sum()
	}
	return shared
}

// SetEntryCounts records the counts of another entry.
func (b *Budget) SetEntryCounts(entry string, counts map[string]Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others[entry] = counts
	b.entries = len(b.others) + 1
}

// RemoveEntry removes an entry that has left.
func (b *Budget) RemoveEntry(entry string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.others, entry)
	b.entries = len(b.others) + 1
}

func (b *Budget) window(now time.Time, service string) *window {
	tick := int64(now.Sub(b.start) / (b.limits.Window / windowBuckets))
	w := b.services[service]
	if w == nil {
		w = &window{tick: tick}
		b.services[service] = w
	}
	for ; w.tick < tick; w.tick++ {
		if tick-w.tick > bucketCount {
			w.tick = tick - bucketCount
		}
		w.buckets[(w.tick+1)%bucketCount] = Counts{}
	}
	return w
}

func (w *window) newest() *Counts { return &w.buckets[w.tick%bucketCount] }

func (w *window) sum() Counts {
	var total Counts
	for _, c := range w.buckets {
		total.Requests += c.Requests
		total.Retries += c.Retries
	}
	return total
}

// Package virtualtime is an event queue with a virtual clock, for seeded simulations that drive
// decision packages.
package virtualtime

import (
	"container/heap"
	"slices"
	"time"
)

// Epoch is the virtual time at which every run starts.
var Epoch = time.Unix(1_700_000_000, 0)

// Queue holds the pending events and the virtual time.
type Queue struct {
	now    time.Time
	events eventHeap
	seq    int
}

// NewQueue returns an empty queue at Epoch.
func NewQueue() *Queue { return &Queue{now: Epoch} }

// Now returns the virtual time.
func (q *Queue) Now() time.Time { return q.now }

// Elapsed returns the virtual time since Epoch.
func (q *Queue) Elapsed() time.Duration { return q.now.Sub(Epoch) }

// At schedules run at t. Events of the same time run in the order in which they were added.
func (q *Queue) At(t time.Time, run func()) {
	q.seq++
	heap.Push(&q.events, event{t, q.seq, run})
}

// After schedules run when d has passed.
func (q *Queue) After(d time.Duration, run func()) { q.At(q.now.Add(d), run) }

// RunUntil runs the events up to d after Epoch, and advances the clock to that time.
func (q *Queue) RunUntil(d time.Duration) {
	end := Epoch.Add(d)
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = end
}

// Every schedules run at intervals of d without end.
func (q *Queue) Every(d time.Duration, run func()) {
	q.After(d, func() {
		run()
		q.Every(d, run)
	})
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// Percentile returns the sample at the quantile, between 0 and 1, in the unit of the samples, and 0
// without samples. It sorts the samples in place.
func Percentile(samples []float64, quantile float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(len(samples)-1, int(quantile*float64(len(samples))))]
}

package limits

import (
	"math"
	"time"

	"github.com/fescuehub/fescuehub/pkg/flowcontrol"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// The small pool on which interactive requests alone ask for more than the
// capacity, in requests a second.
const (
	batchSlots       = 8
	interactiveLoad  = 1.5
	rotaRate         = 1.0
	noFloor          = math.MaxInt32
	shortAgingBound  = 30 * time.Second
	noAgingBound     = 1000 * time.Hour
	batchCapacity    = batchSlots / 2.0
	smallRate        = 0.1
	largeRatePerPart = interactiveLoad*batchCapacity - smallRate
)

// BatchRow is the outcome of one way to serve the batch class.
type BatchRow struct {
	Policy string `json:"policy"`
	// BatchPerSecond are the batch requests answered a second.
	BatchPerSecond float64 `json:"batchPerSecond"`
	// LongestWaitSeconds is the longest wait of a batch request for its slot or
	// its refusal.
	LongestWaitSeconds float64 `json:"longestWaitSeconds"`
	// SmallWaitP95Seconds is the wait of a small interactive organisation.
	SmallWaitP95Seconds float64 `json:"smallWaitP95Seconds"`
	Goodput             float64 `json:"goodput"`
}

// Batch measures the batch class while interactive requests alone exceed the
// capacity: with strict priority, with the floor, and with the aging bound.
func Batch(seed uint64) []BatchRow {
	var rows []BatchRow
	for _, c := range []struct {
		name   string
		limits flowcontrol.Limits
	}{
		{"strict priority", flowcontrol.Limits{BatchEvery: noFloor, AgingBound: noAgingBound}},
		{"floor 1 in 8", flowcontrol.Limits{AgingBound: noAgingBound}},
		{"floor and aging 30 s", flowcontrol.Limits{AgingBound: shortAgingBound}},
		{"floor and aging 120 s", flowcontrol.Limits{}},
	} {
		c.limits.QueueLimit = queueLimit
		r := newRun(newFair(c.limits, batchSlots), seed)
		r.offer(source{organisation: "large", class: tables.Interactive}, largeRatePerPart)
		r.offer(source{organisation: "small", class: tables.Interactive, small: true}, smallRate)
		r.offer(source{organisation: "rota", class: tables.Batch}, rotaRate)
		r.queue.Every(tickInterval, func() { r.apply(r.policy.tick(r.queue.Now(), r.random.Uint64())) })
		r.queue.RunUntil(warmUp + measured + batchTime)
		row := r.result()
		rows = append(rows, BatchRow{
			Policy:              c.name,
			BatchPerSecond:      float64(r.batchFinished) / measured.Seconds(),
			LongestWaitSeconds:  row.LongestBatchWaitSeconds,
			SmallWaitP95Seconds: row.SmallWaitP95Seconds,
			Goodput:             float64(r.finished) / measured.Seconds() / batchCapacity,
		})
	}
	return rows
}

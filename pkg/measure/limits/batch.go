package limits

import (
	"math"
	"time"

	"github.com/fescuehub/fescuehub/pkg/flowcontrol"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Small pool whose interactive requests alone exceed its capacity. Rates and batchCapacity are in
// requests a second, at a mean service time of 2 s; interactiveLoad is a multiple of batchCapacity.
const (
	batchSlots      = 8
	interactiveLoad = 1.5
	batchRate       = 1.0
	noBatchFloor    = math.MaxInt32
	shortAgingBound = 30 * time.Second
	noAgingBound    = 1000 * time.Hour
	batchCapacity   = batchSlots / 2.0
	smallRate       = 0.1
	largeRate       = interactiveLoad*batchCapacity - smallRate
)

// BatchRow is the result of one policy for the batch class.
type BatchRow struct {
	Policy string `json:"policy"`
	// BatchPerSecond is the rate of batch requests answered.
	BatchPerSecond float64 `json:"batchPerSecond"`
	// LongestWaitSeconds is the longest time until a batch request got a slot, was refused or
	// expired.
	LongestWaitSeconds float64 `json:"longestWaitSeconds"`
	// SmallWaitP95Seconds is the 95th percentile of the wait of a small interactive organisation.
	SmallWaitP95Seconds float64 `json:"smallWaitP95Seconds"`
	// Goodput is the rate of answers within their deadline, as a share of the capacity.
	Goodput float64 `json:"goodput"`
}

// Batch measures the batch class while interactive requests alone exceed the capacity: with strict
// priority, with a minimum rate of batch requests (the floor), and with two aging bounds.
func Batch(seed uint64) []BatchRow {
	var rows []BatchRow
	for _, c := range []struct {
		name   string
		limits flowcontrol.Limits
	}{
		{"strict priority", flowcontrol.Limits{BatchEvery: noBatchFloor, AgingBound: noAgingBound}},
		{"floor 1 in 8", flowcontrol.Limits{AgingBound: noAgingBound}},
		{"floor and aging 30 s", flowcontrol.Limits{AgingBound: shortAgingBound}},
		{"floor and aging 120 s", flowcontrol.Limits{}},
	} {
		c.limits.QueueLimit = queueLimit
		r := newSimulation(newControllerPolicy(c.limits, batchSlots), seed)
		r.scheduleArrivals(source{organisation: "large", class: tables.Interactive}, largeRate)
		r.scheduleArrivals(source{organisation: "small", class: tables.Interactive, small: true}, smallRate)
		r.scheduleArrivals(source{organisation: "rota", class: tables.Batch}, batchRate)
		r.queue.Every(tickInterval, func() { r.apply(r.policy.tick(r.queue.Now(), r.random.Uint64())) })
		r.queue.RunUntil(warmUp + measuredTime + batchTimeout)
		row := r.result()
		rows = append(rows, BatchRow{
			Policy:              c.name,
			BatchPerSecond:      float64(r.batchFinished) / measuredTime.Seconds(),
			LongestWaitSeconds:  row.LongestBatchWaitSeconds,
			SmallWaitP95Seconds: row.SmallWaitP95Seconds,
			Goodput:             float64(r.finished) / measuredTime.Seconds() / batchCapacity,
		})
	}
	return rows
}

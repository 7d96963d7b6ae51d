package limits

import (
	"math"
	"time"

	"github.com/fescuehub/fescuehub/pkg/flowcontrol"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Burst of callers that are refused and try again. Callers make up to maxTries tries.
const (
	burstCallers      = 3000
	burstTime         = time.Second
	baseLoad          = 0.5
	maxTries          = 8
	fixedRetryAfter   = 5 * time.Second
	retryAfterRunTime = 300 * time.Second
)

// RetryAfterRow is the result of one Retry-After policy for the callers of a burst.
type RetryAfterRow struct {
	Policy string `json:"policy"`
	// PeakPerSecond is the largest number of repeated tries in one second.
	PeakPerSecond int `json:"peakPerSecond"`
	// Tries is the number of tries of all callers, the first ones included.
	Tries int `json:"tries"`
	// Answered is the share of the callers that got an answer in the end.
	Answered float64 `json:"answered"`
	// SecondsToAnswer95 is the time from the first try within which 95 in 100 of the answered
	// callers had their answer.
	SecondsToAnswer95 float64 `json:"secondsToAnswer95"`
}

// retryAfterSimulation is a simulation whose refused callers try again after their Retry-After.
type retryAfterSimulation struct {
	*simulation
	tries            int
	retriesPerSecond map[int]int
	latencies        []float64
	answered         int
}

// RetryAfter compares a fixed Retry-After with that of the flow controller, which spreads
// the retry times of the callers.
func RetryAfter(seed uint64) []RetryAfterRow {
	return []RetryAfterRow{
		simulateRetryAfter("fixed 5 s", &fifoPolicy{slots: slots, limit: queueLimit, retryAfter: fixedRetryAfter}, seed),
		simulateRetryAfter("fescuehub", newControllerPolicy(flowcontrol.Limits{QueueLimit: queueLimit}, slots), seed),
	}
}

func simulateRetryAfter(name string, p policy, seed uint64) RetryAfterRow {
	r := &retryAfterSimulation{simulation: newSimulation(p, seed), retriesPerSecond: make(map[int]int)}
	for range burstCallers {
		at := time.Duration(r.random.Float64() * float64(burstTime))
		r.queue.After(warmUp+at, func() { r.call(r.queue.Now(), 1) })
	}
	for _, s := range workloadSources() {
		r.scheduleArrivals(s, s.capacityShare*baseLoad*capacity())
	}
	r.queue.RunUntil(warmUp + retryAfterRunTime)
	peak := 0
	for _, n := range r.retriesPerSecond {
		peak = max(peak, n)
	}
	return RetryAfterRow{
		Policy: name, PeakPerSecond: peak, Tries: r.tries,
		Answered:          ratio(r.answered, burstCallers),
		SecondsToAnswer95: percentile95(r.latencies),
	}
}

// call makes one try of a caller whose first try was at first.
func (r *retryAfterSimulation) call(first time.Time, try int) {
	now := r.queue.Now()
	r.tries++
	if try > 1 {
		r.retriesPerSecond[int(r.queue.Elapsed()/time.Second)]++
	}
	j := &job{organisation: "burst", class: tables.Interactive, arrived: now, deadline: now.Add(interactiveTimeout), serviceTime: r.drawServiceTime()}
	j.onEnd = func(v decision, served bool) {
		if served {
			r.answered++
			r.latencies = append(r.latencies, r.queue.Now().Sub(first).Seconds())
			return
		}
		if try < maxTries && v.retryAfter > 0 {
			seconds := math.Ceil(v.retryAfter.Seconds())
			r.queue.After(time.Duration(seconds)*time.Second, func() { r.call(first, try+1) })
		}
	}
	r.queue.At(j.deadline, func() { r.expire(j) })
	r.apply(r.policy.arrive(now, j, r.random.Uint64()))
}

package limits

import (
	"math"
	"time"

	"github.com/fescuehub/fescuehub/pkg/flowcontrol"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// The burst of callers that is refused and comes back.
const (
	burstCallers  = 3000
	burstTime     = time.Second
	steadyLoad    = 0.5
	maxReturns    = 8
	fixedReturn   = 5 * time.Second
	returnsWindow = 300 * time.Second
)

// RetryAfterRow is how the callers of a burst came back.
type RetryAfterRow struct {
	Policy string `json:"policy"`
	// PeakPerSecond is the largest number of returns in one second.
	PeakPerSecond int `json:"peakPerSecond"`
	// Tries of all callers, the first ones included.
	Tries int `json:"tries"`
	// Answered is the part of the callers that got an answer in the end.
	Answered float64 `json:"answered"`
	// SecondsToAnswer95 is the time within which 95 in 100 of those answered
	// had their answer.
	SecondsToAnswer95 float64 `json:"secondsToAnswer95"`
}

// returning is a run whose refused callers come back when they are told to.
type returning struct {
	*run
	tries    int
	returns  map[int]int
	times    []float64
	answered int
}

// RetryAfter measures Retry-After: a fixed one, and the spread one.
func RetryAfter(seed uint64) []RetryAfterRow {
	return []RetryAfterRow{
		returns("fixed 5 s", &firstCome{slots: slots, limit: queueLimit, retryAfter: fixedReturn}, seed),
		returns("fescuehub", newFair(flowcontrol.Limits{QueueLimit: queueLimit}, slots), seed),
	}
}

func returns(name string, p policy, seed uint64) RetryAfterRow {
	r := &returning{run: newRun(p, seed), returns: make(map[int]int)}
	for range burstCallers {
		at := time.Duration(r.random.Float64() * float64(burstTime))
		r.queue.After(warmUp+at, func() { r.call(r.queue.Now(), 1) })
	}
	for _, s := range sources() {
		r.offer(s, s.part*steadyLoad*capacity())
	}
	r.queue.RunUntil(warmUp + returnsWindow)
	peak := 0
	for _, n := range r.returns {
		peak = max(peak, n)
	}
	return RetryAfterRow{
		Policy: name, PeakPerSecond: peak, Tries: r.tries,
		Answered:          part(r.answered, burstCallers),
		SecondsToAnswer95: percentile95(r.times),
	}
}

// call is one try of a caller whose first try was at the time.
func (r *returning) call(first time.Time, try int) {
	now := r.queue.Now()
	r.tries++
	if try > 1 {
		r.returns[int(r.queue.Elapsed()/time.Second)]++
	}
	j := &job{organisation: "burst", class: tables.Interactive, arrived: now, deadline: now.Add(interactiveTime), service: r.service()}
	j.ended = func(v verdict, served bool) {
		if served {
			r.answered++
			r.times = append(r.times, r.queue.Now().Sub(first).Seconds())
			return
		}
		if try < maxReturns && v.retryAfter > 0 {
			seconds := math.Ceil(v.retryAfter.Seconds())
			r.queue.After(time.Duration(seconds)*time.Second, func() { r.call(first, try+1) })
		}
	}
	r.queue.At(j.deadline, func() { r.expire(j) })
	r.apply(r.policy.arrive(now, j, r.random.Uint64()))
}

package limits

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/flowcontrol"
	"github.com/fescuehub/fescuehub/pkg/measure/virtualtime"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Pool and workload of the simulations. serviceSpread is the standard deviation of the logarithm of
// the service times. Requests expire after interactiveTimeout or batchTimeout.
const (
	slots              = 96
	meanService        = 2 * time.Second
	serviceSpread      = 0.5
	queueLimit         = tables.DefaultQueueLimit
	interactiveTimeout = 15 * time.Second
	batchTimeout       = 10 * time.Minute
	warmUp             = 60 * time.Second
	measuredTime       = 300 * time.Second
	tickInterval       = 100 * time.Millisecond
)

// capacity returns the capacity of the pool in requests a second.
func capacity() float64 { return slots / meanService.Seconds() }

// source is the part of the workload that one organisation sends.
type source struct {
	organisation string
	class        tables.Class
	small        bool
	// capacityShare is the rate at load 1 as a share of the capacity.
	capacityShare float64
}

// workloadSources returns two large organisations, a batch one and eight small ones.
func workloadSources() []source {
	list := []source{
		{"large-1", tables.Interactive, false, 0.40},
		{"large-2", tables.Interactive, false, 0.25},
		{"rota", tables.Batch, false, 0.15},
	}
	for i := range 8 {
		list = append(list, source{fmt.Sprintf("small-%d", i+1), tables.Interactive, true, 0.025})
	}
	return list
}

// OverloadRow is the result of one policy at one load.
type OverloadRow struct {
	Policy string `json:"policy"`
	// Load is the offered load as a multiple of the capacity.
	Load float64 `json:"load"`
	// OnlyLarge is true where only the large organisations send at Load, and the others at load 1.
	OnlyLarge bool `json:"onlyLarge"`
	// Goodput is the rate of answers within their deadline, as a share of the capacity.
	Goodput float64 `json:"goodput"`
	// SmallP95Seconds is the 95th percentile of the small organisations' time to the complete
	// answer.
	SmallP95Seconds float64 `json:"smallP95Seconds"`
	// SmallWaitP95Seconds is the 95th percentile of their wait for a slot.
	SmallWaitP95Seconds float64 `json:"smallWaitP95Seconds"`
	// SmallAnswered is the share of their requests that was answered in time.
	SmallAnswered float64 `json:"smallAnswered"`
	// RefusedP95Seconds is the 95th percentile of the time until an interactive request that got no
	// slot was refused or expired.
	RefusedP95Seconds float64 `json:"refusedP95Seconds"`
	// WastedSlots is the share of the slot time spent on requests that missed their deadline.
	WastedSlots float64 `json:"wastedSlots"`
	// LongestBatchWaitSeconds is the longest time until a batch request got a slot, was refused or
	// expired.
	LongestBatchWaitSeconds float64 `json:"longestBatchWaitSeconds"`
	// BatchAnswered is the share of the batch requests that was answered.
	BatchAnswered float64 `json:"batchAnswered"`
}

// simulation is one run of a policy against the workload.
type simulation struct {
	queue  *virtualtime.Queue
	random *rand.Rand
	policy policy

	row                                      OverloadRow
	arrived, finished                        int
	batchFinished                            int
	smallArrived, smallAnswered              int
	batchArrived, batchAnswered              int
	smallLatencies, smallWaits, refusalTimes []float64
	wastedSlotTime                           time.Duration
}

func newSimulation(p policy, seed uint64) *simulation {
	return &simulation{queue: virtualtime.NewQueue(), random: rand.New(rand.NewPCG(seed, seed)), policy: p}
}

// Overload measures each policy at each load.
func Overload(seed uint64) []OverloadRow {
	var rows []OverloadRow
	for _, load := range []float64{0.5, 1, 2, 5} {
		for _, onlyLarge := range []bool{false, true} {
			if onlyLarge && load <= 1 {
				continue
			}
			for _, c := range policies() {
				rows = append(rows, simulateOverload(c.name, c.build(), load, onlyLarge, seed))
			}
		}
	}
	return rows
}

type namedPolicy struct {
	name  string
	build func() policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"first-come", func() policy { return &fifoPolicy{slots: slots} }},
		{"first-come-bounded", func() policy { return &fifoPolicy{slots: slots, limit: queueLimit} }},
		{"fescuehub", func() policy { return newControllerPolicy(flowcontrol.Limits{QueueLimit: queueLimit}, slots) }},
	}
}

func simulateOverload(name string, p policy, load float64, onlyLarge bool, seed uint64) OverloadRow {
	r := newSimulation(p, seed)
	r.row = OverloadRow{Policy: name, Load: load, OnlyLarge: onlyLarge}
	for _, s := range workloadSources() {
		factor := load
		if onlyLarge && (s.small || s.class == tables.Batch) {
			factor = 1
		}
		r.scheduleArrivals(s, s.capacityShare*factor*capacity())
	}
	r.queue.Every(tickInterval, func() { r.apply(r.policy.tick(r.queue.Now(), r.random.Uint64())) })
	r.queue.RunUntil(warmUp + measuredTime + batchTimeout)
	return r.result()
}

// scheduleArrivals schedules the requests of a source, at a rate a second, until the measured time
// is over.
func (r *simulation) scheduleArrivals(s source, rate float64) {
	gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	r.queue.After(gap, func() {
		if r.queue.Elapsed() >= warmUp+measuredTime {
			return
		}
		r.arrive(s)
		r.scheduleArrivals(s, rate)
	})
}

func (r *simulation) arrive(s source) {
	now := r.queue.Now()
	limit := interactiveTimeout
	if s.class == tables.Batch {
		limit = batchTimeout
	}
	j := &job{organisation: s.organisation, class: s.class, small: s.small, arrived: now, deadline: now.Add(limit), serviceTime: r.drawServiceTime()}
	if r.isMeasured(j) {
		r.countJob(j, &r.arrived, &r.smallArrived, &r.batchArrived)
	}
	r.queue.At(j.deadline, func() { r.expire(j) })
	r.apply(r.policy.arrive(now, j, r.random.Uint64()))
}

// drawServiceTime returns a log-normal service time with the mean meanService.
func (r *simulation) drawServiceTime() time.Duration {
	mu := -serviceSpread * serviceSpread / 2
	return time.Duration(math.Exp(mu+serviceSpread*r.random.NormFloat64()) * float64(meanService))
}

func (r *simulation) apply(decisions []decision) {
	now := r.queue.Now()
	for _, v := range decisions {
		j := v.job
		if v.refused {
			r.recordUnserved(j)
			j.notifyEnd(v, false)
			continue
		}
		j.ran = true
		if r.isMeasured(j) && j.small {
			r.smallWaits = append(r.smallWaits, now.Sub(j.arrived).Seconds())
		}
		r.recordBatchWait(j)
		finish := now.Add(j.serviceTime)
		if finish.After(j.deadline) {
			r.recordWastedSlotTime(j.deadline.Sub(now))
			continue
		}
		r.queue.At(finish, func() { r.finish(j) })
	}
}

func (r *simulation) finish(j *job) {
	j.settled = true
	if s := r.queue.Elapsed(); s >= warmUp && s < warmUp+measuredTime {
		r.countJob(j, &r.finished, new(int), &r.batchFinished)
	}
	if r.isMeasured(j) {
		r.countJob(j, new(int), &r.smallAnswered, &r.batchAnswered)
		if j.small {
			r.smallLatencies = append(r.smallLatencies, r.queue.Now().Sub(j.arrived).Seconds())
		}
	}
	j.notifyEnd(decision{job: j}, true)
	r.apply(r.policy.done(r.queue.Now(), j, true, r.random.Uint64()))
}

// expire ends a job that is still queued or running at its deadline.
func (r *simulation) expire(j *job) {
	if j.settled {
		return
	}
	r.recordUnserved(j)
	r.apply(r.policy.done(r.queue.Now(), j, false, r.random.Uint64()))
}

// recordUnserved settles a job that was refused or has expired.
func (r *simulation) recordUnserved(j *job) {
	j.settled = true
	if !j.ran {
		r.recordBatchWait(j)
	}
	if r.isMeasured(j) && j.class == tables.Interactive && !j.ran {
		r.refusalTimes = append(r.refusalTimes, r.queue.Now().Sub(j.arrived).Seconds())
	}
}

func (r *simulation) recordBatchWait(j *job) {
	if j.class == tables.Batch {
		r.row.LongestBatchWaitSeconds = max(r.row.LongestBatchWaitSeconds, r.queue.Now().Sub(j.arrived).Seconds())
	}
}

func (r *simulation) recordWastedSlotTime(d time.Duration) {
	if s := r.queue.Elapsed(); s >= warmUp && s < warmUp+measuredTime {
		r.wastedSlotTime += d
	}
}

// isMeasured reports whether a job arrived after the warm-up.
func (r *simulation) isMeasured(j *job) bool { return j.arrived.Sub(virtualtime.Epoch) >= warmUp }

func (r *simulation) countJob(j *job, all, small, batch *int) {
	*all++
	if j.small {
		*small++
	}
	if j.class == tables.Batch {
		*batch++
	}
}

func (r *simulation) result() OverloadRow {
	row := r.row
	row.Goodput = float64(r.finished) / measuredTime.Seconds() / capacity()
	row.SmallP95Seconds = virtualtime.Percentile(r.smallLatencies, 0.95)
	row.SmallWaitP95Seconds = virtualtime.Percentile(r.smallWaits, 0.95)
	row.SmallAnswered = ratio(r.smallAnswered, r.smallArrived)
	row.RefusedP95Seconds = virtualtime.Percentile(r.refusalTimes, 0.95)
	row.WastedSlots = r.wastedSlotTime.Seconds() / (slots * measuredTime.Seconds())
	row.BatchAnswered = ratio(r.batchAnswered, r.batchArrived)
	return row
}

func ratio(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

func percentile95(samples []float64) float64 { return virtualtime.Percentile(samples, 0.95) }

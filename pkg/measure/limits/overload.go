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

// The pool and the workload of the runs.
const (
	slots           = 96
	meanService     = 2 * time.Second
	serviceSpread   = 0.5
	queueLimit      = tables.DefaultQueueLimit
	interactiveTime = 15 * time.Second
	batchTime       = 10 * time.Minute
	warmUp          = 60 * time.Second
	measured        = 300 * time.Second
	tickInterval    = 100 * time.Millisecond
)

// capacity of the pool in requests a second.
func capacity() float64 { return slots / meanService.Seconds() }

// source is an organisation's part of the workload.
type source struct {
	organisation string
	class        tables.Class
	small        bool
	// part of the capacity that it asks for at load 1.
	part float64
}

// sources are two large organisations, a batch one and eight small ones.
func sources() []source {
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

// OverloadRow is the outcome of one policy at one load.
type OverloadRow struct {
	Policy string `json:"policy"`
	// Load is the offered load as a multiple of the capacity.
	Load float64 `json:"load"`
	// OnlyLarge is true where only the large organisations exceed load 1.
	OnlyLarge bool `json:"onlyLarge"`
	// Goodput is the answers within their deadline, as a part of the capacity.
	Goodput float64 `json:"goodput"`
	// SmallP95Seconds is the small organisations' time to the whole answer.
	SmallP95Seconds float64 `json:"smallP95Seconds"`
	// SmallWaitP95Seconds is their wait for a slot.
	SmallWaitP95Seconds float64 `json:"smallWaitP95Seconds"`
	// SmallAnswered is the part of their requests that was answered in time.
	SmallAnswered float64 `json:"smallAnswered"`
	// RefusedP95Seconds is the time after which an interactive request that
	// got no slot had its final answer.
	RefusedP95Seconds float64 `json:"refusedP95Seconds"`
	// WastedSlots is the part of the slot time spent on answers that came too
	// late.
	WastedSlots float64 `json:"wastedSlots"`
	// LongestBatchWaitSeconds is the longest wait of a batch request for its
	// slot or its refusal.
	LongestBatchWaitSeconds float64 `json:"longestBatchWaitSeconds"`
	// BatchAnswered is the part of the batch requests that was answered.
	BatchAnswered float64 `json:"batchAnswered"`
}

// run is one simulation of a policy.
type run struct {
	queue  *virtualtime.Queue
	random *rand.Rand
	policy policy

	row                             OverloadRow
	arrived, finished               int
	batchFinished                   int
	smallArrived, smallAnswered     int
	batchArrived, batchAnswered     int
	smallTimes, smallWaits, refusal []float64
	wasted                          time.Duration
}

func newRun(p policy, seed uint64) *run {
	return &run{queue: virtualtime.NewQueue(), random: rand.New(rand.NewPCG(seed, seed)), policy: p}
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
				rows = append(rows, overload(c.name, c.build(), load, onlyLarge, seed))
			}
		}
	}
	return rows
}

type candidate struct {
	name  string
	build func() policy
}

func policies() []candidate {
	return []candidate{
		{"first-come", func() policy { return &firstCome{slots: slots} }},
		{"first-come-bounded", func() policy { return &firstCome{slots: slots, limit: queueLimit} }},
		{"fescuehub", func() policy { return newFair(flowcontrol.Limits{QueueLimit: queueLimit}, slots) }},
	}
}

func overload(name string, p policy, load float64, onlyLarge bool, seed uint64) OverloadRow {
	r := newRun(p, seed)
	r.row = OverloadRow{Policy: name, Load: load, OnlyLarge: onlyLarge}
	for _, s := range sources() {
		times := load
		if onlyLarge && (s.small || s.class == tables.Batch) {
			times = 1
		}
		r.offer(s, s.part*times*capacity())
	}
	r.queue.Every(tickInterval, func() { r.apply(r.policy.tick(r.queue.Now(), r.random.Uint64())) })
	r.queue.RunUntil(warmUp + measured + batchTime)
	return r.result()
}

// offer lets a source send requests at a rate a second until the measured time
// is over.
func (r *run) offer(s source, rate float64) {
	gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	r.queue.After(gap, func() {
		if r.queue.Elapsed() >= warmUp+measured {
			return
		}
		r.arrive(s)
		r.offer(s, rate)
	})
}

func (r *run) arrive(s source) {
	now := r.queue.Now()
	limit := interactiveTime
	if s.class == tables.Batch {
		limit = batchTime
	}
	j := &job{organisation: s.organisation, class: s.class, small: s.small, arrived: now, deadline: now.Add(limit), service: r.service()}
	if r.counts(j) {
		r.count(j, &r.arrived, &r.smallArrived, &r.batchArrived)
	}
	r.queue.At(j.deadline, func() { r.expire(j) })
	r.apply(r.policy.arrive(now, j, r.random.Uint64()))
}

// service draws a log-normal service time.
func (r *run) service() time.Duration {
	mu := -serviceSpread * serviceSpread / 2
	return time.Duration(math.Exp(mu+serviceSpread*r.random.NormFloat64()) * float64(meanService))
}

func (r *run) apply(verdicts []verdict) {
	now := r.queue.Now()
	for _, v := range verdicts {
		j := v.job
		if v.refused {
			r.leave(j)
			j.end(v, false)
			continue
		}
		j.ran = true
		if r.counts(j) && j.small {
			r.smallWaits = append(r.smallWaits, now.Sub(j.arrived).Seconds())
		}
		r.noteBatchWait(j)
		finish := now.Add(j.service)
		if finish.After(j.deadline) {
			r.waste(j.deadline.Sub(now))
			continue
		}
		r.queue.At(finish, func() { r.finish(j) })
	}
}

func (r *run) finish(j *job) {
	j.left = true
	if s := r.queue.Elapsed(); s >= warmUp && s < warmUp+measured {
		r.count(j, &r.finished, new(int), &r.batchFinished)
	}
	if r.counts(j) {
		r.count(j, new(int), &r.smallAnswered, &r.batchAnswered)
		if j.small {
			r.smallTimes = append(r.smallTimes, r.queue.Now().Sub(j.arrived).Seconds())
		}
	}
	j.end(verdict{job: j}, true)
	r.apply(r.policy.done(r.queue.Now(), j, true, r.random.Uint64()))
}

// expire ends a job that waits or runs at its deadline.
func (r *run) expire(j *job) {
	if j.left {
		return
	}
	r.leave(j)
	r.apply(r.policy.done(r.queue.Now(), j, false, r.random.Uint64()))
}

func (r *run) leave(j *job) {
	j.left = true
	if !j.ran {
		r.noteBatchWait(j)
	}
	if r.counts(j) && j.class == tables.Interactive && !j.ran {
		r.refusal = append(r.refusal, r.queue.Now().Sub(j.arrived).Seconds())
	}
}

func (r *run) noteBatchWait(j *job) {
	if j.class == tables.Batch {
		r.row.LongestBatchWaitSeconds = max(r.row.LongestBatchWaitSeconds, r.queue.Now().Sub(j.arrived).Seconds())
	}
}

func (r *run) waste(d time.Duration) {
	if s := r.queue.Elapsed(); s >= warmUp && s < warmUp+measured {
		r.wasted += d
	}
}

func (r *run) counts(j *job) bool { return j.arrived.Sub(virtualtime.Epoch) >= warmUp }

func (r *run) count(j *job, all, small, batch *int) {
	*all++
	if j.small {
		*small++
	}
	if j.class == tables.Batch {
		*batch++
	}
}

func (r *run) result() OverloadRow {
	row := r.row
	row.Goodput = float64(r.finished) / measured.Seconds() / capacity()
	row.SmallP95Seconds = virtualtime.Percentile(r.smallTimes, 0.95)
	row.SmallWaitP95Seconds = virtualtime.Percentile(r.smallWaits, 0.95)
	row.SmallAnswered = part(r.smallAnswered, r.smallArrived)
	row.RefusedP95Seconds = virtualtime.Percentile(r.refusal, 0.95)
	row.WastedSlots = r.wasted.Seconds() / (slots * measured.Seconds())
	row.BatchAnswered = part(r.batchAnswered, r.batchArrived)
	return row
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func percentile95(samples []float64) float64 { return virtualtime.Percentile(samples, 0.95) }

package limits

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/flowcontrol"
	"github.com/fescuehub/fescuehub/pkg/measure/virtualtime"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/retry"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Pool shared by several entries. busyEntriesShare is the part of a skewed load that the
// busyEntries receive.
const (
	entryCount         = 9
	replicaCount       = 12
	replicaConcurrency = 8
	busyEntries        = 2
	busyEntriesShare   = 0.7
	reportInterval     = 200 * time.Millisecond
)

// SharedPoolRow is the result of one way to share a pool among entries.
type SharedPoolRow struct {
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Skewed is true where two of the nine entries receive most requests.
	Skewed  bool    `json:"skewed"`
	Goodput float64 `json:"goodput"`
	// RefusalsPerAnswer is the number of refusals by agents for each answer.
	RefusalsPerAnswer float64 `json:"refusalsPerAnswer"`
	// LateRefused is the share of the requests that their entry refused after it had admitted them
	// and the agents that it tried had refused them.
	LateRefused float64 `json:"lateRefused"`
	P95Seconds  float64 `json:"p95Seconds"`
}

// poolSimulation is one run of entries that share a pool.
type poolSimulation struct {
	queue   *virtualtime.Queue
	random  *rand.Rand
	entries []*poolEntry
	running [replicaCount]int
	// reported is the load of each replica at the last report, which all entries share.
	reported [replicaCount]int
	answered int
	arrived  int
	refusals int
	// lateRefused counts the requests that their entry refused after admission.
	lateRefused int
	latencies   []float64
}

type poolEntry struct {
	policy  *controllerPolicy
	retries *retry.Policy
	// started counts the requests sent to each replica since the last report.
	started [replicaCount]int
}

// SharedPool compares ways to share one pool among nine entries: each has an equal static share,
// each may fill the whole pool, or each adapts its window to refusals.
func SharedPool(seed uint64) []SharedPoolRow {
	const total = replicaCount * replicaConcurrency
	const share = (total + entryCount - 1) / entryCount
	var rows []SharedPoolRow
	for _, load := range []float64{0.9, 2} {
		for _, skewed := range []bool{false, true} {
			for _, c := range []struct {
				name         string
				share, limit int
			}{
				{"static part", share, share},
				{"whole pool each", total, total},
				{"adaptive window", share, total},
			} {
				s := newPoolSimulation(seed, c.share, c.limit)
				s.run(load, skewed)
				rows = append(rows, SharedPoolRow{
					Policy: c.name, Load: load, Skewed: skewed,
					Goodput:           float64(s.answered) / measuredTime.Seconds() / capacity(),
					RefusalsPerAnswer: ratio(s.refusals, s.answered),
					LateRefused:       ratio(s.lateRefused, s.arrived),
					P95Seconds:        percentile95(s.latencies),
				})
			}
		}
	}
	return rows
}

func newPoolSimulation(seed uint64, share, limit int) *poolSimulation {
	s := &poolSimulation{queue: virtualtime.NewQueue(), random: rand.New(rand.NewPCG(seed, seed))}
	for range entryCount {
		f := newControllerPolicy(flowcontrol.Limits{QueueLimit: queueLimit}, share)
		f.control.SetCapacity(virtualtime.Epoch, share, limit, 0)
		s.entries = append(s.entries, &poolEntry{policy: f, retries: retry.New(retry.DefaultLimits, virtualtime.Epoch)})
	}
	return s
}

func (s *poolSimulation) run(load float64, skewed bool) {
	for i, e := range s.entries {
		entryShare := 1.0 / entryCount
		if skewed {
			entryShare = (1 - busyEntriesShare) / (entryCount - busyEntries)
			if i < busyEntries {
				entryShare = busyEntriesShare / busyEntries
			}
		}
		s.scheduleArrivals(e, load*entryShare*capacity())
		s.queue.Every(tickInterval, func() { s.apply(e, e.policy.tick(s.queue.Now(), s.random.Uint64())) })
	}
	s.queue.Every(reportInterval, func() {
		s.reported = s.running
		for _, e := range s.entries {
			e.started = [replicaCount]int{}
		}
	})
	s.queue.RunUntil(warmUp + measuredTime)
}

func (s *poolSimulation) scheduleArrivals(e *poolEntry, rate float64) {
	s.queue.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		now := s.queue.Now()
		r := simulation{random: s.random}
		j := &job{organisation: "a", class: tables.Interactive, arrived: now, deadline: now.Add(interactiveTimeout), serviceTime: r.drawServiceTime()}
		if s.isMeasured(j) {
			s.arrived++
		}
		s.apply(e, e.policy.arrive(now, j, s.random.Uint64()))
		s.scheduleArrivals(e, rate)
	})
}

// isMeasured reports whether a job arrived after the warm-up.
func (s *poolSimulation) isMeasured(j *job) bool { return j.arrived.Sub(virtualtime.Epoch) >= warmUp }

func (s *poolSimulation) apply(e *poolEntry, decisions []decision) {
	for _, v := range decisions {
		if !v.refused {
			v.job.ran = true
			e.retries.RecordRequest(s.queue.Now())
			s.attempt(e, v.job, 1, nil)
		} else if v.job.ran && s.isMeasured(v.job) {
			s.lateRefused++
		}
	}
}

// attempt sends a job to a replica. A refused job is sent to another replica if the retry policy
// allows it, and is otherwise queued again.
func (s *poolSimulation) attempt(e *poolEntry, j *job, try int, tried []int) {
	now := s.queue.Now()
	replica := s.chooseReplica(e, tried)
	if s.running[replica] < replicaConcurrency {
		s.running[replica]++
		e.started[replica]++
		s.queue.After(min(j.serviceTime, j.deadline.Sub(now)), func() { s.finishAttempt(e, j, replica) })
		return
	}
	if s.isMeasured(j) {
		s.refusals++
	}
	v := e.retries.Decide(now, retry.Failure{
		Kind: problem.Overloaded, Outcome: problem.NotRun, Attempts: try, Remaining: j.deadline.Sub(now), MinUsefulTime: e.policy.control.MinUsefulTime(j.class),
	}, s.random.Uint64())
	if v.Retry {
		s.queue.After(v.Wait, func() { s.attempt(e, j, try+1, append(tried, replica)) })
		return
	}
	e.policy.jobs[j.ticket] = j
	s.apply(e, e.policy.decisions(e.policy.control.Requeue(now, j.ticket, s.random.Uint64())))
}

func (s *poolSimulation) finishAttempt(e *poolEntry, j *job, replica int) {
	now := s.queue.Now()
	s.running[replica]--
	result := flowcontrol.Failed
	if now.Before(j.deadline) {
		result = flowcontrol.Served
		if s.isMeasured(j) {
			s.answered++
			s.latencies = append(s.latencies, now.Sub(j.arrived).Seconds())
		}
	}
	s.apply(e, e.policy.decisions(e.policy.control.Done(now, j.ticket, result, s.random.Uint64())))
}

// chooseReplica returns the less loaded of two random replicas that have not been tried, by the
// last report and the requests that the entry has sent since.
func (s *poolSimulation) chooseReplica(e *poolEntry, tried []int) int {
	best := -1
	for n := 0; n < 2; {
		r := s.random.IntN(replicaCount)
		if slices.Contains(tried, r) {
			continue
		}
		n++
		if best < 0 || s.reported[r]+e.started[r] < s.reported[best]+e.started[best] {
			best = r
		}
	}
	return best
}

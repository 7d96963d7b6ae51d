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

// The pool that several entries share.
const (
	entryCount         = 9
	replicaCount       = 12
	replicaConcurrency = 8
	busyEntries        = 2
	busyPart           = 0.7
	reportInterval     = 200 * time.Millisecond
)

// SharedPoolRow is the outcome of one way to share a pool among entries.
type SharedPoolRow struct {
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Skewed is true where two of the nine entries get most requests.
	Skewed  bool    `json:"skewed"`
	Goodput float64 `json:"goodput"`
	// RefusalsPerAnswer are the refusals by agents for each answer.
	RefusalsPerAnswer float64 `json:"refusalsPerAnswer"`
	// LateRefused is the part of the requests that were admitted by an entry
	// and then refused by every agent it tried.
	LateRefused float64 `json:"lateRefused"`
	P95Seconds  float64 `json:"p95Seconds"`
}

type sharing struct {
	queue   *virtualtime.Queue
	random  *rand.Rand
	entries []*sharingEntry
	running [replicaCount]int
	// reported is the load that entries know of.
	reported [replicaCount]int
	answered int
	arrived  int
	refusals int
	late     int
	times    []float64
}

type sharingEntry struct {
	fair    *fair
	retries *retry.Policy
	// started counts the requests sent since the last report.
	started [replicaCount]int
}

// SharedPool measures how nine entries share one pool: each holds an equal static
// part, each may fill the whole pool, and each adapts its window to refusals.
func SharedPool(seed uint64) []SharedPoolRow {
	const whole = replicaCount * replicaConcurrency
	const share = (whole + entryCount - 1) / entryCount
	var rows []SharedPoolRow
	for _, load := range []float64{0.9, 2} {
		for _, skewed := range []bool{false, true} {
			for _, c := range []struct {
				name        string
				share, most int
			}{
				{"static part", share, share},
				{"whole pool each", whole, whole},
				{"adaptive window", share, whole},
			} {
				s := newSharing(seed, c.share, c.most)
				s.run(load, skewed)
				rows = append(rows, SharedPoolRow{
					Policy: c.name, Load: load, Skewed: skewed,
					Goodput:           float64(s.answered) / measured.Seconds() / capacity(),
					RefusalsPerAnswer: part(s.refusals, s.answered),
					LateRefused:       part(s.late, s.arrived),
					P95Seconds:        percentile95(s.times),
				})
			}
		}
	}
	return rows
}

func newSharing(seed uint64, share, whole int) *sharing {
	s := &sharing{queue: virtualtime.NewQueue(), random: rand.New(rand.NewPCG(seed, seed))}
	for range entryCount {
		f := newFair(flowcontrol.Limits{QueueLimit: queueLimit}, share)
		f.control.SetCapacity(virtualtime.Epoch, share, whole, 0)
		s.entries = append(s.entries, &sharingEntry{fair: f, retries: retry.New(retry.DefaultLimits, virtualtime.Epoch)})
	}
	return s
}

func (s *sharing) run(load float64, skewed bool) {
	for i, e := range s.entries {
		part := 1.0 / entryCount
		if skewed {
			part = (1 - busyPart) / (entryCount - busyEntries)
			if i < busyEntries {
				part = busyPart / busyEntries
			}
		}
		s.offer(e, load*part*capacity())
		s.queue.Every(tickInterval, func() { s.apply(e, e.fair.tick(s.queue.Now(), s.random.Uint64())) })
	}
	s.queue.Every(reportInterval, func() {
		s.reported = s.running
		for _, e := range s.entries {
			e.started = [replicaCount]int{}
		}
	})
	s.queue.RunUntil(warmUp + measured)
}

func (s *sharing) offer(e *sharingEntry, rate float64) {
	s.queue.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		now := s.queue.Now()
		r := run{random: s.random}
		j := &job{organisation: "a", class: tables.Interactive, arrived: now, deadline: now.Add(interactiveTime), service: r.service()}
		if s.counts(j) {
			s.arrived++
		}
		s.apply(e, e.fair.arrive(now, j, s.random.Uint64()))
		s.offer(e, rate)
	})
}

func (s *sharing) counts(j *job) bool { return j.arrived.Sub(virtualtime.Epoch) >= warmUp }

func (s *sharing) apply(e *sharingEntry, verdicts []verdict) {
	for _, v := range verdicts {
		if !v.refused {
			v.job.ran = true
			e.retries.RecordRequest(s.queue.Now())
			s.attempt(e, v.job, 1, nil)
		} else if v.job.ran && s.counts(v.job) {
			s.late++
		}
	}
}

// attempt sends a job to a replica. One that all refuse waits again.
func (s *sharing) attempt(e *sharingEntry, j *job, try int, tried []int) {
	now := s.queue.Now()
	replica := s.choose(e, tried)
	if s.running[replica] < replicaConcurrency {
		s.running[replica]++
		e.started[replica]++
		s.queue.After(min(j.service, j.deadline.Sub(now)), func() { s.end(e, j, replica) })
		return
	}
	if s.counts(j) {
		s.refusals++
	}
	v := e.retries.Decide(now, retry.Failure{
		Kind: problem.Overloaded, Outcome: problem.NotRun, Attempts: try, Remaining: j.deadline.Sub(now), MinUsefulTime: e.fair.control.MinUsefulTime(j.class),
	}, s.random.Uint64())
	if v.Retry {
		s.queue.After(v.Wait, func() { s.attempt(e, j, try+1, append(tried, replica)) })
		return
	}
	e.fair.jobs[j.ticket] = j
	s.apply(e, e.fair.verdicts(e.fair.control.Requeue(now, j.ticket, s.random.Uint64())))
}

func (s *sharing) end(e *sharingEntry, j *job, replica int) {
	now := s.queue.Now()
	s.running[replica]--
	result := flowcontrol.Failed
	if now.Before(j.deadline) {
		result = flowcontrol.Served
		if s.counts(j) {
			s.answered++
			s.times = append(s.times, now.Sub(j.arrived).Seconds())
		}
	}
	s.apply(e, e.fair.verdicts(e.fair.control.Done(now, j.ticket, result, s.random.Uint64())))
}

// choose takes the less loaded of two random replicas that have not been
// tried, by the last report and what the entry has sent since.
func (s *sharing) choose(e *sharingEntry, tried []int) int {
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

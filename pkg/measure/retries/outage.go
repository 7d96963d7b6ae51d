// Package retries measures the retry policy in virtual time: the load on the
// backend servers during and after an outage of half a pool, against always
// and never retrying.
package retries

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

// The pool, the workload and the outage of the runs.
const (
	replicas     = 12
	concurrency  = 8
	service      = time.Second
	deadline     = 10 * time.Second
	failAfter    = 300 * time.Millisecond
	outageStart  = 60 * time.Second
	outageLength = 30 * time.Second
	runLength    = 240 * time.Second
	binLength    = time.Second
	tickInterval = 100 * time.Millisecond
	backFactor   = 1.2
	backFor      = 5

	// ejectAfter consecutive failures take a replica out for ejectTime, as long
	// as half of the pool is left.
	ejectAfter = 5
	ejectTime  = 5 * time.Second
)

// capacity of the pool in requests a second.
const capacity = replicas * concurrency

// Failure says how the replicas of the outage fail.
type Failure string

// The ways to fail.
const (
	// FailMidAttempt replicas take an attempt, hold a slot and break off.
	FailMidAttempt Failure = "breaks off"
	// RefuseAttempt replicas refuse at once, certified not run.
	RefuseAttempt Failure = "refuses"
)

// decider decides on another attempt.
type decider interface {
	first(now time.Time)
	decide(now time.Time, f retry.Failure, random uint64) retry.Decision
}

type budgeted struct{ policy *retry.Policy }

func (b budgeted) first(now time.Time) { b.policy.RecordRequest(now) }

func (b budgeted) decide(now time.Time, f retry.Failure, random uint64) retry.Decision {
	return b.policy.Decide(now, f, random)
}

type always struct{}

func (always) first(time.Time) {}

func (always) decide(_ time.Time, f retry.Failure, _ uint64) retry.Decision {
	return retry.Decision{Retry: f.Remaining > 0}
}

type never struct{}

func (never) first(time.Time) {}

func (never) decide(time.Time, retry.Failure, uint64) retry.Decision { return retry.Decision{} }

// OutageRow is the outcome of one policy.
type OutageRow struct {
	Policy  string  `json:"policy"`
	Failure Failure `json:"failure"`
	Load    float64 `json:"load"`
	// Ejection is true where the entry takes failing replicas out.
	Ejection bool `json:"ejection"`
	// ServerAttemptsDuring and ServersPeakAfter are the attempts that reached backend
	// servers, as multiples of the requests that arrived.
	ServerAttemptsDuring    float64 `json:"serversDuring"`
	ServerAttemptsPeakAfter float64 `json:"serversPeakAfter"`
	// AgentAttemptsDuring counts the attempts that agents refused, too.
	AgentAttemptsDuring float64 `json:"agentsDuring"`
	// RecoverySeconds is the time from the end of the outage until the attempts at
	// agents stay within 20% of the level before for 5 s; -1 means not in the
	// run.
	RecoverySeconds float64 `json:"backSeconds"`
	// AnsweredDuring and AnsweredAfter are parts of the requests that arrived
	// in the outage and in the 60 s after it.
	AnsweredDuring float64 `json:"answeredDuring"`
	AnsweredAfter  float64 `json:"answeredAfter"`
}

// outage is one run.
type outage struct {
	queue   *virtualtime.Queue
	random  *rand.Rand
	policy  decider
	failure Failure
	// control is the queue of the entry, nil where requests do not wait.
	control *flowcontrol.Controller
	waiting map[*flowcontrol.Ticket]*request

	ejection bool
	running  [replicas]int
	failures [replicas]int
	outUntil [replicas]time.Time
	attempts map[int]int
	// started counts the attempts that reached a backend server.
	started  map[int]int
	arrived  map[int]int
	answered map[int]int
}

type request struct {
	ticket  *flowcontrol.Ticket
	arrived time.Duration
	until   time.Time
	tries   int
	tried   []int
}

func run(name string, policy decider, failure Failure, load float64, ejection, queue bool, seed uint64) OutageRow {
	o := &outage{
		queue: virtualtime.NewQueue(), random: rand.New(rand.NewPCG(seed, seed)), policy: policy, failure: failure, ejection: ejection,
		attempts: make(map[int]int), started: make(map[int]int), arrived: make(map[int]int), answered: make(map[int]int),
	}
	if queue {
		o.control = flowcontrol.New(flowcontrol.Limits{})
		o.control.SetCapacity(o.queue.Now(), capacity, capacity, 0)
		o.waiting = make(map[*flowcontrol.Ticket]*request)
		o.queue.Every(tickInterval, func() { o.apply(o.control.Reassess(o.queue.Now(), o.random.Uint64())) })
	}
	o.offer(load * capacity)
	o.queue.RunUntil(runLength)
	return o.row(name, load)
}

// admit passes a request through the queue of the entry, if there is one.
func (o *outage) admit(r *request) {
	if o.control == nil {
		o.attempt(r)
		return
	}
	ask := flowcontrol.Request{Organisation: "a", Class: tables.Interactive, Deadline: r.until}
	ticket, actions := o.control.Arrive(o.queue.Now(), ask, o.random.Uint64())
	r.ticket = ticket
	o.waiting[ticket] = r
	o.apply(actions)
}

func (o *outage) apply(actions []flowcontrol.Action) {
	for _, a := range actions {
		r := o.waiting[a.Ticket]
		delete(o.waiting, a.Ticket)
		if a.Refusal == nil {
			r.tries, r.tried = 0, nil
			o.attempt(r)
		}
	}
}

// release gives the slot of a request back. One that met full replicas waits
// again.
func (o *outage) release(r *request, result flowcontrol.Result, full bool) {
	if o.control == nil {
		return
	}
	if full {
		o.waiting[r.ticket] = r
		o.apply(o.control.Requeue(o.queue.Now(), r.ticket, o.random.Uint64()))
		return
	}
	o.apply(o.control.Done(o.queue.Now(), r.ticket, result, o.random.Uint64()))
}

func (o *outage) offer(rate float64) {
	o.queue.After(time.Duration(o.random.ExpFloat64()/rate*float64(time.Second)), func() {
		o.arrived[bin(o.queue.Elapsed())]++
		o.policy.first(o.queue.Now())
		o.admit(&request{arrived: o.queue.Elapsed(), until: o.queue.Now().Add(deadline)})
		o.offer(rate)
	})
}

// attempt sends a request to a random replica that has not been tried.
func (o *outage) attempt(r *request) {
	replica := o.choose(r)
	r.tries++
	r.tried = append(r.tried, replica)
	o.attempts[bin(o.queue.Elapsed())]++
	switch {
	case o.down(replica) && o.failure == RefuseAttempt:
		o.blame(replica)
		o.failed(r, problem.BackendUnreachable, problem.NotRun)
	case o.running[replica] >= concurrency:
		o.failed(r, problem.Overloaded, problem.NotRun)
	case o.down(replica):
		o.start(replica)
		o.queue.After(failAfter, func() {
			o.running[replica]--
			o.blame(replica)
			o.failed(r, problem.BackendUnreachable, problem.NotKnown)
		})
	default:
		o.start(replica)
		took := time.Duration(o.random.ExpFloat64() * float64(service))
		o.queue.After(took, func() { o.finish(r, replica) })
	}
}

func (o *outage) start(replica int) {
	o.running[replica]++
	o.started[bin(o.queue.Elapsed())]++
}

// blame counts a failure that speaks against the replica.
func (o *outage) blame(replica int) {
	o.failures[replica]++
	if !o.ejection || o.failures[replica] < ejectAfter {
		return
	}
	out := 0
	for i := range replicas {
		if o.queue.Now().Before(o.outUntil[i]) {
			out++
		}
	}
	if out < replicas/2 {
		o.outUntil[replica] = o.queue.Now().Add(ejectTime)
	}
}

func (o *outage) finish(r *request, replica int) {
	o.running[replica]--
	o.failures[replica] = 0
	if o.queue.Now().Before(r.until) {
		o.answered[bin(r.arrived)]++
	}
	o.release(r, flowcontrol.Served, false)
}

func (o *outage) failed(r *request, kind problem.Kind, outcome problem.Outcome) {
	now := o.queue.Now()
	v := o.policy.decide(now, retry.Failure{Kind: kind, Outcome: outcome, Idempotent: true, Attempts: r.tries, Remaining: r.until.Sub(now)}, o.random.Uint64())
	if v.Retry {
		// An attempt takes a moment even where the policy has no pause.
		const roundTrip = 20 * time.Millisecond
		o.queue.After(v.Wait+roundTrip, func() { o.attempt(r) })
		return
	}
	o.release(r, flowcontrol.Failed, kind == problem.Overloaded)
}

// choose takes the less loaded of two random replicas that have neither been
// tried nor been taken out.
func (o *outage) choose(r *request) int {
	var eligible []int
	for i := range replicas {
		if !slices.Contains(r.tried, i) && !o.queue.Now().Before(o.outUntil[i]) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		r.tried = nil
		return o.random.IntN(replicas)
	}
	a, b := eligible[o.random.IntN(len(eligible))], eligible[o.random.IntN(len(eligible))]
	if o.running[b] < o.running[a] {
		return b
	}
	return a
}

// down reports whether a replica is in the half that fails now.
func (o *outage) down(replica int) bool {
	s := o.queue.Elapsed()
	return replica < replicas/2 && s >= outageStart && s < outageStart+outageLength
}

func (o *outage) row(name string, load float64) OutageRow {
	end := outageStart + outageLength
	row := OutageRow{Policy: name, Failure: o.failure, Load: load, Ejection: o.ejection, RecoverySeconds: -1}
	offered := load * capacity
	before := float64(sum(o.attempts, outageStart/2, outageStart)) / (outageStart / 2).Seconds()
	row.ServerAttemptsDuring = float64(sum(o.started, outageStart, end)) / outageLength.Seconds() / offered
	row.AgentAttemptsDuring = float64(sum(o.attempts, outageStart, end)) / outageLength.Seconds() / offered
	calm := 0
	for s := bin(end); s < bin(runLength); s++ {
		row.ServerAttemptsPeakAfter = max(row.ServerAttemptsPeakAfter, float64(o.started[s])/offered)
		calm++
		if mean(o.attempts, s-backFor+1, s) > before*backFactor {
			calm = 0
		}
		if calm == backFor && row.RecoverySeconds < 0 {
			row.RecoverySeconds = float64(s - backFor + 1 - bin(end))
		}
	}
	row.AnsweredDuring = share(o.answered, o.arrived, outageStart, end)
	row.AnsweredAfter = share(o.answered, o.arrived, end, end+time.Minute)
	return row
}

func bin(d time.Duration) int { return int(d / binLength) }

func sum(counts map[int]int, from, to time.Duration) int {
	n := 0
	for s := bin(from); s < bin(to); s++ {
		n += counts[s]
	}
	return n
}

func mean(counts map[int]int, from, to int) float64 {
	n := 0
	for s := from; s <= to; s++ {
		n += counts[s]
	}
	return float64(n) / float64(to-from+1)
}

func share(part, of map[int]int, from, to time.Duration) float64 {
	return float64(sum(part, from, to)) / float64(sum(of, from, to))
}

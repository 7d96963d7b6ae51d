// Package retries simulates the retry policy in virtual time. It compares the load on the backend
// servers during and after an outage of half a pool with that of policies that always or never
// retry.
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

// Pool, workload and outage of the simulations.
const (
	replicas       = 12
	concurrency    = 8
	meanService    = time.Second
	requestTimeout = 10 * time.Second
	failAfter      = 300 * time.Millisecond
	outageStart    = 60 * time.Second
	outageLength   = 30 * time.Second
	runLength      = 240 * time.Second
	binLength      = time.Second
	tickInterval   = 100 * time.Millisecond
	// The pool has recovered once the mean rate of attempts over recoveredBins stays at or below
	// recoveredFactor times the rate before the outage for recoveredBins.
	recoveredFactor = 1.2
	recoveredBins   = 5

	// ejectAfter consecutive failures eject a replica for ejectTime. At most half of the pool is
	// ejected at a time.
	ejectAfter = 5
	ejectTime  = 5 * time.Second
)

// capacity is the capacity of the pool in requests a second.
const capacity = replicas * concurrency

// Failure is how the replicas of the outage fail.
type Failure string

// The kinds of failure.
const (
	// FailMidAttempt: replicas accept an attempt, occupy a slot for failAfter and then break the
	// connection, so that the outcome is not known.
	FailMidAttempt Failure = "breaks off"
	// RefuseAttempt: replicas refuse at once and certify that the request has not run.
	RefuseAttempt Failure = "refuses"
)

// retryPolicy decides whether a request is attempted again.
type retryPolicy interface {
	recordRequest(now time.Time)
	decide(now time.Time, f retry.Failure, random uint64) retry.Decision
}

type budgetPolicy struct{ policy *retry.Policy }

func (b budgetPolicy) recordRequest(now time.Time) { b.policy.RecordRequest(now) }

func (b budgetPolicy) decide(now time.Time, f retry.Failure, random uint64) retry.Decision {
	return b.policy.Decide(now, f, random)
}

type alwaysRetry struct{}

func (alwaysRetry) recordRequest(time.Time) {}

func (alwaysRetry) decide(_ time.Time, f retry.Failure, _ uint64) retry.Decision {
	return retry.Decision{Retry: f.Remaining > 0}
}

type neverRetry struct{}

func (neverRetry) recordRequest(time.Time) {}

func (neverRetry) decide(time.Time, retry.Failure, uint64) retry.Decision { return retry.Decision{} }

// OutageRow is the result of one policy.
type OutageRow struct {
	Policy  string  `json:"policy"`
	Failure Failure `json:"failure"`
	Load    float64 `json:"load"`
	// Ejection is true where the entry ejects failing replicas.
	Ejection bool `json:"ejection"`
	// ServerAttemptsDuring and ServerAttemptsPeakAfter are the attempts that reached backend
	// servers during the outage and in the busiest second after it, as multiples of the offered
	// requests.
	ServerAttemptsDuring    float64 `json:"serversDuring"`
	ServerAttemptsPeakAfter float64 `json:"serversPeakAfter"`
	// AgentAttemptsDuring also counts the attempts that agents refused.
	AgentAttemptsDuring float64 `json:"agentsDuring"`
	// RecoverySeconds is the time from the end of the outage until the attempts at agents stay at
	// most 20% above their rate before the outage for 5 s; -1 where they do not within the run.
	RecoverySeconds float64 `json:"backSeconds"`
	// AnsweredDuring and AnsweredAfter are the shares answered in time of the requests that arrived
	// in the outage and in the 60 s after it.
	AnsweredDuring float64 `json:"answeredDuring"`
	AnsweredAfter  float64 `json:"answeredAfter"`
}

// simulation is one run of a policy through an outage. Its maps count by second of the run.
type simulation struct {
	queue   *virtualtime.Queue
	random  *rand.Rand
	policy  retryPolicy
	failure Failure
	// control is the admission queue of the entry, nil where requests are not queued.
	control *flowcontrol.Controller
	waiting map[*flowcontrol.Ticket]*request

	ejection            bool
	running             [replicas]int
	consecutiveFailures [replicas]int
	ejectedUntil        [replicas]time.Time
	attempts            map[int]int
	// started counts the attempts that reached a backend server.
	started  map[int]int
	arrived  map[int]int
	answered map[int]int
}

type request struct {
	ticket   *flowcontrol.Ticket
	arrived  time.Duration
	deadline time.Time
	tries    int
	tried    []int
}

func simulateOutage(name string, policy retryPolicy, failure Failure, load float64, ejection, queue bool, seed uint64) OutageRow {
	o := &simulation{
		queue: virtualtime.NewQueue(), random: rand.New(rand.NewPCG(seed, seed)), policy: policy, failure: failure, ejection: ejection,
		attempts: make(map[int]int), started: make(map[int]int), arrived: make(map[int]int), answered: make(map[int]int),
	}
	if queue {
		o.control = flowcontrol.New(flowcontrol.Limits{})
		o.control.SetCapacity(o.queue.Now(), capacity, capacity, 0)
		o.waiting = make(map[*flowcontrol.Ticket]*request)
		o.queue.Every(tickInterval, func() { o.apply(o.control.Reassess(o.queue.Now(), o.random.Uint64())) })
	}
	o.scheduleArrivals(load * capacity)
	o.queue.RunUntil(runLength)
	return o.summarise(name, load)
}

// enqueue passes a request through the queue of the entry, if there is one.
func (o *simulation) enqueue(r *request) {
	if o.control == nil {
		o.attempt(r)
		return
	}
	req := flowcontrol.Request{Organisation: "a", Class: tables.Interactive, Deadline: r.deadline}
	ticket, actions := o.control.Arrive(o.queue.Now(), req, o.random.Uint64())
	r.ticket = ticket
	o.waiting[ticket] = r
	o.apply(actions)
}

func (o *simulation) apply(actions []flowcontrol.Action) {
	for _, a := range actions {
		r := o.waiting[a.Ticket]
		delete(o.waiting, a.Ticket)
		if a.Refusal == nil {
			r.tries, r.tried = 0, nil
			o.attempt(r)
		}
	}
}

// releaseSlot releases the slot of a request. A request whose last replica was full is queued
// again.
func (o *simulation) releaseSlot(r *request, result flowcontrol.Result, full bool) {
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

func (o *simulation) scheduleArrivals(rate float64) {
	o.queue.After(time.Duration(o.random.ExpFloat64()/rate*float64(time.Second)), func() {
		o.arrived[bin(o.queue.Elapsed())]++
		o.policy.recordRequest(o.queue.Now())
		o.enqueue(&request{arrived: o.queue.Elapsed(), deadline: o.queue.Now().Add(requestTimeout)})
		o.scheduleArrivals(rate)
	})
}

// attempt sends a request to a replica and handles the result.
func (o *simulation) attempt(r *request) {
	replica := o.chooseReplica(r)
	r.tries++
	r.tried = append(r.tried, replica)
	o.attempts[bin(o.queue.Elapsed())]++
	switch {
	case o.isDown(replica) && o.failure == RefuseAttempt:
		o.recordReplicaFailure(replica)
		o.handleFailure(r, problem.BackendUnreachable, problem.NotRun)
	case o.running[replica] >= concurrency:
		o.handleFailure(r, problem.Overloaded, problem.NotRun)
	case o.isDown(replica):
		o.startAttempt(replica)
		o.queue.After(failAfter, func() {
			o.running[replica]--
			o.recordReplicaFailure(replica)
			o.handleFailure(r, problem.BackendUnreachable, problem.NotKnown)
		})
	default:
		o.startAttempt(replica)
		duration := time.Duration(o.random.ExpFloat64() * float64(meanService))
		o.queue.After(duration, func() { o.finishAttempt(r, replica) })
	}
}

func (o *simulation) startAttempt(replica int) {
	o.running[replica]++
	o.started[bin(o.queue.Elapsed())]++
}

// recordReplicaFailure counts a failure that the replica caused. It ejects the replica after
// ejectAfter consecutive ones, unless half of the pool is ejected already.
func (o *simulation) recordReplicaFailure(replica int) {
	o.consecutiveFailures[replica]++
	if !o.ejection || o.consecutiveFailures[replica] < ejectAfter {
		return
	}
	ejected := 0
	for i := range replicas {
		if o.queue.Now().Before(o.ejectedUntil[i]) {
			ejected++
		}
	}
	if ejected < replicas/2 {
		o.ejectedUntil[replica] = o.queue.Now().Add(ejectTime)
	}
}

func (o *simulation) finishAttempt(r *request, replica int) {
	o.running[replica]--
	o.consecutiveFailures[replica] = 0
	if o.queue.Now().Before(r.deadline) {
		o.answered[bin(r.arrived)]++
	}
	o.releaseSlot(r, flowcontrol.Served, false)
}

func (o *simulation) handleFailure(r *request, kind problem.Kind, outcome problem.Outcome) {
	now := o.queue.Now()
	decision := o.policy.decide(now, retry.Failure{Kind: kind, Outcome: outcome, Idempotent: true, Attempts: r.tries, Remaining: r.deadline.Sub(now)}, o.random.Uint64())
	if decision.Retry {
		// An attempt takes a round trip even where the policy does not wait.
		const roundTrip = 20 * time.Millisecond
		o.queue.After(decision.Wait+roundTrip, func() { o.attempt(r) })
		return
	}
	o.releaseSlot(r, flowcontrol.Failed, kind == problem.Overloaded)
}

// chooseReplica returns the less loaded of two random replicas that are neither tried nor ejected.
// If there is none, it returns any replica, also an ejected one, and all may be tried again.
func (o *simulation) chooseReplica(r *request) int {
	var eligible []int
	for i := range replicas {
		if !slices.Contains(r.tried, i) && !o.queue.Now().Before(o.ejectedUntil[i]) {
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

// isDown reports whether a replica is in the half of the pool that fails, during the outage.
func (o *simulation) isDown(replica int) bool {
	s := o.queue.Elapsed()
	return replica < replicas/2 && s >= outageStart && s < outageStart+outageLength
}

func (o *simulation) summarise(name string, load float64) OutageRow {
	end := outageStart + outageLength
	row := OutageRow{Policy: name, Failure: o.failure, Load: load, Ejection: o.ejection, RecoverySeconds: -1}
	offered := load * capacity
	before := float64(sum(o.attempts, outageStart/2, outageStart)) / (outageStart / 2).Seconds()
	row.ServerAttemptsDuring = float64(sum(o.started, outageStart, end)) / outageLength.Seconds() / offered
	row.AgentAttemptsDuring = float64(sum(o.attempts, outageStart, end)) / outageLength.Seconds() / offered
	recovered := 0
	for s := bin(end); s < bin(runLength); s++ {
		row.ServerAttemptsPeakAfter = max(row.ServerAttemptsPeakAfter, float64(o.started[s])/offered)
		recovered++
		if mean(o.attempts, s-recoveredBins+1, s) > before*recoveredFactor {
			recovered = 0
		}
		if recovered == recoveredBins && row.RecoverySeconds < 0 {
			row.RecoverySeconds = float64(s - recoveredBins + 1 - bin(end))
		}
	}
	row.AnsweredDuring = ratio(o.answered, o.arrived, outageStart, end)
	row.AnsweredAfter = ratio(o.answered, o.arrived, end, end+time.Minute)
	return row
}

// bin returns the index of the bin that a time is in.
func bin(d time.Duration) int { return int(d / binLength) }

// sum returns the total of the bins from one time up to another.
func sum(counts map[int]int, from, to time.Duration) int {
	n := 0
	for s := bin(from); s < bin(to); s++ {
		n += counts[s]
	}
	return n
}

// mean returns the mean count of the bins from one index to another, both included.
func mean(counts map[int]int, from, to int) float64 {
	n := 0
	for s := from; s <= to; s++ {
		n += counts[s]
	}
	return float64(n) / float64(to-from+1)
}

// ratio returns the share of all counts that a part makes up between two times.
func ratio(part, of map[int]int, from, to time.Duration) float64 {
	return float64(sum(part, from, to)) / float64(sum(of, from, to))
}

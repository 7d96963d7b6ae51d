package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	decision "github.com/fescuehub/fescuehub/pkg/routing"
)

// Site is the size of a deployment, its latencies and its workload.
type Site struct {
	Name              string
	Entries, Replicas int
	Domains           int
	Engine            Engine
	Workload          Workload
	Length            time.Duration
	// SameDomainLatency and CrossDomainLatency are the one-way latencies to a replica in the same
	// and in another failure domain.
	SameDomainLatency, CrossDomainLatency time.Duration
	// StatusInterval is the interval of statuses on an idle link.
	StatusInterval time.Duration
	// LoadReportLag is the maximum age of the load that an engine reports.
	LoadReportLag time.Duration
}

// Fault is the fault or the change of workload that a run simulates.
type Fault string

// The faults. PrefixDrift changes the popular prefixes throughout the run. StalledGroup and
// DomainLost begin after the first third of the run; a stalled group recovers after the second
// third, a lost domain does not.
const (
	NoFault      Fault = "steady"
	PrefixDrift  Fault = "drift"
	StalledGroup Fault = "stalled group"
	DomainLost   Fault = "domain lost"
)

const (
	// stallFactor multiplies the step time of a stalled group.
	stallFactor = 6
	// connectTimeout is how long an attempt at a lost replica takes to fail.
	connectTimeout = 500 * time.Millisecond
	// silenceTimeout is how long an entry waits for a lost replica before it fails the requests in
	// flight there and closes the link.
	silenceTimeout = 2 * time.Second
	maxAttempts    = 3
	// addressesPerOrganisation is the number of entries in an organisation's address answer; a
	// large organisation gets addressesPerLargeOrganisation.
	addressesPerOrganisation      = 3
	addressesPerLargeOrganisation = 5
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// entry is one entry with its own view of its subset of the replicas.
type entry struct {
	name   string
	domain string
	down   bool
	views  []decision.Replica
	// viewIndex maps the index of a replica to its index in views, -1 if it is not in the subset.
	viewIndex []int
	selector  decision.Selector
}

// simulation is the state of one simulation.
type simulation struct {
	site          Site
	fault         Fault
	now           time.Duration
	seq           int
	queue         eventQueue
	random        *rand.Rand
	source        *source
	entries       []*entry
	replicas      []*replica
	replicaByName map[string]*replica
	result        *collector
}

// run simulates one site under one fault with one selector.
func run(site Site, fault Fault, newSelector func(Caches) decision.Selector, seed uint64) *collector {
	sim := &simulation{
		site: site, fault: fault, random: rand.New(rand.NewPCG(seed, 3)), result: &collector{},
		source: newSource(site.Workload, site.Replicas, fault == PrefixDrift, site.Length, seed),
	}
	sim.build(newSelector)
	sim.schedule()
	for sim.queue.Len() > 0 {
		e := heap.Pop(&sim.queue).(*event)
		sim.now = e.at
		sim.handle(e)
	}
	return sim.result
}

func (sim *simulation) build(newSelector func(Caches) decision.Selector) {
	domain := func(i int) string { return fmt.Sprintf("domain-%d", i%sim.site.Domains) }
	var entryNodes, replicaNodes []decision.Node
	for i := range sim.site.Replicas {
		r := newReplica(i, fmt.Sprintf("replica-%d", i), domain(i), sim.site.Engine)
		sim.replicas = append(sim.replicas, r)
		replicaNodes = append(replicaNodes, decision.Node{Name: r.name, FailureDomain: r.domain})
	}
	for i := range sim.site.Entries {
		entryNodes = append(entryNodes, decision.Node{Name: fmt.Sprintf("entry-%d", i), FailureDomain: domain(i)})
	}
	sim.replicaByName = make(map[string]*replica, len(sim.replicas))
	for _, r := range sim.replicas {
		sim.replicaByName[r.name] = r
	}
	for _, n := range entryNodes {
		e := &entry{name: n.Name, domain: n.FailureDomain, selector: newSelector(sim), viewIndex: make([]int, len(sim.replicas))}
		for i := range e.viewIndex {
			e.viewIndex[i] = -1
		}
		for _, rn := range decision.Subset(n, entryNodes, replicaNodes) {
			r := sim.replicaByName[rn.Name]
			e.viewIndex[r.index] = len(e.views)
			e.views = append(e.views, decision.Replica{
				Name: r.name, FailureDomain: r.domain, Concurrency: sim.site.Engine.MaxBatch, FirstSeen: epoch.Add(-time.Hour),
				RTT: 2 * sim.latency(e, r),
			})
		}
		sim.entries = append(sim.entries, e)
	}
}

func (sim *simulation) schedule() {
	sim.scheduleArrival()
	for _, r := range sim.replicas {
		sim.push(&event{at: sim.jitter(sim.site.LoadReportLag), kind: loadRefresh, replica: r})
		sim.push(&event{at: sim.jitter(sim.site.StatusInterval), kind: statusDue, replica: r})
	}
	sim.push(&event{at: sim.site.Length / 3, kind: faultStart})
	sim.push(&event{at: 2 * sim.site.Length / 3, kind: faultEnd})
}

func (sim *simulation) handle(e *event) {
	switch e.kind {
	case requestArrival:
		sim.send(e.request)
		sim.scheduleArrival()
	case requestAtReplica:
		sim.deliverToReplica(e.request)
	case stepFinished:
		sim.finishStep(e)
	case loadRefresh:
		e.replica.refreshLoad(sim.now)
		sim.reschedule(e, sim.site.LoadReportLag)
	case statusDue:
		sim.sendStatus(e.replica)
		sim.reschedule(e, sim.site.StatusInterval)
	case loadReceived:
		sim.updateLoad(e.entry, e.replica, e.load)
	case attemptFailed:
		sim.handleFailure(e.request)
	case faultStart:
		sim.startFault()
	case faultEnd:
		sim.endFault()
	case linksClosed:
		sim.drainLostReplicas()
	}
}

func (sim *simulation) scheduleArrival() {
	if q := sim.source.next(); q != nil {
		sim.push(&event{at: q.arrival, kind: requestArrival, request: q})
	}
}

// send sends a request through an entry of its organisation's address answer to the replica that
// the entry selects.
func (sim *simulation) send(q *request) {
	if q.entry == nil || q.entry.down {
		q.entry = sim.entryOf(q.organisation)
	}
	e := q.entry
	now := epoch.Add(sim.now)
	chosen, ok := e.selector.Select(now, decision.Request{
		FailureDomain: e.domain, PrefixHash: q.prefix, Exclude: q.tried,
	}, e.views, sim.random.Uint64())
	if !ok {
		sim.result.lost++
		return
	}
	q.replica = sim.replicaByName[chosen.Name]
	e.views[e.viewIndex[q.replica.index]].InFlight++
	q.tried = append(q.tried, chosen.Name)
	q.attempts++
	sim.push(&event{at: sim.now + sim.latency(e, q.replica), kind: requestAtReplica, request: q})
}

// Holds implements Caches.
func (sim *simulation) Holds(name string, prefix uint64) bool {
	_, ok := sim.replicaByName[name].cached[prefix]
	return ok
}

// deliverToReplica queues a request at its replica, or fails the attempt if the replica is lost.
func (sim *simulation) deliverToReplica(q *request) {
	r := q.replica
	if r.down {
		sim.push(&event{at: sim.now + connectTimeout, kind: attemptFailed, request: q})
		return
	}
	r.enqueue(q)
	if !r.busy {
		sim.startStep(r)
	}
}

func (sim *simulation) startStep(r *replica) {
	stepTime := r.beginStep()
	r.busy = len(r.running) > 0
	if r.busy {
		sim.push(&event{at: sim.now + stepTime, kind: stepFinished, replica: r, stepTime: stepTime})
	}
}

func (sim *simulation) finishStep(e *event) {
	r := e.replica
	if r.down {
		return
	}
	for _, q := range r.endStep(sim.now, e.stepTime) {
		sim.recordAnswer(q)
	}
	for _, q := range r.running {
		if q.tokensProduced == 1 {
			sim.sendLoadWithFrame(q)
		}
	}
	sim.startStep(r)
}

func (sim *simulation) recordAnswer(q *request) {
	sim.sendLoadWithFrame(q)
	view := &q.entry.views[q.entry.viewIndex[q.replica.index]]
	view.InFlight--
	view.Failures = 0
	sim.result.add(q, sim.latency(q.entry, q.replica))
}

// sendLoadWithFrame delivers the load that an answer's frame carries to the entry.
func (sim *simulation) sendLoadWithFrame(q *request) {
	sim.push(&event{at: sim.now + sim.latency(q.entry, q.replica), kind: loadReceived, entry: q.entry, replica: q.replica, load: q.replica.reported})
}

// sendStatus sends the load of a replica to every entry that is connected to it.
func (sim *simulation) sendStatus(r *replica) {
	if r.down {
		return
	}
	for _, e := range sim.entries {
		if e.viewIndex[r.index] >= 0 {
			sim.updateLoad(e, r, r.reported)
		}
	}
}

func (sim *simulation) updateLoad(e *entry, r *replica, load decision.Load) {
	view := &e.views[e.viewIndex[r.index]]
	view.Load = load
	view.LoadAt = epoch.Add(sim.now)
	view.InFlightAtLoad = view.InFlight
}

// handleFailure records a failed attempt and retries the request at another replica, up to
// maxAttempts.
func (sim *simulation) handleFailure(q *request) {
	view := &q.entry.views[q.entry.viewIndex[q.replica.index]]
	view.InFlight--
	view.Failures++
	view.FailedAt = epoch.Add(sim.now)
	sim.result.failedAttempts++
	if q.attempts >= maxAttempts {
		sim.result.lost++
		return
	}
	sim.send(q)
}

func (sim *simulation) startFault() {
	switch sim.fault {
	case StalledGroup:
		sim.replicas[0].slowdown = stallFactor
	case DomainLost:
		sim.loseDomain(sim.replicas[0].domain)
	}
}

// drainLostReplicas marks lost replicas as draining in every view once they have been silent for
// silenceTimeout. It applies to every policy alike.
func (sim *simulation) drainLostReplicas() {
	for _, e := range sim.entries {
		for _, r := range sim.replicas {
			if r.down && e.viewIndex[r.index] >= 0 {
				e.views[e.viewIndex[r.index]].Draining = true
			}
		}
	}
}

func (sim *simulation) endFault() {
	sim.replicas[0].slowdown = 1
}

// loseDomain takes down the entries and replicas of a failure domain. Requests in flight at its
// replicas fail after silenceTimeout; those of lost entries arrive again at another entry.
func (sim *simulation) loseDomain(domain string) {
	for _, e := range sim.entries {
		e.down = e.down || e.domain == domain
	}
	sim.push(&event{at: sim.now + silenceTimeout, kind: linksClosed})
	for _, r := range sim.replicas {
		if r.domain != domain {
			continue
		}
		r.down = true
		for _, q := range append(r.running, r.waiting...) {
			q.tokensProduced = 0
			if !q.entry.down {
				sim.push(&event{at: sim.now + silenceTimeout, kind: attemptFailed, request: q})
				continue
			}
			q.tried = nil
			sim.push(&event{at: sim.now + silenceTimeout, kind: requestArrival, request: q})
		}
	}
}

// entryOf returns a random one of the entries that rendezvous hashing assigns to an organisation.
func (sim *simulation) entryOf(organisation int) *entry {
	n := addressesPerOrganisation
	if organisation < sim.site.Workload.LargeOrganisations {
		n = addressesPerLargeOrganisation
	}
	type scored struct {
		entry *entry
		hash  uint64
	}
	best := make([]scored, 0, n+1)
	for _, e := range sim.entries {
		if e.down {
			continue
		}
		s := scored{e, xxhash.Sum64String(fmt.Sprint(organisation, "/", e.name))}
		i := len(best)
		for i > 0 && best[i-1].hash < s.hash {
			i--
		}
		best = append(best[:i], append([]scored{s}, best[i:]...)...)
		best = best[:min(len(best), n)]
	}
	return best[sim.random.IntN(len(best))].entry
}

func (sim *simulation) latency(e *entry, r *replica) time.Duration {
	if e.domain == r.domain {
		return sim.site.SameDomainLatency
	}
	return sim.site.CrossDomainLatency
}

func (sim *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(d)))
}

// reschedule repeats a periodic event until the run ends.
func (sim *simulation) reschedule(e *event, after time.Duration) {
	e.at = sim.now + after
	if e.at < sim.site.Length {
		sim.push(e)
	}
}

func (sim *simulation) push(e *event) {
	sim.seq++
	e.seq = sim.seq
	heap.Push(&sim.queue, e)
}

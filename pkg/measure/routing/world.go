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

// world is the state of one simulation.
type world struct {
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
	w := &world{
		site: site, fault: fault, random: rand.New(rand.NewPCG(seed, 3)), result: &collector{},
		source: newSource(site.Workload, site.Replicas, fault == PrefixDrift, site.Length, seed),
	}
	w.build(newSelector)
	w.schedule()
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.at
		w.handle(e)
	}
	return w.result
}

func (w *world) build(newSelector func(Caches) decision.Selector) {
	domain := func(i int) string { return fmt.Sprintf("domain-%d", i%w.site.Domains) }
	var entryNodes, replicaNodes []decision.Node
	for i := range w.site.Replicas {
		r := newReplica(i, fmt.Sprintf("replica-%d", i), domain(i), w.site.Engine)
		w.replicas = append(w.replicas, r)
		replicaNodes = append(replicaNodes, decision.Node{Name: r.name, FailureDomain: r.domain})
	}
	for i := range w.site.Entries {
		entryNodes = append(entryNodes, decision.Node{Name: fmt.Sprintf("entry-%d", i), FailureDomain: domain(i)})
	}
	w.replicaByName = make(map[string]*replica, len(w.replicas))
	for _, r := range w.replicas {
		w.replicaByName[r.name] = r
	}
	for _, n := range entryNodes {
		e := &entry{name: n.Name, domain: n.FailureDomain, selector: newSelector(w), viewIndex: make([]int, len(w.replicas))}
		for i := range e.viewIndex {
			e.viewIndex[i] = -1
		}
		for _, rn := range decision.Subset(n, entryNodes, replicaNodes) {
			r := w.replicaByName[rn.Name]
			e.viewIndex[r.index] = len(e.views)
			e.views = append(e.views, decision.Replica{
				Name: r.name, FailureDomain: r.domain, Concurrency: w.site.Engine.MaxBatch, FirstSeen: epoch.Add(-time.Hour),
				RTT: 2 * w.latency(e, r),
			})
		}
		w.entries = append(w.entries, e)
	}
}

func (w *world) schedule() {
	w.scheduleArrival()
	for _, r := range w.replicas {
		w.push(&event{at: w.jitter(w.site.LoadReportLag), kind: loadRefresh, replica: r})
		w.push(&event{at: w.jitter(w.site.StatusInterval), kind: statusDue, replica: r})
	}
	w.push(&event{at: w.site.Length / 3, kind: faultStart})
	w.push(&event{at: 2 * w.site.Length / 3, kind: faultEnd})
}

func (w *world) handle(e *event) {
	switch e.kind {
	case requestArrival:
		w.send(e.request)
		w.scheduleArrival()
	case requestAtReplica:
		w.deliverToReplica(e.request)
	case stepFinished:
		w.finishStep(e)
	case loadRefresh:
		e.replica.refreshLoad(w.now)
		w.reschedule(e, w.site.LoadReportLag)
	case statusDue:
		w.sendStatus(e.replica)
		w.reschedule(e, w.site.StatusInterval)
	case loadReceived:
		w.updateLoad(e.entry, e.replica, e.load)
	case attemptFailed:
		w.handleFailure(e.request)
	case faultStart:
		w.startFault()
	case faultEnd:
		w.endFault()
	case linksClosed:
		w.drainLostReplicas()
	}
}

func (w *world) scheduleArrival() {
	if q := w.source.next(); q != nil {
		w.push(&event{at: q.arrival, kind: requestArrival, request: q})
	}
}

// send sends a request through an entry of its organisation's address answer to the replica that
// the entry selects.
func (w *world) send(q *request) {
	if q.entry == nil || q.entry.down {
		q.entry = w.entryOf(q.organisation)
	}
	e := q.entry
	now := epoch.Add(w.now)
	chosen, ok := e.selector.Select(now, decision.Request{
		FailureDomain: e.domain, PrefixHash: q.prefix, Exclude: q.tried,
	}, e.views, w.random.Uint64())
	if !ok {
		w.result.lost++
		return
	}
	q.replica = w.replicaByName[chosen.Name]
	e.views[e.viewIndex[q.replica.index]].InFlight++
	q.tried = append(q.tried, chosen.Name)
	q.attempts++
	w.push(&event{at: w.now + w.latency(e, q.replica), kind: requestAtReplica, request: q})
}

// Holds implements Caches.
func (w *world) Holds(name string, prefix uint64) bool {
	_, ok := w.replicaByName[name].cached[prefix]
	return ok
}

// deliverToReplica queues a request at its replica, or fails the attempt if the replica is lost.
func (w *world) deliverToReplica(q *request) {
	r := q.replica
	if r.down {
		w.push(&event{at: w.now + connectTimeout, kind: attemptFailed, request: q})
		return
	}
	r.enqueue(q)
	if !r.busy {
		w.startStep(r)
	}
}

func (w *world) startStep(r *replica) {
	stepTime := r.beginStep()
	r.busy = len(r.running) > 0
	if r.busy {
		w.push(&event{at: w.now + stepTime, kind: stepFinished, replica: r, stepTime: stepTime})
	}
}

func (w *world) finishStep(e *event) {
	r := e.replica
	if r.down {
		return
	}
	for _, q := range r.endStep(w.now, e.stepTime) {
		w.recordAnswer(q)
	}
	for _, q := range r.running {
		if q.tokensProduced == 1 {
			w.sendLoadWithFrame(q)
		}
	}
	w.startStep(r)
}

func (w *world) recordAnswer(q *request) {
	w.sendLoadWithFrame(q)
	view := &q.entry.views[q.entry.viewIndex[q.replica.index]]
	view.InFlight--
	view.Failures = 0
	w.result.add(q, w.latency(q.entry, q.replica))
}

// sendLoadWithFrame delivers the load that an answer's frame carries to the entry.
func (w *world) sendLoadWithFrame(q *request) {
	w.push(&event{at: w.now + w.latency(q.entry, q.replica), kind: loadReceived, entry: q.entry, replica: q.replica, load: q.replica.reported})
}

// sendStatus sends the load of a replica to every entry that is connected to it.
func (w *world) sendStatus(r *replica) {
	if r.down {
		return
	}
	for _, e := range w.entries {
		if e.viewIndex[r.index] >= 0 {
			w.updateLoad(e, r, r.reported)
		}
	}
}

func (w *world) updateLoad(e *entry, r *replica, load decision.Load) {
	view := &e.views[e.viewIndex[r.index]]
	view.Load = load
	view.LoadAt = epoch.Add(w.now)
	view.InFlightAtLoad = view.InFlight
}

// handleFailure records a failed attempt and retries the request at another replica, up to
// maxAttempts.
func (w *world) handleFailure(q *request) {
	view := &q.entry.views[q.entry.viewIndex[q.replica.index]]
	view.InFlight--
	view.Failures++
	view.FailedAt = epoch.Add(w.now)
	w.result.failedAttempts++
	if q.attempts >= maxAttempts {
		w.result.lost++
		return
	}
	w.send(q)
}

func (w *world) startFault() {
	switch w.fault {
	case StalledGroup:
		w.replicas[0].slowdown = stallFactor
	case DomainLost:
		w.loseDomain(w.replicas[0].domain)
	}
}

// drainLostReplicas marks lost replicas as draining in every view once they have been silent for
// silenceTimeout. It applies to every policy alike.
func (w *world) drainLostReplicas() {
	for _, e := range w.entries {
		for _, r := range w.replicas {
			if r.down && e.viewIndex[r.index] >= 0 {
				e.views[e.viewIndex[r.index]].Draining = true
			}
		}
	}
}

func (w *world) endFault() {
	w.replicas[0].slowdown = 1
}

// loseDomain takes down the entries and replicas of a failure domain. Requests in flight at its
// replicas fail after silenceTimeout; those of lost entries arrive again at another entry.
func (w *world) loseDomain(domain string) {
	for _, e := range w.entries {
		e.down = e.down || e.domain == domain
	}
	w.push(&event{at: w.now + silenceTimeout, kind: linksClosed})
	for _, r := range w.replicas {
		if r.domain != domain {
			continue
		}
		r.down = true
		for _, q := range append(r.running, r.waiting...) {
			q.tokensProduced = 0
			if !q.entry.down {
				w.push(&event{at: w.now + silenceTimeout, kind: attemptFailed, request: q})
				continue
			}
			q.tried = nil
			w.push(&event{at: w.now + silenceTimeout, kind: requestArrival, request: q})
		}
	}
}

// entryOf returns a random entry of the organisation's stable subset, chosen by rendezvous hashing.
func (w *world) entryOf(organisation int) *entry {
	n := addressesPerOrganisation
	if organisation < w.site.Workload.LargeOrganisations {
		n = addressesPerLargeOrganisation
	}
	type scored struct {
		entry *entry
		hash  uint64
	}
	best := make([]scored, 0, n+1)
	for _, e := range w.entries {
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
	return best[w.random.IntN(len(best))].entry
}

func (w *world) latency(e *entry, r *replica) time.Duration {
	if e.domain == r.domain {
		return w.site.SameDomainLatency
	}
	return w.site.CrossDomainLatency
}

func (w *world) jitter(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// reschedule repeats a periodic event until the run ends.
func (w *world) reschedule(e *event, after time.Duration) {
	e.at = w.now + after
	if e.at < w.site.Length {
		w.push(e)
	}
}

func (w *world) push(e *event) {
	w.seq++
	e.seq = w.seq
	heap.Push(&w.queue, e)
}

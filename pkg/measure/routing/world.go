package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	decision "github.com/fescuehub/fescuehub/pkg/routing"
)

// Site is the size of a run and its delays.
type Site struct {
	Name              string
	Entries, Replicas int
	Domains           int
	Engine            Engine
	Workload          Workload
	Length            time.Duration
	// SameDomainLatency and CrossDomainLatency are the latencies to a replica in the same and in
	// another failure domain.
	SameDomainLatency, CrossDomainLatency time.Duration
	// StatusInterval is the interval of statuses on an idle link.
	StatusInterval time.Duration
	// LoadReportLag is the age of what an engine reports of its load.
	LoadReportLag time.Duration
}

// Fault is what happens between the first and the second third of a run.
type Fault string

// The faults.
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
	// silenceBound is how long an answer under way waits for a lost replica.
	silenceBound = 2 * time.Second
	maxAttempts  = 3
	// addressesPerOrganisation is the size of an organisation's address
	// answer; a large organisation gets largeAddresses.
	addressesPerOrganisation = 3
	largeAddresses           = 5
)

// epoch is the time of the start of a run.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// entry is one entry with its own view of its subset of the replicas.
type entry struct {
	name   string
	domain string
	dead   bool
	views  []decision.Replica
	// places maps the index of a replica to its place in views, -1 if none.
	places   []int
	selector decision.Selector
}

type world struct {
	site     Site
	fault    Fault
	now      time.Duration
	order    int
	queue    eventQueue
	random   *rand.Rand
	source   *source
	entries  []*entry
	replicas []*replica
	named    map[string]*replica
	result   *collector
}

// run plays one site under one fault with one selector.
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
	w.named = make(map[string]*replica, len(w.replicas))
	for _, r := range w.replicas {
		w.named[r.name] = r
	}
	for _, n := range entryNodes {
		e := &entry{name: n.Name, domain: n.FailureDomain, selector: newSelector(w), places: make([]int, len(w.replicas))}
		for i := range e.places {
			e.places[i] = -1
		}
		for _, rn := range decision.Subset(n, entryNodes, replicaNodes) {
			r := w.named[rn.Name]
			e.places[r.index] = len(e.views)
			e.views = append(e.views, decision.Replica{
				Name: r.name, FailureDomain: r.domain, Concurrency: w.site.Engine.MaxBatch, FirstSeen: epoch.Add(-time.Hour),
				RTT: 2 * w.latency(e, r),
			})
		}
		w.entries = append(w.entries, e)
	}
}

func (w *world) schedule() {
	w.arriveNext()
	for _, r := range w.replicas {
		w.push(&event{at: w.jitter(w.site.LoadReportLag), kind: refresh, replica: r})
		w.push(&event{at: w.jitter(w.site.StatusInterval), kind: status, replica: r})
	}
	w.push(&event{at: w.site.Length / 3, kind: faultBegins})
	w.push(&event{at: 2 * w.site.Length / 3, kind: faultEnds})
}

func (w *world) handle(e *event) {
	switch e.kind {
	case arrive:
		w.send(e.request)
		w.arriveNext()
	case reach:
		w.reached(e.request)
	case stepEnd:
		w.stepEnded(e)
	case refresh:
		e.replica.refresh(w.now)
		w.again(e, w.site.LoadReportLag)
	case status:
		w.report(e.replica)
		w.again(e, w.site.StatusInterval)
	case loadSeen:
		w.see(e.entry, e.replica, e.load)
	case attemptFailed:
		w.failed(e.request)
	case faultBegins:
		w.beginFault()
	case faultEnds:
		w.endFault()
	case linksClosed:
		w.closeLinks()
	}
}

func (w *world) arriveNext() {
	if q := w.source.next(); q != nil {
		w.push(&event{at: q.arrival, kind: arrive, request: q})
	}
}

// send gives a request to an entry of its organisation's address answer, which
// chooses a replica.
func (w *world) send(q *request) {
	if q.entry == nil || q.entry.dead {
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
	q.replica = w.named[chosen.Name]
	e.views[e.places[q.replica.index]].InFlight++
	q.tried = append(q.tried, chosen.Name)
	q.attempts++
	w.push(&event{at: w.now + w.latency(e, q.replica), kind: reach, request: q})
}

// Holds implements Caches.
func (w *world) Holds(name string, prefix uint64) bool {
	_, ok := w.named[name].cached[prefix]
	return ok
}

func (w *world) reached(q *request) {
	r := q.replica
	if r.dead {
		w.push(&event{at: w.now + connectTimeout, kind: attemptFailed, request: q})
		return
	}
	r.add(q)
	if !r.busy {
		w.startStep(r)
	}
}

func (w *world) startStep(r *replica) {
	took := r.beginStep()
	r.busy = len(r.running) > 0
	if r.busy {
		w.push(&event{at: w.now + took, kind: stepEnd, replica: r, took: took})
	}
}

func (w *world) stepEnded(e *event) {
	r := e.replica
	if r.dead {
		return
	}
	for _, q := range r.endStep(w.now, e.took) {
		w.finished(q)
	}
	for _, q := range r.running {
		if q.produced == 1 {
			w.piggyback(q)
		}
	}
	w.startStep(r)
}

func (w *world) finished(q *request) {
	w.piggyback(q)
	view := &q.entry.views[q.entry.places[q.replica.index]]
	view.InFlight--
	view.Failures = 0
	w.result.add(q, w.latency(q.entry, q.replica))
}

// piggyback gives the entry the load that the answer's frame carries.
func (w *world) piggyback(q *request) {
	w.push(&event{at: w.now + w.latency(q.entry, q.replica), kind: loadSeen, entry: q.entry, replica: q.replica, load: q.replica.reported})
}

// report sends a status to every entry that is connected.
func (w *world) report(r *replica) {
	if r.dead {
		return
	}
	for _, e := range w.entries {
		if e.places[r.index] >= 0 {
			w.see(e, r, r.reported)
		}
	}
}

func (w *world) see(e *entry, r *replica, load decision.Load) {
	view := &e.views[e.places[r.index]]
	view.Load = load
	view.LoadAt = epoch.Add(w.now)
	view.InFlightAtLoad = view.InFlight
}

// failed tries the request again elsewhere.
func (w *world) failed(q *request) {
	view := &q.entry.views[q.entry.places[q.replica.index]]
	view.InFlight--
	view.Failures++
	view.FailedAt = epoch.Add(w.now)
	w.result.noticed++
	if q.attempts >= maxAttempts {
		w.result.lost++
		return
	}
	w.send(q)
}

func (w *world) beginFault() {
	switch w.fault {
	case StalledGroup:
		w.replicas[0].slow = stallFactor
	case DomainLost:
		w.loseDomain(w.replicas[0].domain)
	}
}

// closeLinks takes lost replicas out of every view once they have been silent
// for the bound, for every policy alike.
func (w *world) closeLinks() {
	for _, e := range w.entries {
		for _, r := range w.replicas {
			if r.dead && e.places[r.index] >= 0 {
				e.views[e.places[r.index]].Draining = true
			}
		}
	}
}

func (w *world) endFault() {
	w.replicas[0].slow = 1
}

func (w *world) loseDomain(domain string) {
	for _, e := range w.entries {
		e.dead = e.dead || e.domain == domain
	}
	w.push(&event{at: w.now + silenceBound, kind: linksClosed})
	for _, r := range w.replicas {
		if r.domain != domain {
			continue
		}
		r.dead = true
		for _, q := range append(r.running, r.waiting...) {
			q.produced = 0
			if !q.entry.dead {
				w.push(&event{at: w.now + silenceBound, kind: attemptFailed, request: q})
				continue
			}
			q.tried = nil
			w.push(&event{at: w.now + silenceBound, kind: arrive, request: q})
		}
	}
}

// entryOf returns an entry of the organisation's stable subset, at random.
func (w *world) entryOf(organisation int) *entry {
	n := addressesPerOrganisation
	if organisation < w.site.Workload.LargeOrganisations {
		n = largeAddresses
	}
	type scored struct {
		entry *entry
		hash  uint64
	}
	best := make([]scored, 0, n+1)
	for _, e := range w.entries {
		if e.dead {
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

// again repeats a periodic event until the run ends.
func (w *world) again(e *event, after time.Duration) {
	e.at = w.now + after
	if e.at < w.site.Length {
		w.push(e)
	}
}

func (w *world) push(e *event) {
	w.order++
	e.order = w.order
	heap.Push(&w.queue, e)
}

package routing

import (
	"container/list"
	"time"

	decision "github.com/fescuehub/fescuehub/pkg/routing"
)

// Engine is the cost model of a model group.
type Engine struct {
	// MaxBatch bounds the running requests.
	MaxBatch int
	// BaseStep is the time of a step without work; each running request and each
	// prompt token processed adds to it.
	BaseStep, PerRequest, PerPromptToken time.Duration
	// ChunkTokens bounds the prompt tokens that one step processes.
	ChunkTokens int
	// CachePrefixes bounds the prefixes that the cache holds.
	CachePrefixes int
}

// request is one request of the workload.
type request struct {
	arrival      time.Duration
	organisation int
	prefix       uint64
	prefixTokens int
	ownTokens    int
	outputTokens int

	entry    *entry
	replica  *replica
	attempts int
	// toProcess is what is left of the prompt.
	toProcess int
	produced  int
	hit       bool
	firstAt   time.Duration
	lastAt    time.Duration
	tried     []string
}

// replica is one model group with continuous batching.
type replica struct {
	index   int
	name    string
	domain  string
	engine  Engine
	dead    bool
	slow    float64
	busy    bool
	running []*request
	waiting []*request
	order   *list.List
	cached  map[uint64]*list.Element
	// stepMS is the time of the last step, measured at steppedAt.
	stepMS    float64
	steppedAt time.Duration
	// reported is what the engine says now; it is refreshed with a lag.
	reported decision.Load
}

func newReplica(index int, name, domain string, engine Engine) *replica {
	return &replica{
		index: index, name: name, domain: domain, engine: engine, slow: 1,
		order: list.New(), cached: make(map[uint64]*list.Element),
	}
}

// add queues a request. The cache is looked up when processing begins.
func (r *replica) add(q *request) { r.waiting = append(r.waiting, q) }

// beginStep admits waiting requests and returns the time of the step.
func (r *replica) beginStep() time.Duration {
	for len(r.waiting) > 0 && len(r.running) < r.engine.MaxBatch {
		q := r.waiting[0]
		r.waiting = r.waiting[1:]
		q.hit = r.lookUp(q.prefix)
		q.toProcess = q.ownTokens
		if !q.hit {
			q.toProcess += q.prefixTokens
		}
		r.running = append(r.running, q)
	}
	chunk := r.engine.ChunkTokens
	for _, q := range r.running {
		n := min(chunk, q.toProcess)
		q.toProcess -= n
		chunk -= n
	}
	d := r.engine.BaseStep + time.Duration(len(r.running))*r.engine.PerRequest +
		time.Duration(r.engine.ChunkTokens-chunk)*r.engine.PerPromptToken
	return time.Duration(float64(d) * r.slow)
}

// endStep gives a token to every request whose prompt has been processed and
// returns the requests that are finished.
func (r *replica) endStep(now, took time.Duration) (finished []*request) {
	r.stepMS = milliseconds(took)
	r.steppedAt = now
	kept := r.running[:0]
	for _, q := range r.running {
		if q.toProcess == 0 {
			q.produced++
			q.lastAt = now
			if q.produced == 1 {
				q.firstAt = now
			}
		}
		if q.produced >= q.outputTokens {
			finished = append(finished, q)
			continue
		}
		kept = append(kept, q)
	}
	clear(r.running[len(kept):])
	r.running = kept
	return finished
}

// lookUp finds the prefix in the cache, stores it, and evicts the prefix that
// was used least recently.
func (r *replica) lookUp(prefix uint64) bool {
	if item, ok := r.cached[prefix]; ok {
		r.order.MoveToFront(item)
		return true
	}
	r.cached[prefix] = r.order.PushFront(prefix)
	if r.order.Len() > r.engine.CachePrefixes {
		delete(r.cached, r.order.Remove(r.order.Back()).(uint64))
	}
	return false
}

// stepMemory is how long a step time is reported after the last step.
const stepMemory = 2 * time.Second

// refresh takes the reading that the next reports carry.
func (r *replica) refresh(now time.Duration) {
	r.reported = decision.Load{Running: len(r.running), Waiting: len(r.waiting)}
	if now-r.steppedAt < stepMemory {
		r.reported.StepMS = r.stepMS
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

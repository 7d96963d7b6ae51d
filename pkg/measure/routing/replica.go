package routing

import (
	"container/list"
	"time"

	decision "github.com/fescuehub/fescuehub/pkg/routing"
)

// Engine is the cost model of a model group.
type Engine struct {
	// MaxBatch is the maximum number of running requests.
	MaxBatch int
	// BaseStep is the time of a step without work; PerRequest and PerPromptToken are added for each
	// running request and each prompt token that the step processes.
	BaseStep, PerRequest, PerPromptToken time.Duration
	// ChunkTokens is the maximum number of prompt tokens that one step processes.
	ChunkTokens int
	// CachePrefixes is the maximum number of prefixes that the cache holds.
	CachePrefixes int
}

// request is one request of the workload.
type request struct {
	arrival      time.Duration
	organisation int
	prefix       uint64
	prefixTokens int
	suffixTokens int
	outputTokens int

	entry    *entry
	replica  *replica
	attempts int
	// promptTokensLeft is the number of prompt tokens that are not processed yet.
	promptTokensLeft int
	tokensProduced   int
	cacheHit         bool
	firstAt          time.Duration
	lastAt           time.Duration
	tried            []string
}

// replica simulates one model group with continuous batching.
type replica struct {
	index    int
	name     string
	domain   string
	engine   Engine
	down     bool
	slowdown float64
	busy     bool
	running  []*request
	waiting  []*request
	// lru holds the cached prefixes, the most recently used one first.
	lru    *list.List
	cached map[uint64]*list.Element
	// stepMS is the time of the last step, measured at lastStepAt.
	stepMS     float64
	lastStepAt time.Duration
	// reported is the load that the engine currently reports. It lags behind the actual load.
	reported decision.Load
}

func newReplica(index int, name, domain string, engine Engine) *replica {
	return &replica{
		index: index, name: name, domain: domain, engine: engine, slowdown: 1,
		lru: list.New(), cached: make(map[uint64]*list.Element),
	}
}

// enqueue adds a waiting request. The cache is looked up when its processing begins.
func (r *replica) enqueue(q *request) { r.waiting = append(r.waiting, q) }

// beginStep admits waiting requests and returns the duration of the step.
func (r *replica) beginStep() time.Duration {
	for len(r.waiting) > 0 && len(r.running) < r.engine.MaxBatch {
		q := r.waiting[0]
		r.waiting = r.waiting[1:]
		q.cacheHit = r.lookUp(q.prefix)
		q.promptTokensLeft = q.suffixTokens
		if !q.cacheHit {
			q.promptTokensLeft += q.prefixTokens
		}
		r.running = append(r.running, q)
	}
	chunk := r.engine.ChunkTokens
	for _, q := range r.running {
		n := min(chunk, q.promptTokensLeft)
		q.promptTokensLeft -= n
		chunk -= n
	}
	d := r.engine.BaseStep + time.Duration(len(r.running))*r.engine.PerRequest +
		time.Duration(r.engine.ChunkTokens-chunk)*r.engine.PerPromptToken
	return time.Duration(float64(d) * r.slowdown)
}

// endStep produces a token for every request whose prompt is processed and returns the finished
// requests.
func (r *replica) endStep(now, stepTime time.Duration) (finished []*request) {
	r.stepMS = milliseconds(stepTime)
	r.lastStepAt = now
	kept := r.running[:0]
	for _, q := range r.running {
		if q.promptTokensLeft == 0 {
			q.tokensProduced++
			q.lastAt = now
			if q.tokensProduced == 1 {
				q.firstAt = now
			}
		}
		if q.tokensProduced >= q.outputTokens {
			finished = append(finished, q)
			continue
		}
		kept = append(kept, q)
	}
	clear(r.running[len(kept):])
	r.running = kept
	return finished
}

// lookUp reports whether the prefix is cached. A miss adds it and evicts the least recently used
// prefix of a full cache.
func (r *replica) lookUp(prefix uint64) bool {
	if item, ok := r.cached[prefix]; ok {
		r.lru.MoveToFront(item)
		return true
	}
	r.cached[prefix] = r.lru.PushFront(prefix)
	if r.lru.Len() > r.engine.CachePrefixes {
		delete(r.cached, r.lru.Remove(r.lru.Back()).(uint64))
	}
	return false
}

// stepTimeRetention is how long a step time is reported after the last step.
const stepTimeRetention = 2 * time.Second

// refreshLoad updates the load that the next reports carry.
func (r *replica) refreshLoad(now time.Duration) {
	r.reported = decision.Load{Running: len(r.running), Waiting: len(r.waiting)}
	if now-r.lastStepAt < stepTimeRetention {
		r.reported.StepMS = r.stepMS
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

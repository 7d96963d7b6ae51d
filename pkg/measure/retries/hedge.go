package retries

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/measure/virtualtime"
)

// Stalls of a replica, and the hedging of the simulations. Each request adds hedgeRatio tokens to a
// bucket of hedgeBurst tokens; a hedge takes one.
const (
	stallFactor   = 10
	stallLength   = 5 * time.Second
	stallPeriod   = 30 * time.Second
	serviceSpread = 0.5
	hedgeAfter    = 2 * time.Second
	hedgeRatio    = 0.05
	hedgeBurst    = 10
	hedgeRunTime  = 600 * time.Second
)

// HedgeRow is the result of one hedging policy.
type HedgeRow struct {
	Policy                string  `json:"policy"`
	Load                  float64 `json:"load"`
	P50Seconds            float64 `json:"p50Seconds"`
	P95Seconds            float64 `json:"p95Seconds"`
	P99Seconds            float64 `json:"p99Seconds"`
	AttemptsPerRequest    float64 `json:"attemptsPerRequest"`
	SlotSecondsPerRequest float64 `json:"slotSecondsPerRequest"`
}

// hedgeSimulation is one run that hedges requests: a request without an answer after hedgeAfter is
// sent a second time.
type hedgeSimulation struct {
	queue     *virtualtime.Queue
	random    *rand.Rand
	ratio     float64
	tokens    float64
	running   [replicas]int
	waiting   [replicas][]*hedgeAttempt
	latencies []float64
	requests  int
	attempts  int
	slotTime  time.Duration
}

type hedgeRequest struct {
	arrived  time.Time
	work     time.Duration
	attempts []*hedgeAttempt
	done     bool
}

type hedgeAttempt struct {
	request *hedgeRequest
	replica int
	started time.Time
	running bool
	settled bool
}

// Hedges compares hedged reads, with and without a budget, with reads that are not hedged.
func Hedges(seed uint64) []HedgeRow {
	var rows []HedgeRow
	for _, load := range []float64{0.4, 0.8} {
		rows = append(rows, simulateHedges("none", 0, load, seed), simulateHedges("5% after 2 s", hedgeRatio, load, seed), simulateHedges("no bound, 2 s", math.Inf(1), load, seed))
	}
	return rows
}

func simulateHedges(name string, ratio, load float64, seed uint64) HedgeRow {
	h := &hedgeSimulation{queue: virtualtime.NewQueue(), random: rand.New(rand.NewPCG(seed, seed)), ratio: ratio}
	h.scheduleArrivals(load * capacity)
	h.queue.RunUntil(hedgeRunTime)
	return HedgeRow{
		Policy: name, Load: load,
		P50Seconds:            virtualtime.Percentile(h.latencies, 0.50),
		P95Seconds:            virtualtime.Percentile(h.latencies, 0.95),
		P99Seconds:            virtualtime.Percentile(h.latencies, 0.99),
		AttemptsPerRequest:    float64(h.attempts) / float64(h.requests),
		SlotSecondsPerRequest: h.slotTime.Seconds() / float64(h.requests),
	}
}

func (h *hedgeSimulation) scheduleArrivals(rate float64) {
	h.queue.After(time.Duration(h.random.ExpFloat64()/rate*float64(time.Second)), func() {
		work := math.Exp(-serviceSpread*serviceSpread/2 + serviceSpread*h.random.NormFloat64())
		r := &hedgeRequest{arrived: h.queue.Now(), work: time.Duration(work * float64(meanService))}
		h.requests++
		h.tokens = min(h.tokens+h.ratio, hedgeBurst)
		h.send(r)
		h.queue.After(hedgeAfter, func() { h.sendHedge(r) })
		h.scheduleArrivals(rate)
	})
}

// sendHedge sends a request that has no answer yet a second time, if the budget allows it.
func (h *hedgeSimulation) sendHedge(r *hedgeRequest) {
	if r.done || h.tokens < 1 {
		return
	}
	h.tokens--
	h.send(r)
}

func (h *hedgeSimulation) send(r *hedgeRequest) {
	a, b := h.random.IntN(replicas), h.random.IntN(replicas)
	if h.running[b]+len(h.waiting[b]) < h.running[a]+len(h.waiting[a]) {
		a = b
	}
	attempt := &hedgeAttempt{request: r, replica: a}
	r.attempts = append(r.attempts, attempt)
	h.attempts++
	h.waiting[a] = append(h.waiting[a], attempt)
	h.startWaiting(a)
}

func (h *hedgeSimulation) startWaiting(replica int) {
	for h.running[replica] < concurrency && len(h.waiting[replica]) > 0 {
		a := h.waiting[replica][0]
		h.waiting[replica] = h.waiting[replica][1:]
		if a.settled {
			continue
		}
		h.running[replica]++
		a.running = true
		a.started = h.queue.Now()
		duration := a.request.work
		if replica == 0 && h.queue.Elapsed()%stallPeriod < stallLength {
			duration *= stallFactor
		}
		h.queue.After(duration, func() { h.finish(a) })
	}
}

// finish records the first answer and cancels the other attempt.
func (h *hedgeSimulation) finish(a *hedgeAttempt) {
	if a.settled {
		return
	}
	a.request.done = true
	h.latencies = append(h.latencies, h.queue.Now().Sub(a.request.arrived).Seconds())
	for _, other := range a.request.attempts {
		h.endAttempt(other)
	}
}

func (h *hedgeSimulation) endAttempt(a *hedgeAttempt) {
	if a.settled {
		return
	}
	a.settled = true
	if !a.running {
		return
	}
	h.running[a.replica]--
	h.slotTime += h.queue.Now().Sub(a.started)
	h.startWaiting(a.replica)
}

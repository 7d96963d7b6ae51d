// Package expertmaps compares planners of expert maps on seeded traces of expert popularity and
// rank speed. It drives the decision packages that the daemons use, without a simulated cluster.
package expertmaps

import (
	"math"
	"math/rand/v2"
	"time"
)

// TraceName names a trace.
type TraceName string

// The traces.
const (
	// Drift moves popularity over a day from one half of the experts to the other and back.
	Drift TraceName = "drift"
	// Shift moves popularity to the other half at once, in the middle of the trace.
	Shift TraceName = "shift"
	// SlowRank halves the speed of one rank for the middle third.
	SlowRank TraceName = "slow-rank"
)

// Traces lists all traces.
var Traces = []TraceName{Drift, Shift, SlowRank}

// Size is the number of ranks of a group and the dimensions of its expert map.
type Size struct {
	Name    string `json:"name"`
	Ranks   int    `json:"ranks"`
	Experts int    `json:"experts"`
	Slots   int    `json:"slots"`
	Layers  int    `json:"layers"`
}

// Today is an assumption about the groups of the present deployments. Target is the group of the
// users' target size.
var (
	Today  = Size{Name: "today", Ranks: 8, Experts: 32, Slots: 5, Layers: 8}
	Target = Size{Name: "target", Ranks: 128, Experts: 128, Slots: 2, Layers: 8}
)

const (
	// sampleInterval is the time between two evaluations of a trace.
	sampleInterval = time.Minute
	// baseSigma is the standard deviation of the log-normal popularity of experts.
	baseSigma = 0.8
	// jitterSigma and jitterDecay parametrise the autoregressive noise on the popularity of each
	// expert.
	jitterSigma = 0.02
	jitterDecay = 0.98
	// favouredFactor is how much more popular the experts of the favoured half are.
	favouredFactor = 3.0
	slowSpeed      = 0.5
)

// duration returns the length of the trace.
func (n TraceName) duration() time.Duration {
	if n == Drift {
		return 24 * time.Hour
	}
	return 6 * time.Hour
}

// changeTime returns the time at which the change of the trace begins, and false for a drift.
func (n TraceName) changeTime() (time.Duration, bool) {
	switch n {
	case Shift:
		return n.duration() / 2, true
	case SlowRank:
		return n.duration() / 3, true
	}
	return 0, false
}

// trace generates the popularity of experts and the speed of ranks at each sample.
type trace struct {
	name           TraceName
	size           Size
	random         *rand.Rand
	basePopularity [][]float64
	jitter         [][]float64
	inFirstHalf    [][]bool
}

func newTrace(name TraceName, size Size, seed uint64) *trace {
	t := &trace{name: name, size: size, random: rand.New(rand.NewPCG(seed, 1))}
	for range size.Layers {
		base := make([]float64, size.Experts)
		inFirstHalf := make([]bool, size.Experts)
		for i, e := range t.random.Perm(size.Experts) {
			base[e] = math.Exp(baseSigma * t.random.NormFloat64())
			inFirstHalf[e] = i < size.Experts/2
		}
		t.basePopularity = append(t.basePopularity, base)
		t.inFirstHalf = append(t.inFirstHalf, inFirstHalf)
		t.jitter = append(t.jitter, make([]float64, size.Experts))
	}
	return t
}

// at returns the popularity of each layer, with a sum of 1, and the speed of each rank. Successive
// calls must have increasing times.
func (t *trace) at(now time.Duration) ([][]float64, []float64) {
	firstHalfWeight := t.firstHalfWeight(now)
	out := make([][]float64, t.size.Layers)
	for l := range out {
		out[l] = t.layerPopularity(l, firstHalfWeight)
	}
	speed := make([]float64, t.size.Ranks)
	for r := range speed {
		speed[r] = 1
	}
	third := t.name.duration() / 3
	if t.name == SlowRank && now >= third && now < 2*third {
		speed[t.size.Ranks/3] = slowSpeed
	}
	return out, speed
}

// firstHalfWeight returns 1 where the first half of the experts is favoured and 0 where the second
// half is.
func (t *trace) firstHalfWeight(now time.Duration) float64 {
	switch t.name {
	case Drift:
		return 0.5 + 0.5*math.Cos(2*math.Pi*now.Hours()/24)
	case Shift:
		if now >= t.name.duration()/2 {
			return 0
		}
	}
	return 1
}

// layerPopularity advances the noise of a layer and returns its popularity, with a sum of 1.
func (t *trace) layerPopularity(l int, firstHalfWeight float64) []float64 {
	out := make([]float64, t.size.Experts)
	sum := 0.0
	for e := range out {
		t.jitter[l][e] = jitterDecay*t.jitter[l][e] + jitterSigma*t.random.NormFloat64()
		weight := 1 + (favouredFactor-1)*firstHalfWeight
		if !t.inFirstHalf[l][e] {
			weight = 1 + (favouredFactor-1)*(1-firstHalfWeight)
		}
		out[e] = t.basePopularity[l][e] * weight * math.Exp(t.jitter[l][e])
		sum += out[e]
	}
	for e := range out {
		out[e] /= sum
	}
	return out
}

// Package expertmaps measures planners of expert maps on seeded traces of
// expert popularity and rank speed. The planners are the decision packages
// that the daemons use; no cluster is simulated.
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
	// Drift moves popularity over a day from one half of the experts to the
	// other and back.
	Drift TraceName = "drift"
	// Shift moves it at once, in the middle of the trace.
	Shift TraceName = "shift"
	// SlowRank halves the speed of one rank for the middle third.
	SlowRank TraceName = "slow-rank"
)

// Traces lists the traces.
var Traces = []TraceName{Drift, Shift, SlowRank}

// Size is a group and what it holds.
type Size struct {
	Name    string `json:"name"`
	Ranks   int    `json:"ranks"`
	Experts int    `json:"experts"`
	Slots   int    `json:"slots"`
	Layers  int    `json:"layers"`
}

// The sizes: an assumption for today, and the target's group.
var (
	Today  = Size{Name: "today", Ranks: 8, Experts: 32, Slots: 5, Layers: 8}
	Target = Size{Name: "target", Ranks: 128, Experts: 128, Slots: 2, Layers: 8}
)

const (
	// sample is the time between two evaluations of a trace.
	sample = time.Minute
	// baseSigma spreads the popularity of experts (log-normal).
	baseSigma = 0.8
	// jitterSigma and jitterKeep make each expert's popularity wander.
	jitterSigma = 0.02
	jitterKeep  = 0.98
	// swing is how much more popular the favoured half is.
	swing     = 3.0
	slowSpeed = 0.5
)

// duration returns the length of the trace.
func (n TraceName) duration() time.Duration {
	if n == Drift {
		return 24 * time.Hour
	}
	return 6 * time.Hour
}

// change returns when the trace's change begins, and false for a drift.
func (n TraceName) change() (time.Duration, bool) {
	switch n {
	case Shift:
		return n.duration() / 2, true
	case SlowRank:
		return n.duration() / 3, true
	}
	return 0, false
}

// trace gives the popularity and the speed at each sample.
type trace struct {
	name   TraceName
	size   Size
	random *rand.Rand
	base   [][]float64
	jitter [][]float64
	first  [][]bool
}

func newTrace(name TraceName, size Size, seed uint64) *trace {
	t := &trace{name: name, size: size, random: rand.New(rand.NewPCG(seed, 1))}
	for range size.Layers {
		base := make([]float64, size.Experts)
		first := make([]bool, size.Experts)
		for i, e := range t.random.Perm(size.Experts) {
			base[e] = math.Exp(baseSigma * t.random.NormFloat64())
			first[e] = i < size.Experts/2
		}
		t.base = append(t.base, base)
		t.first = append(t.first, first)
		t.jitter = append(t.jitter, make([]float64, size.Experts))
	}
	return t
}

// at returns the popularity of each layer, with a sum of 1, and the speeds. It
// must be called with rising times.
func (t *trace) at(now time.Duration) ([][]float64, []float64) {
	favour := t.favour(now)
	out := make([][]float64, t.size.Layers)
	for l := range out {
		out[l] = t.layer(l, favour)
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

// favour returns 1 where the first half of the experts is favoured and 0
// where the second is.
func (t *trace) favour(now time.Duration) float64 {
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

func (t *trace) layer(l int, favour float64) []float64 {
	out := make([]float64, t.size.Experts)
	sum := 0.0
	for e := range out {
		t.jitter[l][e] = jitterKeep*t.jitter[l][e] + jitterSigma*t.random.NormFloat64()
		weight := 1 + (swing-1)*favour
		if !t.first[l][e] {
			weight = 1 + (swing-1)*(1-favour)
		}
		out[e] = t.base[l][e] * weight * math.Exp(t.jitter[l][e])
		sum += out[e]
	}
	for e := range out {
		out[e] /= sum
	}
	return out
}

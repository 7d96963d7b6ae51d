// Package popularity estimates how much each expert of a group is in demand
// from the counts of its ranks. It has no clock and no I/O.
package popularity

import (
	"math"
	"time"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
)

// Estimator holds the decaying demand of one group's experts. It is not safe
// for concurrent use.
type Estimator struct {
	// halfLife is the time in which a choice loses half its weight.
	halfLife time.Duration
	sets     int
	// demand is the demand of each rank's requests, set after set.
	demand [][]float64
	at     time.Time
	// fresh is what was observed since the last Settle, by rank.
	fresh map[int]Window
	// spread is the usual distance of a window from the demand, as a part of the
	// choices.
	spread float64
}

// New returns an estimator of the experts that a number of ranks choose.
func New(ranks, sets, experts int, halfLife time.Duration) *Estimator {
	e := &Estimator{halfLife: halfLife, sets: sets, fresh: make(map[int]Window), spread: firstSpread}
	for range ranks {
		e.demand = append(e.demand, make([]float64, sets*experts))
	}
	return e
}

// DecayTo lets what was counted decay up to now.
func (e *Estimator) DecayTo(now time.Time) {
	if !e.at.IsZero() {
		factor := math.Exp2(-float64(now.Sub(e.at)) / float64(e.halfLife))
		for _, demand := range e.demand {
			for i := range demand {
				demand[i] *= factor
			}
		}
	}
	e.at = now
}

// Observe takes what a rank's requests chose since it was last asked.
func (e *Estimator) Observe(rank int, w Window) {
	if len(w.Roots) == len(e.demand[rank]) {
		e.fresh[rank] = w
	}
}

// MergeWindows adds what was observed to the demand. It reports whether other experts
// are liked than before: then what was counted before is forgotten.
func (e *Estimator) MergeWindows() bool {
	shifted := e.shifted()
	if shifted {
		for _, demand := range e.demand {
			clear(demand)
		}
	}
	for rank, w := range e.fresh {
		for i, root := range w.Roots {
			e.demand[rank][i] += w.value(root)
		}
	}
	clear(e.fresh)
	return shifted
}

const (
	// spreadFactor and leastDistance tell a shift from the usual spread: windows
	// of a tenth of a second differ from the mean of what came before by 0.03 of
	// the choices in large groups and 0.15 in small ones.
	spreadFactor  = 2.2
	leastDistance = 0.01
	// firstSpread is the spread that is expected of the first windows.
	firstSpread = 0.12
	// fallWeight and riseWeight are the weights of a newest window in the usual
	// spread, below and above it: what a shift leaves behind must not raise it.
	fallWeight = 0.2
	riseWeight = 0.03
	// shiftChoices is the least number of choices in windows that tell of one.
	shiftChoices = 20_000
)

// shifted compares the fresh windows with the demand.
func (e *Estimator) shifted() bool {
	fresh, known := make([]float64, len(e.demand[0])), make([]float64, len(e.demand[0]))
	for _, w := range e.fresh {
		for i, root := range w.Roots {
			fresh[i] += w.value(root)
		}
	}
	for _, demand := range e.demand {
		for i, d := range demand {
			known[i] += d
		}
	}
	a, b := sum(fresh), sum(known)
	if a < shiftChoices || b < shiftChoices {
		return false
	}
	distance := 0.0
	for i := range fresh {
		distance += math.Abs(fresh[i]/a-known[i]/b) / 2
	}
	if distance > spreadFactor*e.spread+leastDistance {
		return true
	}
	weight := riseWeight
	if distance < e.spread {
		weight = fallWeight
	}
	e.spread += weight * (distance - e.spread)
	return false
}

// TotalChoices returns the decayed number of choices.
func (e *Estimator) TotalChoices() float64 {
	total := 0.0
	for _, demand := range e.demand {
		for _, d := range demand {
			total += d
		}
	}
	return total
}

const (
	// leastShare is the demand that every expert has at least, as a part of the
	// mean: those nobody asked for lately are spread as well.
	leastShare = 0.05
	// maxSamples bounds the samples of a set, which share the ranks that tell their
	// counts: the search takes time for each.
	maxSamples = 4
	// ownShare is the part of a sample that is a few ranks' own demand; the rest
	// is the mean of all, since a pass carries requests of several ranks.
	ownShare = 0.5
)

// Samples returns the demand of each set as samples of a few ranks' requests
// each.
func (e *Estimator) Samples() []evenplan.Demand {
	count := min(len(e.demand), maxSamples)
	experts := len(e.demand[0]) / e.sets
	out := make([]evenplan.Demand, e.sets)
	seen := e.seen()
	for s := range out {
		own := make([][]float64, count)
		mean := make([]float64, experts)
		for k := range own {
			own[k] = make([]float64, experts)
		}
		for n, r := range seen {
			for i, d := range e.demand[r][s*experts : (s+1)*experts] {
				own[n%count][i] += d
				mean[i] += d
			}
		}
		out[s] = blend(own, mean)
	}
	return out
}

// seen returns the ranks whose choices are known.
func (e *Estimator) seen() []int {
	var ranks []int
	for r, demand := range e.demand {
		if sum(demand) > 0 {
			ranks = append(ranks, r)
		}
	}
	return ranks
}

func blend(own [][]float64, mean []float64) evenplan.Demand {
	whole := sum(mean)
	demand := make(evenplan.Demand, 0, len(own))
	for _, sample := range own {
		part := sum(sample)
		if part == 0 {
			continue
		}
		for i := range sample {
			sample[i] = ownShare*sample[i]/part + (1-ownShare)*mean[i]/whole + leastShare/float64(len(mean))
		}
		demand = append(demand, sample)
	}
	if len(demand) == 0 {
		demand = append(demand, make([]float64, len(mean)))
	}
	return demand
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

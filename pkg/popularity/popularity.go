// Package popularity estimates the demand for each expert of a group from the expert counts of its
// ranks. It does no I/O and reads no clock.
package popularity

import (
	"math"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
)

// Estimator holds the exponentially decaying demand for one group's experts. It is not safe for
// concurrent use.
type Estimator struct {
	// halfLife is the time in which the weight of a choice halves.
	halfLife time.Duration
	sets     int
	// demand is the decayed count of choices by the requests of each rank, for each expert, set
	// after set.
	demand    [][]float64
	decayedAt time.Time
	// pending holds the windows observed since the last MergeWindows, by rank.
	pending map[int]Window
	// usualDistance is a moving average of the distance of the windows from the demand, as a
	// fraction of the choices.
	usualDistance float64
	// shiftedAt is when the last shift was detected; zero if there was none.
	shiftedAt time.Time
}

// New returns an estimator without demand for the experts of a number of ranks.
func New(ranks, sets, experts int, halfLife time.Duration) *Estimator {
	e := &Estimator{halfLife: halfLife, sets: sets, pending: make(map[int]Window), usualDistance: initialDistance}
	for range ranks {
		e.demand = append(e.demand, make([]float64, sets*experts))
	}
	return e
}

// DecayTo decays the demand to the time now.
func (e *Estimator) DecayTo(now time.Time) {
	if !e.decayedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(e.decayedAt)) / float64(e.halfLife))
		for _, demand := range e.demand {
			for i := range demand {
				demand[i] *= factor
			}
		}
	}
	e.decayedAt = now
}

// Observe records the window of a rank. A window of the wrong size is ignored.
func (e *Estimator) Observe(rank int, w Window) {
	if len(w.Roots) == len(e.demand[rank]) {
		e.pending[rank] = w
	}
}

// MergeWindows adds the observed windows to the demand. It reports whether the demand has shifted
// to other experts; if so, the earlier demand is discarded.
func (e *Estimator) MergeWindows() bool {
	shifted := e.demandShifted()
	if shifted {
		e.discardEarlier()
	}
	for rank, w := range e.pending {
		for i, root := range w.Roots {
			e.demand[rank][i] = max(e.demand[rank][i]+w.count(root), 0)
		}
	}
	clear(e.pending)
	return shifted
}

const (
	// shiftSettleTime is how long after a shift another one is taken for its continuation. The demand
	// from before it is then that of the first windows after the shift, which must not be subtracted.
	shiftSettleTime = 600 * time.Millisecond
	// maxEarlierShare bounds the share of the earlier demand that is subtracted from windows. What is
	// left of them holds the variation of the whole windows.
	maxEarlierShare = 0.75
	// earlierQuantile is the quantile of the experts' ratios that estimates the share of the earlier
	// demand: an expert that is no longer in demand has the least ratio.
	earlierQuantile = 0.05
)

// discardEarlier discards the demand from before a shift. The pending windows contain a share of it if
// they began before the shift, or if the demand shifts gradually. That share is left behind as negative
// counts, from which MergeWindows makes an estimate of the new demand alone.
func (e *Estimator) discardEarlier() {
	factor := 0.0
	if e.shiftedAt.IsZero() || e.decayedAt.Sub(e.shiftedAt) >= shiftSettleTime {
		factor = -e.earlierFactor()
	}
	e.shiftedAt = e.decayedAt
	for rank, demand := range e.demand {
		if _, reported := e.pending[rank]; !reported {
			clear(demand)
			continue
		}
		for i := range demand {
			demand[i] *= factor
		}
	}
}

// earlierFactor returns the factor with which the earlier demand is contained in the pending windows.
func (e *Estimator) earlierFactor() float64 {
	observed, known := make([]float64, len(e.demand[0])), make([]float64, len(e.demand[0]))
	for rank, w := range e.pending {
		for i, root := range w.Roots {
			observed[i] += w.count(root)
		}
		for i, d := range e.demand[rank] {
			known[i] += d
		}
	}
	observedTotal, knownTotal := sum(observed), sum(known)
	if knownTotal <= 0 {
		return 0
	}
	// Only experts in demand are compared. The ratios of the others vary too much.
	inDemand := 2 * knownTotal / float64(len(known))
	var ratios []float64
	for i, k := range known {
		if k >= inDemand {
			ratios = append(ratios, observed[i]/k)
		}
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	return min(ratios[int(earlierQuantile*float64(len(ratios)))], maxEarlierShare*observedTotal/knownTotal)
}

const (
	// shiftFactor and minShiftDistance separate a shift from the usual variation. Windows of a
	// tenth of a second differ from the mean of the earlier ones by 0.03 of the choices in large
	// groups and by 0.15 in small ones.
	shiftFactor      = 2.2
	minShiftDistance = 0.01
	// initialDistance is the assumed distance of the first windows.
	initialDistance = 0.12
	// decreaseWeight and increaseWeight are the weights of the newest distance in usualDistance, if
	// it is below and above the average. The smaller second weight keeps the effects of a shift
	// from raising the average.
	decreaseWeight = 0.2
	increaseWeight = 0.03
	// minShiftChoices is the least number of choices in the windows, and in the demand, for which a
	// shift is detected.
	minShiftChoices = 20_000
)

// demandShifted reports whether the pending windows differ from the demand by more than the usual
// variation, and updates usualDistance if not.
func (e *Estimator) demandShifted() bool {
	observed, known := make([]float64, len(e.demand[0])), make([]float64, len(e.demand[0]))
	for _, w := range e.pending {
		for i, root := range w.Roots {
			observed[i] += w.count(root)
		}
	}
	for _, demand := range e.demand {
		for i, d := range demand {
			known[i] += d
		}
	}
	observedTotal, knownTotal := sum(observed), sum(known)
	if observedTotal < minShiftChoices || knownTotal < minShiftChoices {
		return false
	}
	distance := 0.0
	for i := range observed {
		distance += math.Abs(observed[i]/observedTotal-known[i]/knownTotal) / 2
	}
	if distance > shiftFactor*e.usualDistance+minShiftDistance {
		return true
	}
	weight := increaseWeight
	if distance < e.usualDistance {
		weight = decreaseWeight
	}
	e.usualDistance += weight * (distance - e.usualDistance)
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
	// minDemandShare is the least demand for an expert, as a fraction of the mean, so that experts
	// without recent requests are spread over the ranks too.
	minDemandShare = 0.05
	// maxSamples bounds the samples of a set, because the search takes time for each. The ranks
	// that report counts are divided among the samples.
	maxSamples = 4
	// ownDemandShare is the fraction of a sample that is the demand of its own few ranks. The rest
	// is the mean of all ranks, since a pass carries requests of several ranks.
	ownDemandShare = 0.5
)

// Samples returns the demand for each set as samples, each made of the requests of a few ranks.
func (e *Estimator) Samples() []evenplan.Demand {
	count := min(len(e.demand), maxSamples)
	experts := len(e.demand[0]) / e.sets
	out := make([]evenplan.Demand, e.sets)
	reporting := e.ranksWithDemand()
	for s := range out {
		own := make([][]float64, count)
		mean := make([]float64, experts)
		for k := range own {
			own[k] = make([]float64, experts)
		}
		for n, r := range reporting {
			for i, d := range e.demand[r][s*experts : (s+1)*experts] {
				own[n%count][i] += d
				mean[i] += d
			}
		}
		out[s] = blend(own, mean)
	}
	return out
}

// ranksWithDemand returns the ranks that have reported choices.
func (e *Estimator) ranksWithDemand() []int {
	var ranks []int
	for r, demand := range e.demand {
		if sum(demand) > 0 {
			ranks = append(ranks, r)
		}
	}
	return ranks
}

// blend mixes each sample's own demand with the mean demand, and adds the least demand for each
// expert.
func blend(own [][]float64, mean []float64) evenplan.Demand {
	total := sum(mean)
	demand := make(evenplan.Demand, 0, len(own))
	for _, sample := range own {
		choices := sum(sample)
		if choices == 0 {
			continue
		}
		for i := range sample {
			sample[i] = ownDemandShare*sample[i]/choices + (1-ownDemandShare)*mean[i]/total + minDemandShare/float64(len(mean))
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

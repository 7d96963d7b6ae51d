// Package expertplan decides how the experts of a group are placed on its ranks and how an expert's
// tokens are split over its replicas. It moves weights only if the predicted gain over a time
// horizon exceeds the cost of the move. It does no I/O and reads no clock.
package expertplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

// Options are the limits and the weights of a plan.
type Options struct {
	// Slots is the number of experts of one layer that a rank has memory for.
	Slots int
	// SkewWeight balances step-time skew against the cost of rebalancing: 1 minimises the skew, 0
	// the cost.
	SkewWeight float64
	// ExpertBytes is the size of one expert of one layer, in bytes.
	ExpertBytes int64
	// StoreBytesPerSecond is the part of the weight store's rate that the group may use.
	StoreBytesPerSecond int64
	// Period is the time between two plans.
	Period time.Duration
}

// Input is what was measured in the last period.
type Input struct {
	// Popularity is the load of each expert of each layer, in any unit that is the same for all.
	Popularity [][]float64
	// Speed is the load that each rank processes in a unit of time.
	Speed []float64
}

// Plan is a new placement.
type Plan struct {
	Layers []expertmap.Layer
	// Moves counts the replicas that have to be loaded.
	Moves int
	// Before and After are the predicted step times with the present placement and with the new
	// one, as multiples of the step time under perfect balance.
	Before, After float64
}

const (
	// horizon is the time over which a move must pay off.
	horizon = 30 * time.Minute
	// minMoveSaving and maxMoveSaving are the step time of one layer that one move must save over
	// the horizon, with a skew weight of 1 and 0.
	minMoveSaving = 900 * time.Millisecond
	maxMoveSaving = 18 * time.Second
	// maxStoreShare is the fraction of the store's rate in one period that a plan may use.
	maxStoreShare = 0.5
	// minShareGain is the least predicted gain for which a plan that changes only shares is
	// published. Such a plan costs messages but loads no weights.
	minShareGain = 0.01
	// maxMovesPerLayer bounds the search for one layer.
	maxMovesPerLayer = 96
	// minSpeed keeps the speed of a stalled rank above zero, as a fraction of the fastest rank's
	// speed.
	minSpeed = 0.01
)

// Make returns a better placement than the present one, or false if none is worth its cost. It
// keeps no state between calls; the price of each move prevents it from moving experts back and
// forth.
func Make(o Options, present []expertmap.Layer, in Input) (Plan, bool) {
	if !in.matches(present) {
		return Plan{}, false
	}
	speed := usableSpeed(in.Speed)
	searches := make([]*search, len(present))
	for l, layer := range present {
		searches[l] = o.search(layer, in.Popularity[l], speed)
	}
	o.limitMoves(searches)
	return assemble(searches)
}

// matches reports whether the input is valid for the placement: reports of engines may be
// malformed.
func (in Input) matches(present []expertmap.Layer) bool {
	if len(in.Popularity) != len(present) || len(in.Speed) == 0 || slices.Max(in.Speed) <= 0 {
		return false
	}
	for l, layer := range present {
		if len(in.Popularity[l]) != len(layer) || slices.ContainsFunc(in.Popularity[l], func(v float64) bool { return !(v >= 0) }) {
			return false
		}
		for _, replicas := range layer {
			if slices.ContainsFunc(replicas, func(r expertmap.Replica) bool { return r.Rank >= len(in.Speed) }) {
				return false
			}
		}
	}
	return true
}

// usableSpeed returns the speeds, each raised to minSpeed at least.
func usableSpeed(speed []float64) []float64 {
	fastest := slices.Max(speed)
	out := slices.Clone(speed)
	for r := range out {
		out[r] = math.Max(out[r], fastest*minSpeed)
	}
	return out
}

// movePrice returns the gain that one move must bring, as a fraction of the step time of a layer.
// It grows exponentially from minMoveSaving to maxMoveSaving as the skew weight falls from 1 to 0.
func (o Options) movePrice() float64 {
	ratio := maxMoveSaving.Seconds() / minMoveSaving.Seconds()
	return minMoveSaving.Seconds() / horizon.Seconds() * math.Pow(ratio, 1-o.SkewWeight)
}

// search is the result of the search for one layer.
type search struct {
	// before is the finish time of the slowest rank with the present placement, and ideal the one
	// under perfect balance.
	before, ideal float64
	// prefixes holds the placement after each number of moves, up to the best one. The first has no
	// moves.
	prefixes []prefix
	chosen   int
}

// prefix is the placement after the first moves of a search. finish is the finish time of its
// slowest rank, and value its gain less the price of its moves.
type prefix struct {
	layer  expertmap.Layer
	finish float64
	value  float64
}

// search finds the moves for one layer that are worth their price.
func (o Options) search(layer expertmap.Layer, popularity, speed []float64) *search {
	s := newLayerState(layer, popularity, speed)
	out := &search{ideal: s.ideal()}
	_, out.before = s.slowest()
	s.balance()
	best := 0
	for n := 0; n <= maxMovesPerLayer; n++ {
		_, finish := s.slowest()
		value := (out.before-finish)/out.ideal - o.movePrice()*float64(n)
		out.prefixes = append(out.prefixes, prefix{cloneLayer(s.replicas), finish, value})
		if value > out.prefixes[best].value {
			best = n
		}
		if (finish/out.ideal-1) < o.movePrice() || n == maxMovesPerLayer {
			break
		}
		m, ok := s.bestMove(o.Slots)
		if !ok {
			break
		}
		s.apply(m)
	}
	out.prefixes = out.prefixes[:best+1]
	out.chosen = best
	return out
}

// limitMoves keeps the moves of a plan within the store's rate. Layers with the most gain for each
// move use it first.
func (o Options) limitMoves(searches []*search) {
	budget := int(maxStoreShare * float64(o.StoreBytesPerSecond) * o.Period.Seconds() / float64(o.ExpertBytes))
	order := slices.Clone(searches)
	slices.SortStableFunc(order, func(a, b *search) int { return cmp.Compare(b.gainPerMove(), a.gainPerMove()) })
	for _, s := range order {
		s.chosen = min(s.chosen, budget)
		budget -= s.chosen
	}
}

func (s *search) gainPerMove() float64 {
	if s.chosen == 0 {
		return 0
	}
	return (s.prefixes[0].finish - s.prefixes[s.chosen].finish) / s.ideal / float64(s.chosen)
}

// assemble makes a plan of the chosen prefixes. It returns false if the plan is not worth
// publishing.
func assemble(searches []*search) (Plan, bool) {
	var plan Plan
	before, after, ideal := 0.0, 0.0, 0.0
	for _, s := range searches {
		c := s.prefixes[s.chosen]
		plan.Layers = append(plan.Layers, c.layer)
		plan.Moves += s.chosen
		before += s.before
		after += c.finish
		ideal += s.ideal
	}
	plan.Before, plan.After = before/ideal, after/ideal
	return plan, plan.Moves > 0 || plan.Before-plan.After > minShareGain
}

// Package expertplan decides how the experts of a group are placed on its
// ranks and how their tokens are split over the replicas. It moves weights
// only where the predicted gain over a horizon exceeds the cost of the move. It
// holds no I/O and no clock.
package expertplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

// Options size a planner.
type Options struct {
	// Slots is how many experts of one layer a rank has memory for.
	Slots int
	// SkewWeight weighs step-time skew (1) against rebalancing cost (0).
	SkewWeight float64
	// ExpertBytes is the size of one expert of one layer, in bytes.
	ExpertBytes int64
	// StoreBytesPerSecond is the part of the weight store's rate that the
	// group may use.
	StoreBytesPerSecond int64
	// Period is the time from one plan to the next.
	Period time.Duration
}

// Input is what the planner sees of the last period.
type Input struct {
	// Popularity is the load of each expert of each layer, in any one unit.
	Popularity [][]float64
	// Speed is the load that each rank handles in a unit of time.
	Speed []float64
}

// Plan is a new placement.
type Plan struct {
	Layers []expertmap.Layer
	// Moves counts the replicas that have to be loaded.
	Moves int
	// Before and After are the predicted step times, as a multiple of the time
	// of a perfect balance.
	Before, After float64
}

const (
	// horizon is how long a move is expected to pay off.
	horizon = 30 * time.Minute
	// cheapMove and dearMove are the step time that one move has to save in one
	// layer over the horizon, with a skew weight of 1 and 0.
	cheapMove = 900 * time.Millisecond
	dearMove  = 18 * time.Second
	// storeShare is the share of the store's rate in one period that a plan
	// may use.
	storeShare = 0.5
	// shareGain is the least predicted gain for which new shares alone are
	// published. They cost messages but no weights.
	shareGain = 0.01
	// maxMovesPerLayer bounds the search of one plan.
	maxMovesPerLayer = 96
	// minSpeed keeps a stalled rank's speed above zero, as a share of the
	// fastest rank's.
	minSpeed = 0.01
)

// Make returns a better placement than the present one, and false where none
// is worth its cost. It has no memory: what keeps it from flapping is that
// each move has a price.
func Make(o Options, present []expertmap.Layer, in Input) (Plan, bool) {
	if !in.fits(present) {
		return Plan{}, false
	}
	speed := usableSpeed(in.Speed)
	searches := make([]*search, len(present))
	for l, layer := range present {
		searches[l] = o.search(layer, in.Popularity[l], speed)
	}
	o.fit(searches)
	return choose(searches)
}

// fits reports whether the input describes the placement: reports of engines
// may be malformed.
func (in Input) fits(present []expertmap.Layer) bool {
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

func usableSpeed(speed []float64) []float64 {
	fastest := slices.Max(speed)
	out := slices.Clone(speed)
	for r := range out {
		out[r] = math.Max(out[r], fastest*minSpeed)
	}
	return out
}

// price returns the gain that one move has to bring, as a share of the step
// time of a layer.
func (o Options) price() float64 {
	ratio := dearMove.Seconds() / cheapMove.Seconds()
	return cheapMove.Seconds() / horizon.Seconds() * math.Pow(ratio, 1-o.SkewWeight)
}

// search is the outcome for one layer.
type search struct {
	// before is the finish time of the present map, ideal that of a perfect
	// balance.
	before, ideal float64
	// prefixes holds the placement after each number of moves, as far as the
	// value rose; the first has no move.
	prefixes []prefix
	chosen   int
}

type prefix struct {
	layer expertmap.Layer
	at    float64
	value float64
}

// search finds the moves for one layer that are worth their price.
func (o Options) search(layer expertmap.Layer, popularity, speed []float64) *search {
	s := newLayerState(layer, popularity, speed)
	out := &search{ideal: s.ideal()}
	_, out.before = s.slowest()
	s.balance()
	best := 0
	for n := 0; n <= maxMovesPerLayer; n++ {
		_, at := s.slowest()
		value := (out.before-at)/out.ideal - o.price()*float64(n)
		out.prefixes = append(out.prefixes, prefix{cloneLayer(s.replicas), at, value})
		if value > out.prefixes[best].value {
			best = n
		}
		if (at/out.ideal-1) < o.price() || n == maxMovesPerLayer {
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

// fit keeps the moves of a plan within the store's rate: the layers that gain
// most for each move come first.
func (o Options) fit(searches []*search) {
	budget := int(storeShare * float64(o.StoreBytesPerSecond) * o.Period.Seconds() / float64(o.ExpertBytes))
	order := slices.Clone(searches)
	slices.SortStableFunc(order, func(a, b *search) int { return cmp.Compare(b.rate(), a.rate()) })
	for _, s := range order {
		s.chosen = min(s.chosen, budget)
		budget -= s.chosen
	}
}

// rate returns the gain for each move.
func (s *search) rate() float64 {
	if s.chosen == 0 {
		return 0
	}
	return (s.prefixes[0].at - s.prefixes[s.chosen].at) / s.ideal / float64(s.chosen)
}

// choose makes the plan of the chosen prefixes.
func choose(searches []*search) (Plan, bool) {
	var plan Plan
	before, after, ideal := 0.0, 0.0, 0.0
	for _, s := range searches {
		c := s.prefixes[s.chosen]
		plan.Layers = append(plan.Layers, c.layer)
		plan.Moves += s.chosen
		before += s.before
		after += c.at
		ideal += s.ideal
	}
	plan.Before, plan.After = before/ideal, after/ideal
	return plan, plan.Moves > 0 || plan.Before-plan.After > shareGain
}

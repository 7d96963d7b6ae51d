package evenplan

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestPredictedPotentialMatchesAppliedMove guards the search against a wrong estimate: the
// potential predicted for a move must be the potential after the move is made.
func TestPredictedPotentialMatchesAppliedMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 6).Draw(t, "ranks")
		experts := rapid.IntRange(ranks, 18).Draw(t, "experts")
		var demand Demand
		for range rapid.IntRange(1, 3).Draw(t, "samples") {
			demand = append(demand, rapid.SliceOfN(rapid.Float64Range(0.1, 10), experts, experts).Draw(t, "demand"))
		}
		limits := Limits{Places: experts/ranks + 3, Spare: 3}
		present := Uniform(1, experts, ranks)
		if rapid.Bool().Draw(t, "planned") {
			present = Make(limits, present, []Demand{demand[:1]}).Sets
		}
		st := newState(present[0], demand, limits)
		var moves []move
		for _, heavy := range st.mostLoadedRanks() {
			for _, e := range st.holds[heavy] {
				st.tryExpert(heavy, e, st.leastLoadedRanks(), func(m move) { moves = append(moves, m) })
			}
		}
		for _, m := range moves {
			predicted := st.potentialAfter(m)
			applied := newState(present[0], demand, limits)
			applied.apply(m)
			applied.computePowers()
			if got := applied.potential(); math.Abs(got-predicted) > 1e-9 {
				t.Fatalf("move %+v (second %+v): predicted %v, after the move %v", m, m.second, predicted, got)
			}
		}
	})
}

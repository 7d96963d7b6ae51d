package evenplan

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestWeighingIsMaking: the potential that a move is weighed with is the one after
// it is made.
func TestWeighingIsMaking(t *testing.T) {
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
		for _, heavy := range st.heavy() {
			for _, e := range st.holds[heavy] {
				st.tryExpert(heavy, e, st.light(), func(m move) { moves = append(moves, m) })
			}
		}
		for _, m := range moves {
			weighed := st.after(m)
			made := newState(present[0], demand, limits)
			made.apply(m)
			made.sumUp()
			if got := made.potential(); math.Abs(got-weighed) > 1e-9 {
				t.Fatalf("move %+v (also %+v): weighed %v, made %v", m, m.also, weighed, got)
			}
		}
	})
}

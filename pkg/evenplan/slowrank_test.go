package evenplan_test

import (
	"math/rand/v2"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
)

// TestSlowRankGetsFewTokens guards against a rank that takes 2.24 times as long as the others and
// delays all ranks in each set of each pass.
func TestSlowRankGetsFewTokens(t *testing.T) {
	for _, size := range []struct{ ranks, experts, places, spare int }{{12, 72, 8, 3}, {63, 252, 5, 2}} {
		random := rand.New(rand.NewPCG(1, uint64(size.ranks)))
		demand := []evenplan.Demand{{skewed(random, size.experts)}}
		limits := evenplan.Limits{Places: size.places, Spare: size.spare, MinCopyGain: 0.002, Slowdown: make([]float64, size.ranks)}
		for r := range limits.Slowdown {
			limits.Slowdown[r] = 1
		}
		even := evenplan.Uniform(1, size.experts, size.ranks)
		for range 4 {
			even = evenplan.Make(limits, even, demand).Sets
		}
		best := evenplan.Make(limits, even, demand).After
		limits.Slowdown[3] = 2.24
		plan := evenplan.Make(limits, even, demand)
		for range 2 {
			plan = evenplan.Make(limits, plan.Sets, demand)
		}
		if plan.After > best+0.15 {
			t.Errorf("%d ranks: the largest load is %.2f times the mean with a slow rank, %.2f without", size.ranks, plan.After, best)
		}
	}
}

package evenplan_test

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
)

// copies returns the number of experts that each rank must copy.
func copies(present, next [][][]int) []int {
	out := make([]int, len(next[0]))
	for s := range next {
		for r, held := range next[s] {
			for _, e := range held {
				if !slices.Contains(present[s][r], e) {
					out[r]++
				}
			}
		}
	}
	return out
}

// TestStagesKeepTheLimits checks that every stage is a map that ranks accept, that no rank copies more than
// the bound, and that no stage is worse than the map before it.
func TestStagesKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 7).Draw(t, "ranks")
		experts := rapid.IntRange(ranks, 24).Draw(t, "experts")
		sets := rapid.IntRange(1, 4).Draw(t, "sets")
		limits := evenplan.Limits{
			Places: (experts+ranks-1)/ranks + rapid.IntRange(0, 3).Draw(t, "free"), Spare: rapid.IntRange(1, 3).Draw(t, "spare"),
			MinCopyGain: rapid.Float64Range(0, 0.1).Draw(t, "gain"), RankCopies: rapid.IntRange(0, 4).Draw(t, "copies of a rank"),
		}
		unable := -1
		if rapid.Bool().Draw(t, "one rank cannot copy") {
			unable = rapid.IntRange(0, ranks-1).Draw(t, "unable rank")
			limits.NoCopies = make([]bool, ranks)
			limits.NoCopies[unable] = true
		}
		cost := evenplan.StageCost{Copy: time.Hour, Fixed: time.Duration(rapid.Int64Range(0, int64(time.Hour)-1).Draw(t, "fixed time"))}
		present := evenplan.Uniform(sets, experts, ranks)
		for range 3 {
			demand := make([]evenplan.Demand, sets)
			for s := range demand {
				demand[s] = evenplan.Demand{rapid.SliceOfN(rapid.Float64Range(0, 100), experts, experts).Draw(t, "demand")}
			}
			plan := evenplan.MakeStaged(limits, present, demand, cost)
			if skew := evenplan.Skew(plan.Sets, demand); plan.After > plan.Before+1e-9 || skew > plan.After+1e-9 || skew < plan.After-1e-9 {
				t.Fatalf("the plan states a skew of %v before and %v after; it is %v", plan.Before, plan.After, skew)
			}
			copied, total := copies(present, plan.Sets), 0
			for r, n := range copied {
				total += n
				if limits.RankCopies > 0 && n > limits.RankCopies || r == unable && n > 0 {
					t.Fatalf("rank %d copies %d experts; the limits are %+v", r, n, limits)
				}
			}
			if total != plan.Copies || slices.Max(copied) != plan.RankCopies {
				t.Fatalf("the ranks copy %v, the plan counts %d and %d", copied, plan.Copies, plan.RankCopies)
			}
			for s := range plan.Sets {
				one := plan
				one.Sets, one.Copies = plan.Sets[s:s+1], 0
				for _, n := range copies(present[s:s+1], one.Sets) {
					one.Copies += n
				}
				check(t, limits, present[s:s+1], one, experts)
			}
			present = plan.Sets
		}
	})
}

// changedDemand returns a demand for which the present map was not planned, of a group of 24 ranks with 16
// sets of 96 experts.
func changedDemand(sets, experts int) []evenplan.Demand {
	random := rand.New(rand.NewPCG(3, 5))
	demand := make([]evenplan.Demand, sets)
	for s := range demand {
		demand[s] = evenplan.Demand{skewed(random, experts)}
	}
	return demand
}

// TestStageSizeFollowsTheTimes guards slow links against a change that is in use only when the busiest
// rank has copied its last expert, and fast links against stages that each cost more than all copies.
func TestStageSizeFollowsTheTimes(t *testing.T) {
	const sets, experts, ranks = 16, 96, 24
	limits := evenplan.Limits{Places: 5, Spare: 2, MinCopyGain: 0.6 / ranks}
	present, demand := evenplan.Uniform(sets, experts, ranks), changedDemand(sets, experts)
	whole := evenplan.Make(limits, present, demand)
	for _, c := range []struct {
		name       string
		cost       evenplan.StageCost
		rankCopies int // the most that a rank may copy in the first stage
		asMake     bool
	}{
		{"no time stated", evenplan.StageCost{Fixed: 100 * time.Millisecond}, whole.RankCopies, true},
		{"all copies take less than a switch", evenplan.StageCost{Copy: 3 * time.Millisecond, Fixed: 100 * time.Millisecond}, whole.RankCopies, true},
		{"a copy takes 76 ms", evenplan.StageCost{Copy: 76 * time.Millisecond, Fixed: 100 * time.Millisecond}, 2, false},
	} {
		plan := evenplan.MakeStaged(limits, present, demand, c.cost)
		if got := reflect.DeepEqual(plan, whole); got != c.asMake {
			t.Errorf("%s: the plan is that of Make: %v, want %v", c.name, got, c.asMake)
		}
		if plan.RankCopies > c.rankCopies {
			t.Errorf("%s: the first stage copies %d experts to a rank, want at most %d", c.name, plan.RankCopies, c.rankCopies)
		}
		if gain, all := plan.Before-plan.After, plan.Before-plan.Whole; !c.asMake && (gain < all/2 || plan.Stages < 2) {
			t.Errorf("%s: the first of %d stages gains %.2f of %.2f, want at least half", c.name, plan.Stages, gain, all)
		}
	}
}

// TestStagesReachTheWholePlan guards against stages that spend copies which later stages need: they must
// end with a map as even as the one planned at once, with no more copies of the busiest rank.
func TestStagesReachTheWholePlan(t *testing.T) {
	const sets, experts, ranks = 16, 96, 24
	limits := evenplan.Limits{Places: 5, Spare: 2, MinCopyGain: 0.6 / ranks}
	present, demand := evenplan.Uniform(sets, experts, ranks), changedDemand(sets, experts)
	whole := evenplan.Make(limits, present, demand)
	busiest := 0
	for stage := 1; ; stage++ {
		plan := evenplan.MakeStaged(limits, present, demand, evenplan.StageCost{Copy: 76 * time.Millisecond, Fixed: 100 * time.Millisecond})
		mean := float64(plan.Copies) / ranks
		t.Logf("stage %d: skew %.2f to %.2f, %d copies, %d at the busiest rank", stage, plan.Before, plan.After, plan.Copies, plan.RankCopies)
		busiest += plan.RankCopies
		if stage == 1 && float64(plan.RankCopies) > 2*mean {
			t.Errorf("the busiest rank copies %d experts, the mean is %.1f", plan.RankCopies, mean)
		}
		present = plan.Sets
		if plan.Stages <= 1 || stage == 10 {
			break
		}
	}
	if skew := evenplan.Skew(present, demand); skew > whole.After+0.1 || busiest > whole.RankCopies {
		t.Errorf("after all stages the skew is %.2f with %d copies at the busiest rank; planned at once %.2f with %d", skew, busiest, whole.After, whole.RankCopies)
	}
}

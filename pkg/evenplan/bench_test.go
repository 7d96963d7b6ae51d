package evenplan_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
)

// BenchmarkStages compares a plan at once with the plan of a stage, for a group that has formed and for
// one whose map is even but for a change of the demand.
func BenchmarkStages(b *testing.B) {
	for _, size := range []struct {
		name                                string
		ranks, sets, experts, places, spare int
		cost                                evenplan.StageCost
	}{
		{"24ranks", 24, 16, 96, 5, 2, evenplan.StageCost{Copy: 76 * time.Millisecond, Fixed: 100 * time.Millisecond}},
		{"72ranks", 72, 12, 144, 3, 2, evenplan.StageCost{Copy: 16 * time.Millisecond, Fixed: 100 * time.Millisecond}},
		{"12ranks", 12, 4, 72, 8, 3, evenplan.StageCost{Copy: 35 * time.Millisecond, Fixed: 100 * time.Millisecond}},
		{"63ranks", 63, 8, 252, 5, 2, evenplan.StageCost{Copy: 5 * time.Millisecond, Fixed: 100 * time.Millisecond}},
		{"32ranks", 32, 12, 128, 5, 2, evenplan.StageCost{Copy: 36 * time.Millisecond, Fixed: 100 * time.Millisecond}},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		limits := evenplan.Limits{Places: size.places, Spare: size.spare, MinCopyGain: 0.6 / float64(size.ranks)}
		newDemand := func() []evenplan.Demand {
			demand := make([]evenplan.Demand, size.sets)
			for s := range demand {
				shared := skewed(random, size.experts)
				for range 4 {
					own := skewed(random, size.experts)
					for e := range own {
						own[e] = 0.3*own[e] + 0.7*shared[e]
					}
					demand[s] = append(demand[s], own)
				}
			}
			return demand
		}
		demand := newDemand()
		formed := evenplan.Uniform(size.sets, size.experts, size.ranks)
		even := formed
		for range 3 {
			even = evenplan.Make(limits, even, demand).Sets
		}
		for _, start := range []struct {
			name    string
			present [][][]int
			demand  []evenplan.Demand
		}{{"formed", formed, demand}, {"changed", even, newDemand()}, {"even", even, demand}} {
			b.Run(size.name+"/"+start.name+"/atonce", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					evenplan.Make(limits, start.present, start.demand)
				}
			})
			b.Run(size.name+"/"+start.name+"/staged", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					evenplan.MakeStaged(limits, start.present, start.demand, size.cost)
				}
			})
		}
	}
}

package evenplan_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
)

// TestPlanNeverRaisesTheLargestLoad keeps a case that the property test found: the moves lowered
// the norm of the loads but raised the load of the most loaded rank.
func TestPlanNeverRaisesTheLargestLoad(t *testing.T) {
	limits := evenplan.Limits{Places: 5, Spare: 2, MinCopyGain: 6.103515625e-05}
	present := evenplan.Uniform(1, 9, 3)
	for _, popularity := range [][]float64{
		{0.5, 0.25, 0.25, 0.25, 8, 1, 0.25, 0.25, 0.5},
		{0.5, 0.25, 0.75, 0.125, 0.25, 2, 0.125, 0.25, 100},
		{8, 0.125, 72.5, 26.25, 0.125, 64.5, 0.015625, 0.25, 0.5},
	} {
		plan := evenplan.Make(limits, present, []evenplan.Demand{{popularity}})
		if plan.After > plan.Before {
			t.Errorf("the largest load rises from %v to %v", plan.Before, plan.After)
		}
		present = plan.Sets
	}
}

package expertmaps_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/measure/expertmaps"
)

// The target of the planner: skew within 5% of a full re-plan each period with
// a tenth of its bytes.
const (
	skewBound  = 1.05
	bytesBound = 0.1
)

func TestPlannerMeetsItsTargetOnEveryTrace(t *testing.T) {
	planners := []expertmaps.PlannerName{expertmaps.FullReplanEqualShares, expertmaps.FullReplanBalancedShares, expertmaps.SkewWeightOne, expertmaps.SkewWeightZero}
	for _, row := range expertmaps.MeasureAll(1, []expertmaps.Size{expertmaps.Today}, planners) {
		if row.Planner == expertmaps.FullReplanEqualShares || row.Planner == expertmaps.FullReplanBalancedShares {
			continue
		}
		if row.SkewAgainstFull > skewBound || row.BytesAgainstFull > bytesBound {
			t.Errorf("%s, %s: skew %.3f and bytes %.3f of a full re-plan", row.Trace, row.Planner, row.SkewAgainstFull, row.BytesAgainstFull)
		}
	}
}

package expertmaps_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/measure/expertmaps"
)

// Target of the planner: a skew within 5% of a full re-plan each period, with a tenth of its bytes.
const (
	maxSkewAgainstFull  = 1.05
	maxBytesAgainstFull = 0.1
)

// Guards against planners that read too many bytes from the store, or leave more skew than a full
// re-plan, under a drift, a sudden shift of popularity or a slow rank.
func TestPlannerMeetsSkewAndBytesTargetsOnEveryTrace(t *testing.T) {
	planners := []expertmaps.PlannerName{expertmaps.FullReplanEqualShares, expertmaps.FullReplanBalancedShares, expertmaps.SkewWeightOne, expertmaps.SkewWeightZero}
	for _, row := range expertmaps.MeasureAll(1, []expertmaps.Size{expertmaps.Today}, planners) {
		if row.Planner == expertmaps.FullReplanEqualShares || row.Planner == expertmaps.FullReplanBalancedShares {
			continue
		}
		if row.SkewAgainstFull > maxSkewAgainstFull || row.BytesAgainstFull > maxBytesAgainstFull {
			t.Errorf("%s, %s: skew is %.3f and bytes are %.3f of a full re-plan, want at most %v and %v", row.Trace, row.Planner, row.SkewAgainstFull, row.BytesAgainstFull, maxSkewAgainstFull, maxBytesAgainstFull)
		}
	}
}

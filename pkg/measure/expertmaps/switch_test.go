package expertmaps_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/measure/expertmaps"
)

// Guards against a gate that holds steps of the group during a switch, also when the planner or the
// log fails.
func TestGateSwitchHoldsNoStep(t *testing.T) {
	for _, row := range expertmaps.CompareSwitches(1, 8) {
		if row.Method == "gate" && row.HeldSteps > 0 {
			t.Errorf("%s: the gate held %d steps, want 0", row.Case, row.HeldSteps)
		}
	}
}

package expertmaps_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/measure/expertmaps"
)

func TestTheGateHoldsNoStepInASwitch(t *testing.T) {
	for _, row := range expertmaps.CompareSwitches(1, 8) {
		if row.Method == "gate" && row.HeldSteps > 0 {
			t.Errorf("%s: %d steps held", row.Case, row.HeldSteps)
		}
	}
}

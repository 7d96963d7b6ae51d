package rankagent

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// TestAbsurdGroupSizeIsRejected guards against a planner that allocates memory for as many ranks as a
// malformed report states.
func TestAbsurdGroupSizeIsRejected(t *testing.T) {
	members := []member{
		{status: rankStatus{Report: fleet.EngineReport{Epoch: 1, Ranks: 2, Rank: 0, State: fleet.GroupOpen}}},
		{status: rankStatus{Report: fleet.EngineReport{Epoch: 1, Ranks: 1 << 40, Rank: 1, State: fleet.GroupOpen}}},
	}
	members[0], members[1] = members[1], members[0]
	if _, _, err := orderedRanks(members); err == nil {
		t.Error("a group of 2^40 ranks is accepted")
	}
}

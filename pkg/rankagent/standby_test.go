package rankagent

import (
	"context"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// rankReport reports a rank of a group.
type rankReport struct {
	rankcontrol.Rank
	rank int
}

func (r rankReport) Report(context.Context) (fleet.EngineReport, error) {
	return fleet.EngineReport{Rank: r.rank, Ranks: 64}, nil
}

// TestCandidatesJoinOneAfterTheOther checks when agents take part in the election: after a start of all
// instances the lowest rank first, the next ones only if no planner calls them; after the failure of
// a planner all of them before its membership expires, and the other ranks later.
func TestCandidatesJoinOneAfterTheOther(t *testing.T) {
	for _, c := range []struct {
		name          string
		rank          int
		member, heard bool
		silent        time.Duration
		want          bool
	}{
		{"rank 0 after its start", 0, false, false, 350 * time.Millisecond, true},
		{"rank 1 after its start", 1, false, false, 350 * time.Millisecond, false},
		{"rank 1, no planner for a second", 1, false, false, 1150 * time.Millisecond, true},
		{"rank 2, no planner for a second", 2, false, false, 1150 * time.Millisecond, false},
		{"rank 0, the planner calls", 0, false, true, 300 * time.Millisecond, false},
		{"rank 2, the planner calls, a member already", 2, true, true, 300 * time.Millisecond, true},
		{"rank 2, the planner has failed", 2, false, true, electionTTL, true},
		{"rank 3, the planner has failed", 3, false, true, electionTTL, false},
		{"rank 3, no planner takes over", 3, false, true, plannerTimeout + maxJoinDelay, true},
		{"rank 3, a member, the planner calls", 3, true, true, 300 * time.Millisecond, false},
	} {
		a := &Agent{local: rankReport{rank: c.rank}, plannerSeenAt: time.Now().Add(-c.silent), joinDelay: time.Second}
		if c.heard {
			a.planner = "10.0.0.1:7000"
		}
		if got := a.isCandidate(context.Background(), c.member); got != c.want {
			t.Errorf("%s: candidate %v, want %v", c.name, got, c.want)
		}
	}
}

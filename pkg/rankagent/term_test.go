package rankagent

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// TestRoundWithoutServersSettlesThePreparation guards against rounds that follow each other without a pause:
// while the announcements are read anew, no server is known, and the ended preparation must not be left as the
// event that begins the next round.
func TestRoundWithoutServersSettlesThePreparation(t *testing.T) {
	ranks := newStagedGroup()
	p, g := stagedPlanner(t.Context(), ranks, 1)
	p.concurrency = semaphore.NewWeighted(maxConcurrentRanks)
	p.engine = &fleet.Engine{Sets: stagedSets, Experts: stagedExperts}
	advanceUntil(t, p, g, ranks, func() bool { return g.preparation.ended() })
	if err := p.round(t.Context(), g); err != nil {
		t.Fatal(err)
	}
	if g.preparation != nil {
		t.Error("a round without servers leaves the ended preparation; the next round begins at once")
	}
}

// TestPanicInAPreparationIsAnError guards the agent: a defect in the orders to prepare must end the stage and
// not the process.
func TestPanicInAPreparationIsAnError(t *testing.T) {
	var noGroup *mapswitch.Group
	m := rankcontrol.Map(evenplan.Uniform(1, 2, 2))
	p := prepare(t.Context(), noGroup, 1, m, 0, m)
	<-p.done
	if p.err == nil {
		t.Error("a preparation that panics has no error")
	}
}

// TestShiftDuringAStageIsPlannedAtOnce guards against a shift that waits for the least time between two maps because
// the stage in which it was noticed has been abandoned, or was the last one of its change.
func TestShiftDuringAStageIsPlannedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var s stages
	s.begin(now, evenplan.Plan{Stages: 1}, evenplan.StageCost{})
	s.demandShifted(now.Add(time.Millisecond))
	s.switched(now.Add(2 * time.Millisecond))
	if !s.due() {
		t.Error("no plan is due after a shift during the last stage of a change")
	}

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ranks := newStagedGroup()
	ranks.ranks[3].stuck = true // its copies take long
	p, g := stagedPlanner(ctx, ranks, 1)
	advanceUntil(t, p, g, ranks, func() bool { return g.next != nil })
	if !observeDemand(g, 4) {
		t.Fatal("no shift is detected")
	}
	p.noticeShift(g, time.Now())
	if g.next != nil || !g.stages.due() {
		t.Errorf("after a shift to other experts: next map %v, a plan is due: %v; want the stage abandoned and planned anew", g.next, g.stages.due())
	}
}

// TestLongSwitchDoesNotPreventStages guards against a link that fails during one switch: the switch must not be taken for
// the usual one, with which a change would be made at once although its copies take seconds.
func TestLongSwitchDoesNotPreventStages(t *testing.T) {
	const copyTime = 76 * time.Millisecond
	now := time.Unix(1000, 0)
	var s stages
	s.switched(now)
	s.inUse(now.Add(10 * time.Second))
	s.planning.observe(5 * time.Second)
	if fixed := s.fixedTime(); fixed > 2*16*copyTime/4 {
		t.Errorf("the fixed time of a stage is taken as %v after one switch of 10 s; two copies in each of 16 sets take %v", fixed, 2*16*copyTime)
	}
}

package rankagent

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// unpreparedRank refuses to be armed until it is prepared.
type unpreparedRank struct {
	rankcontrol.Rank
	prepared bool
}

func (r *unpreparedRank) Report(context.Context) (fleet.EngineReport, error) {
	return fleet.EngineReport{Epoch: 1, Step: 10}, nil
}

func (r *unpreparedRank) Order(_ context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	if o.Operation == rankcontrol.Arm && !r.prepared {
		return rankcontrol.StateConflict, nil
	}
	return rankcontrol.InEffect, nil
}

// TestRevertedSwitchKeepsItsMap guards against a map that is given up because one rank had not copied
// its experts yet: all ranks would copy the experts of the next map instead, and that one be late again.
func TestRevertedSwitchKeepsItsMap(t *testing.T) {
	late := &unpreparedRank{}
	p := &planner{agent: &Agent{scope: tally.NoopScope}, log: zap.NewNop(), fences: mapswitch.NewFenceCounter(0, 1)}
	control := &mapswitch.Group{Ranks: []rankcontrol.Rank{&unpreparedRank{prepared: true}, late}, Epoch: 1, Fences: p.fences}
	g := &group{epoch: 1, resolved: true, next: rankcontrol.Map{{{0}, {1}}}, nextVersion: 7, nextSentAt: time.Now()}
	statuses := []rankStatus{{Report: fleet.EngineReport{Prepared: 7}}, {}}
	if err := p.switchOver(context.Background(), g, control); err != nil || g.next == nil || !g.resolved {
		t.Fatalf("after a reverted switch: %v, next map %v, resolved %v; want the map kept", err, g.next, g.resolved)
	}
	if err := p.switchWhenPrepared(context.Background(), g, control, statuses); err != nil || g.next == nil {
		t.Fatalf("while a rank copies: %v, next map %v; want the map kept", err, g.next)
	}
	late.prepared, statuses[1].Report.Prepared = true, 7
	switched := g.lastChange
	if err := p.switchWhenPrepared(context.Background(), g, control, statuses); err != nil || !g.lastChange.After(switched) {
		t.Fatalf("once all ranks are prepared: %v; want a switch", err)
	}
	g.nextSentAt = time.Now().Add(-2 * nextMapTimeout)
	if err := p.switchWhenPrepared(context.Background(), g, control, statuses); err != nil || g.next != nil {
		t.Errorf("after the time limit: %v, next map %v; want the map given up", err, g.next)
	}
}

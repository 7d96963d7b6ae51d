package rankagent

import (
	"context"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// scriptedEngine answers each order with one verdict and reports one state.
type scriptedEngine struct {
	rankcontrol.Rank
	verdict rankcontrol.Verdict
	report  fleet.EngineReport
}

func (e scriptedEngine) Order(context.Context, rankcontrol.Order) (rankcontrol.Verdict, error) {
	return e.verdict, nil
}

func (e scriptedEngine) Report(context.Context) (fleet.EngineReport, error) { return e.report, nil }

// TestVerdictsAreConfirmed guards against an order that counts as carried out, or as impossible, because
// a second copy of the answer to an earlier order arrived in place of its own answer.
func TestVerdictsAreConfirmed(t *testing.T) {
	const unknown = rankcontrol.Verdict("")
	arm := rankcontrol.Order{Operation: rankcontrol.Arm, Version: 7, Step: 40, Epoch: 2}
	disarm := rankcontrol.Order{Operation: rankcontrol.Disarm, Version: 7, Epoch: 2}
	hold := rankcontrol.Order{Operation: rankcontrol.Hold, Step: 40, Epoch: 2}
	release := rankcontrol.Order{Operation: rankcontrol.Release, Step: 40, Epoch: 2}
	armed := fleet.EngineReport{Epoch: 2, Armed: 7, ArmedStep: 40}
	held := fleet.EngineReport{Epoch: 2, HeldStep: 40}
	idle := fleet.EngineReport{Epoch: 2}
	for _, c := range []struct {
		name    string
		order   rankcontrol.Order
		verdict rankcontrol.Verdict
		report  fleet.EngineReport
		want    rankcontrol.Verdict
	}{
		{"armed", arm, rankcontrol.Accepted, armed, rankcontrol.Accepted},
		{"armed, and the pass has begun", arm, rankcontrol.Accepted, fleet.EngineReport{Epoch: 2, Map: 7}, rankcontrol.Accepted},
		{"not armed", arm, rankcontrol.Accepted, idle, unknown},
		{"armed for another pass", arm, rankcontrol.InEffect, fleet.EngineReport{Epoch: 2, Armed: 7, ArmedStep: 39}, unknown},
		{"armed in spite of the answer", arm, rankcontrol.StateConflict, armed, rankcontrol.InEffect},
		{"cannot be armed", arm, rankcontrol.StateConflict, idle, rankcontrol.StateConflict},
		{"armed in another epoch", arm, rankcontrol.Accepted, fleet.EngineReport{Epoch: 3}, rankcontrol.StateConflict},
		{"disarmed", disarm, rankcontrol.Accepted, idle, rankcontrol.Accepted},
		{"still armed", disarm, rankcontrol.Accepted, armed, unknown},
		{"still armed, said to be impossible", disarm, rankcontrol.StateConflict, armed, unknown},
		{"held", hold, rankcontrol.Accepted, held, rankcontrol.Accepted},
		{"not held", hold, rankcontrol.InEffect, idle, unknown},
		{"the pass has begun", hold, rankcontrol.StateConflict, idle, rankcontrol.StateConflict},
		{"released", release, rankcontrol.Accepted, idle, rankcontrol.Accepted},
		{"still held", release, rankcontrol.Accepted, held, unknown},
		{"fenced", arm, rankcontrol.Fenced, idle, rankcontrol.Fenced},
	} {
		a := &Agent{local: scriptedEngine{verdict: c.verdict, report: c.report}}
		got, err := a.execute(context.Background(), c.order)
		if got != c.want || (err != nil) != (c.want == unknown) {
			t.Errorf("%s: %q, %v; want %q", c.name, got, err, c.want)
		}
	}
}

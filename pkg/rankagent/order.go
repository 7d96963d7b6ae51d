package rankagent

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// orderFenced passes an order on to the local engine unless its fence is lower than that of an earlier
// order. An engine need not check the fences itself.
func (a *Agent) orderFenced(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	if o.Fence < a.highestFence {
		return rankcontrol.Fenced, nil
	}
	a.highestFence = o.Fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	verdict, err := a.local.Order(ctx, o)
	if err != nil || o.Operation == rankcontrol.Prepare {
		return verdict, err // the planner reads in the report whether a map is prepared
	}
	return a.confirm(ctx, o, verdict)
}

// confirm checks the engine's verdict against its report. An engine's answer does not tell which order
// it answers: it may be a second copy of the answer to an earlier one. The error means that the outcome
// of the order is unknown.
func (a *Agent) confirm(ctx context.Context, o rankcontrol.Order, verdict rankcontrol.Verdict) (rankcontrol.Verdict, error) {
	switch verdict {
	case rankcontrol.Accepted, rankcontrol.InEffect, rankcontrol.StateConflict:
	default:
		return verdict, nil
	}
	report, err := a.local.Report(ctx)
	if err != nil {
		return "", errors.Wrapf(err, "the engine answered %q, but its report cannot be read", verdict)
	}
	if report.Epoch != o.Epoch {
		return rankcontrol.StateConflict, nil
	}
	inEffect := o.InEffect(report)
	switch {
	case inEffect && verdict == rankcontrol.StateConflict:
		return rankcontrol.InEffect, nil
	case inEffect:
		return verdict, nil
	case verdict == rankcontrol.StateConflict && (o.Operation == rankcontrol.Arm || o.Operation == rankcontrol.Hold):
		return verdict, nil
	}
	return "", errors.Newf("the engine answered %q to %s, but reports map %d, armed %d at pass %d, held pass %d", verdict, o.Operation,
		report.Map, report.Armed, report.ArmedStep, report.HeldStep)
}

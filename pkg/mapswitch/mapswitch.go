// Package mapswitch makes all ranks of a group use a new expert map from one
// pass on, and clears up after a planner that ended halfway. One rank, the
// anchor, holds the group before that pass until every rank is armed. Each order
// carries a higher fence than all before it, so an order that was lost and is
// carried out late is refused.
package mapswitch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// orderTimeout bounds one try of an order: agents answer within a few
	// milliseconds.
	orderTimeout = 80 * time.Millisecond
	// orderTimeoutRank is added for each rank: all orders of a step share the
	// planner's processor and link.
	orderTimeoutRank = 3 * time.Millisecond
	// armTime bounds the arming of all ranks: the group stands still after the
	// margin's passes.
	armTime = 600 * time.Millisecond
	// prepareTime bounds the orders to prepare: they carry the whole map.
	prepareTime = 2 * time.Second
	// leastMargin and mostMargin bound the passes between the last one begun and the
	// one that is held. Arming goes on while the group steps towards that pass; what
	// is left of it then holds the group.
	leastMargin = 1
	mostMargin  = 9
	// holdTries bounds the passes that are tried to be held: one may begin between the
	// report and the hold.
	holdTries = 4
	// usualPass is the time of a pass where it is not known.
	usualPass = 60 * time.Millisecond
	// usualLag is the age of a report that was read from another instance, at most:
	// three times the age that the engines' sheet gives.
	usualLag = 600 * time.Millisecond
	// maxCounter bounds the orders of one generation.
	maxCounter = 1 << 24
)

// ErrFenced means that a higher fence was seen: another planner has taken over.
var ErrFenced = errors.New("another planner has taken over; this one stops")

// errUnfit means that a rank's state does not allow the order.
var errUnfit = errors.New("the rank's state does not allow the order")

// FenceCounter gives each order a higher fence than all before it.
type FenceCounter struct {
	mu   sync.Mutex
	next int64
}

// NewFenceCounter returns the fences of a generation of the planner's election.
func NewFenceCounter(generation int64) *FenceCounter {
	return &FenceCounter{next: generation * maxCounter}
}

func (f *FenceCounter) take() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	return f.next
}

// NextVersion returns a map's version that is higher than all before it.
func (f *FenceCounter) NextVersion() int64 { return f.take() }

// Group is one formation of a group of ranks.
type Group struct {
	// Ranks holds the control of each rank in order.
	Ranks []rankcontrol.Rank
	// Anchor is the rank that holds the group.
	Anchor int
	Epoch  int64
	Fences *FenceCounter
	// PassTime is the time of a pass; 0 where it is not known. ArmingTime is the time that
	// arming all ranks is expected to take.
	PassTime, ArmingTime time.Duration
	// ReportLag bounds the age of lagging reports; 0 for the usual one.
	ReportLag time.Duration
	// LastArmingTime is how long the last switch took until all ranks were armed, or until
	// it was given up.
	LastArmingTime time.Duration

	unanswered atomic.Int64
}

// Unanswered returns the number of orders without an answer.
func (g *Group) Unanswered() int64 { return g.unanswered.Load() }

// HoldMargin returns the number of passes from the last one begun to the one that is
// held, so that all ranks are armed about when it is due: a group that stands still for
// a part of a pass loses less than one that makes one more under the old map.
func HoldMargin(arming, pass time.Duration) int64 {
	if pass <= 0 {
		pass = usualPass
	}
	return min(max(1+int64((arming+pass/2)/pass), leastMargin), mostMargin)
}

// Prepare makes every rank copy what it needs of a map. present is the map in use,
// of version base.
func (g *Group) Prepare(ctx context.Context, version int64, m rankcontrol.Map, base int64, present rankcontrol.Map) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTime)
	defer cancel()
	order := rankcontrol.Order{Operation: rankcontrol.Prepare, Version: version, Map: m, Base: base, Changes: present.ChangesTo(m)}
	if base == 0 {
		shape := present.Shape()
		order.Formation = &shape
	}
	return g.each(ctx, func(ctx context.Context, r int) error { return g.order(ctx, r, order) })
}

// Switch makes every rank use a prepared map from one pass on. After an error
// no rank is armed and the group is let go, unless the error is ErrFenced or the
// clearing failed: then Resolve has to be called again.
func (g *Group) Switch(ctx context.Context, version int64) error {
	began := time.Now()
	arming, cancel := context.WithTimeout(ctx, armTime)
	defer cancel()
	step, err := g.hold(arming)
	if step == 0 {
		return err
	}
	if err == nil {
		err = g.each(arming, func(ctx context.Context, r int) error {
			return g.order(ctx, r, rankcontrol.Order{Operation: rankcontrol.Arm, Version: version, Step: step})
		})
	}
	g.LastArmingTime = time.Since(began)
	if err == nil {
		return g.insist(ctx, g.Anchor, rankcontrol.Order{Operation: rankcontrol.Release, Step: step})
	}
	if errors.Is(err, ErrFenced) {
		return err
	}
	if clearing := g.abort(ctx, version, step); clearing != nil {
		return errors.WithSecondaryError(clearing, err)
	}
	return errors.Wrap(err, "the switch was taken back")
}

// hold holds the group at one of the next passes and returns it. After an error the pass
// may be held unless it is 0.
func (g *Group) hold(ctx context.Context) (step int64, err error) {
	for range holdTries {
		var report fleet.EngineReport
		if report, err = g.report(ctx, g.Anchor); err != nil {
			return 0, err
		}
		step = report.Step + HoldMargin(g.ArmingTime, g.PassTime)
		err = g.order(ctx, g.Anchor, rankcontrol.Order{Operation: rankcontrol.Hold, Step: step})
		if !errors.Is(err, errUnfit) {
			break // held, or not known
		}
	}
	return step, err
}

// abort disarms every rank and then lets the group go. An order that is lost is
// given again until it is answered: nothing may be armed when the group goes on.
func (g *Group) abort(ctx context.Context, version, step int64) error {
	err := g.each(ctx, func(ctx context.Context, r int) error {
		return g.insist(ctx, r, rankcontrol.Order{Operation: rankcontrol.Disarm, Version: version})
	})
	if err != nil {
		return err
	}
	return g.insist(ctx, g.Anchor, rankcontrol.Order{Operation: rankcontrol.Release, Step: step})
}

// Resolve shuts out earlier planners and clears up what they left: a switch
// that every rank is armed for goes on, any other is taken back.
func (g *Group) Resolve(ctx context.Context) error {
	reports, err := g.fence(ctx)
	if err != nil {
		return err
	}
	held, armed := pending(reports)
	if len(held) == 0 && (armed.none || armed.all) {
		return nil
	}
	if !armed.all {
		err := g.each(ctx, func(ctx context.Context, r int) error {
			if reports[r].Armed == 0 {
				return nil
			}
			return g.insist(ctx, r, rankcontrol.Order{Operation: rankcontrol.Disarm, Version: reports[r].Armed})
		})
		if err != nil {
			return err
		}
	}
	for _, r := range held {
		if err := g.insist(ctx, r, rankcontrol.Order{Operation: rankcontrol.Release, Step: reports[r].HeldStep}); err != nil {
			return err
		}
	}
	return nil
}

// fence gives every rank an order that changes nothing and carries this
// planner's fence; then it reads their reports. What a lagging report shows may be from
// before the fence, when an earlier planner still gave orders: all are read again once
// they cannot be older than it.
func (g *Group) fence(ctx context.Context) ([]fleet.EngineReport, error) {
	reports := make([]fleet.EngineReport, len(g.Ranks))
	unused := g.Fences.NextVersion()
	read := func(ctx context.Context, r int) error {
		report, err := g.report(ctx, r)
		reports[r] = report
		return err
	}
	err := g.each(ctx, func(ctx context.Context, r int) error {
		if err := g.insist(ctx, r, rankcontrol.Order{Operation: rankcontrol.Disarm, Version: unused}); err != nil {
			return err
		}
		return read(ctx, r)
	})
	if err != nil || !slices.ContainsFunc(reports, func(r fleet.EngineReport) bool { return r.Stale }) {
		return reports, err
	}
	lag := g.ReportLag
	if lag == 0 {
		lag = usualLag
	}
	wait.For(ctx, lag)
	return reports, g.each(ctx, read)
}

// armedState tells which ranks are armed.
type armedState struct{ none, all bool }

func pending(reports []fleet.EngineReport) (held []int, armed armedState) {
	armed = armedState{none: true, all: true}
	for r, report := range reports {
		if report.HeldStep != 0 {
			held = append(held, r)
		}
		if report.Armed != 0 {
			armed.none = false
		}
		if report.Armed == 0 || report.Armed != reports[0].Armed || report.ArmedStep != reports[0].ArmedStep {
			armed.all = false
		}
	}
	return held, armed
}

func (g *Group) report(ctx context.Context, r int) (fleet.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, g.orderTimeout(""))
	defer cancel()
	report, err := g.Ranks[r].Report(ctx)
	if err == nil && report.Epoch != g.Epoch {
		err = errors.Newf("the group has formed anew: epoch %d, not %d", report.Epoch, g.Epoch)
	}
	return report, errors.Wrapf(err, "rank %d", r)
}

func (g *Group) orderTimeout(o rankcontrol.Operation) time.Duration {
	if o == rankcontrol.Prepare {
		return prepareTime / 2
	}
	return orderTimeout + time.Duration(len(g.Ranks))*orderTimeoutRank
}

// order gives an order until it is answered or ctx ends. What a lost try does
// later is refused, since the next one carries a higher fence.
func (g *Group) order(ctx context.Context, r int, o rankcontrol.Order) error {
	o.Epoch = g.Epoch
	for {
		o.Fence = g.Fences.take()
		try, cancel := context.WithTimeout(ctx, g.orderTimeout(o.Operation))
		verdict, err := g.Ranks[r].Order(try, o)
		cancel()
		if err == nil {
			return errors.Wrapf(verdictError(verdict), "%s at rank %d", o.Operation, r)
		}
		g.unanswered.Add(1)
		if ctx.Err() != nil {
			return errors.Wrapf(err, "%s at rank %d was not answered", o.Operation, r)
		}
	}
}

// insist gives an order as order does. Where the rank finds it unfit, its
// epoch has ended, which clears everything, or nothing is left to do.
func (g *Group) insist(ctx context.Context, r int, o rankcontrol.Order) error {
	err := g.order(ctx, r, o)
	if errors.Is(err, errUnfit) {
		return nil
	}
	return err
}

func verdictError(v rankcontrol.Verdict) error {
	switch v {
	case rankcontrol.Accepted, rankcontrol.InEffect:
		return nil
	case rankcontrol.Fenced:
		return ErrFenced
	case rankcontrol.StateConflict:
		return errUnfit
	}
	return errors.New("the rank refused the order")
}

// each runs a step at every rank at once and returns the first error.
func (g *Group) each(ctx context.Context, step func(ctx context.Context, r int) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for r := range g.Ranks {
		group.Go(func() error { return step(ctx, r) })
	}
	return group.Wait()
}

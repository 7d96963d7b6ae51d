// Package mapswitch makes all ranks of a group use a new expert map from the same pass on, and
// recovers from a planner that failed during a switch. One rank, the anchor, holds the group before
// that pass until every rank is armed. Each order carries a higher fence than all earlier ones, so
// that a lost order that arrives late is refused.
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
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// orderTimeout bounds one attempt of an order: agents answer within a few milliseconds.
	orderTimeout = 80 * time.Millisecond
	// orderTimeoutPerRank is added for each rank, because all orders of one phase share the
	// planner's processor and link.
	orderTimeoutPerRank = 3 * time.Millisecond
	// attemptInterval is the least time between the begins of two attempts of an order from the second one on. Attempts
	// fail at once while a rank refuses connections.
	attemptInterval = 10 * time.Millisecond
	// armTimeout bounds the arming of all ranks. Once the passes of the margin are done, the group
	// is held until arming ends.
	armTimeout = 600 * time.Millisecond
	// prepareTimeout bounds the orders to prepare, which may carry the full map.
	prepareTimeout = 2 * time.Second
	// minMargin and maxMargin bound the number of passes from the last one begun to the one that is
	// held. The ranks are armed while the group runs the passes up to the held one; the group is
	// held only for the remainder of the arming.
	minMargin = 1
	maxMargin = 9
	// maxHoldAttempts bounds the attempts to hold a pass: an attempt fails if the pass begins
	// between the report and the order to hold it.
	maxHoldAttempts = 4
	// defaultPassTime is assumed for the time of a pass that is not known.
	defaultPassTime = 60 * time.Millisecond
	// defaultReportLag bounds the age of a report that was read from another instance: three times
	// the age that the engine specification states.
	defaultReportLag = 600 * time.Millisecond
	// A fence consists of the timeline of the shared log, the generation of the election in 24 bits
	// and a number in 24 bits. The timeline has at most 15 bits (sharedlog.MaxTimeline).
	timelineShift, generationShift = 48, 24
	fencesPerGeneration            = 1 << generationShift
)

// ErrFencesExhausted means that a planner has allocated every fence of its generation. It must resign
// from the election, which starts another generation.
var ErrFencesExhausted = errors.New("all fences of this generation are allocated: resign from the election")

// ErrFenced means that a rank has seen a higher fence: another planner has taken over.
var ErrFenced = errors.New("fenced off: another planner has taken over")

// ErrNotSwitched means that a switch failed without a trace: no rank is armed, and the group is not
// held. The same map can be switched to later.
var ErrNotSwitched = errors.New("the switch was reverted")

// errStateConflict means that a rank's state does not allow the order.
var errStateConflict = errors.New("the rank's state does not allow the order")

// FenceCounter allocates the fences of one planner: each order gets a higher one than all earlier
// orders.
type FenceCounter struct {
	mu          sync.Mutex
	first, next int64
}

// NewFenceCounter returns the counter of one generation of the planner's election in one timeline of
// the shared log. Its fences are higher than those of all earlier generations of the timeline and
// than those of all earlier timelines, in which the generation may have been higher.
func NewFenceCounter(timeline sharedlog.Timeline, generation int64) *FenceCounter {
	first := int64(timeline)<<timelineShift + generation<<generationShift
	return &FenceCounter{first: first, next: first}
}

func (f *FenceCounter) allocate() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next-f.first >= fencesPerGeneration-1 {
		return 0, ErrFencesExhausted
	}
	f.next++
	return f.next, nil
}

// NextVersion allocates a map version that is higher than all earlier ones. The error is
// ErrFencesExhausted.
func (f *FenceCounter) NextVersion() (int64, error) { return f.allocate() }

// Group controls the ranks of a group in one epoch.
type Group struct {
	// Ranks holds the control of each rank in rank order.
	Ranks []rankcontrol.Rank
	// Anchor is the rank that holds the group.
	Anchor int
	Epoch  int64
	Fences *FenceCounter
	// PassTime is the time of one pass; 0 if unknown. ArmingTime is the expected time to arm all
	// ranks.
	PassTime, ArmingTime time.Duration
	// ReportLag bounds the age of lagging reports; 0 means defaultReportLag.
	ReportLag time.Duration
	// LastArmingTime is how long the last switch took until all ranks were armed, or until it was
	// abandoned.
	LastArmingTime time.Duration

	unanswered atomic.Int64
}

// Unanswered returns the number of order attempts without an answer.
func (g *Group) Unanswered() int64 { return g.unanswered.Load() }

// HoldMargin returns the number of passes from the last one begun to the one that is held. It is
// chosen so that all ranks are armed about when the held pass is due: waiting for a part of a pass
// costs less than one more pass under the old map.
func HoldMargin(arming, pass time.Duration) int64 {
	if pass <= 0 {
		pass = defaultPassTime
	}
	return min(max(1+int64((arming+pass/2)/pass), minMargin), maxMargin)
}

// Prepare makes every rank copy the experts that it lacks for the map m. The map present, of
// version base, is the one in use.
func (g *Group) Prepare(ctx context.Context, version int64, m rankcontrol.Map, base int64, present rankcontrol.Map) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	order := rankcontrol.Order{Operation: rankcontrol.Prepare, Version: version, Map: m, Base: base, Changes: present.DeltaTo(m)}
	if base == 0 {
		shape := present.Shape()
		order.Formation = &shape
	}
	return g.forEachRank(ctx, func(ctx context.Context, r int) error { return g.sendOrder(ctx, r, order) })
}

// Switch makes every rank use a prepared map from the same pass on. After any error but ErrNotSwitched,
// ranks may be armed or hold the group: Resolve must be called then.
func (g *Group) Switch(ctx context.Context, version int64) error {
	began := time.Now()
	arming, cancel := context.WithTimeout(ctx, armTimeout)
	defer cancel()
	step, err := g.hold(arming)
	if step == 0 {
		return errors.Mark(err, ErrNotSwitched)
	}
	if err == nil {
		err = g.forEachRank(arming, func(ctx context.Context, r int) error {
			return g.sendOrder(ctx, r, rankcontrol.Order{Operation: rankcontrol.Arm, Version: version, Step: step})
		})
	}
	g.LastArmingTime = time.Since(began)
	if err == nil {
		return g.orderIgnoringConflict(ctx, g.Anchor, rankcontrol.Order{Operation: rankcontrol.Release, Step: step})
	}
	if errors.Is(err, ErrFenced) {
		return err
	}
	if revertErr := g.abort(ctx, version, step); revertErr != nil {
		return errors.WithSecondaryError(revertErr, err)
	}
	return errors.Mark(errors.Wrap(err, "the switch was reverted"), ErrNotSwitched)
}

// hold holds the group at one of the next passes and returns that pass. After an error the returned
// pass may be held, unless it is 0.
func (g *Group) hold(ctx context.Context) (step int64, err error) {
	for range maxHoldAttempts {
		var report fleet.EngineReport
		if report, err = g.report(ctx, g.Anchor); err != nil {
			return 0, err
		}
		step = report.Step + HoldMargin(g.ArmingTime, g.PassTime)
		err = g.sendOrder(ctx, g.Anchor, rankcontrol.Order{Operation: rankcontrol.Hold, Step: step})
		if !errors.Is(err, errStateConflict) {
			break // held, or the outcome is unknown
		}
	}
	return step, err
}

// abort disarms every rank and then releases the group. A lost order is sent again until it is
// answered, because no rank may be armed when the group continues.
func (g *Group) abort(ctx context.Context, version, step int64) error {
	err := g.forEachRank(ctx, func(ctx context.Context, r int) error {
		return g.orderIgnoringConflict(ctx, r, rankcontrol.Order{Operation: rankcontrol.Disarm, Version: version})
	})
	if err != nil {
		return err
	}
	return g.orderIgnoringConflict(ctx, g.Anchor, rankcontrol.Order{Operation: rankcontrol.Release, Step: step})
}

// Resolve fences off earlier planners and settles a switch that is still pending: it is completed
// if every rank is armed for it, and otherwise reverted.
func (g *Group) Resolve(ctx context.Context) error {
	reports, err := g.fenceAndReport(ctx)
	if err != nil {
		return err
	}
	held, armed := pendingState(reports)
	if len(held) == 0 && (armed.none || armed.all) {
		return nil
	}
	if !armed.all {
		err := g.forEachRank(ctx, func(ctx context.Context, r int) error {
			if reports[r].Armed == 0 {
				return nil
			}
			return g.orderIgnoringConflict(ctx, r, rankcontrol.Order{Operation: rankcontrol.Disarm, Version: reports[r].Armed})
		})
		if err != nil {
			return err
		}
	}
	for _, r := range held {
		if err := g.orderIgnoringConflict(ctx, r, rankcontrol.Order{Operation: rankcontrol.Release, Step: reports[r].HeldStep}); err != nil {
			return err
		}
	}
	return nil
}

// fenceAndReport sends every rank an order that changes nothing but carries this planner's fence,
// and then reads the reports. A lagging report may show the state before the fence, when orders of
// an earlier planner were still accepted. If there is any, all reports are read again once they
// cannot be older than the fence.
func (g *Group) fenceAndReport(ctx context.Context) ([]fleet.EngineReport, error) {
	reports := make([]fleet.EngineReport, len(g.Ranks))
	unused, err := g.Fences.NextVersion()
	if err != nil {
		return nil, err
	}
	read := func(ctx context.Context, r int) error {
		report, err := g.report(ctx, r)
		reports[r] = report
		return err
	}
	err = g.forEachRank(ctx, func(ctx context.Context, r int) error {
		if err := g.orderIgnoringConflict(ctx, r, rankcontrol.Order{Operation: rankcontrol.Disarm, Version: unused}); err != nil {
			return err
		}
		return read(ctx, r)
	})
	if err != nil || !slices.ContainsFunc(reports, func(r fleet.EngineReport) bool { return r.Stale }) {
		return reports, err
	}
	lag := g.ReportLag
	if lag == 0 {
		lag = defaultReportLag
	}
	wait.For(ctx, lag)
	return reports, g.forEachRank(ctx, read)
}

// armedState reports whether no rank is armed, and whether all ranks are armed for the same map and
// pass.
type armedState struct{ none, all bool }

// pendingState returns the ranks that hold the group, and which ranks are armed.
func pendingState(reports []fleet.EngineReport) (held []int, armed armedState) {
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
		err = errors.Newf("the group has formed again: its epoch is %d, not %d", report.Epoch, g.Epoch)
	}
	return report, errors.Wrapf(err, "rank %d", r)
}

func (g *Group) orderTimeout(o rankcontrol.Operation) time.Duration {
	if o == rankcontrol.Prepare {
		return prepareTimeout / 2
	}
	return orderTimeout + time.Duration(len(g.Ranks))*orderTimeoutPerRank
}

// sendOrder sends an order until it is answered or ctx ends. If a lost attempt arrives later, it is
// refused, since the next attempt carries a higher fence.
func (g *Group) sendOrder(ctx context.Context, r int, o rankcontrol.Order) error {
	o.Epoch = g.Epoch
	for first := true; ; first = false {
		fence, err := g.Fences.allocate()
		if err != nil {
			return err
		}
		o.Fence = fence
		began := time.Now()
		attempt, cancel := context.WithTimeout(ctx, g.orderTimeout(o.Operation))
		verdict, err := g.Ranks[r].Order(attempt, o)
		cancel()
		if err == nil {
			return errors.Wrapf(verdictError(verdict), "%s at rank %d", o.Operation, r)
		}
		g.unanswered.Add(1)
		if !first {
			wait.For(ctx, attemptInterval-time.Since(began))
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "%s at rank %d was not answered", o.Operation, r)
		}
	}
}

// orderIgnoringConflict sends an order as sendOrder does, but treats a state conflict as success:
// then either the epoch has ended, which clears all pending state, or nothing is left to do.
func (g *Group) orderIgnoringConflict(ctx context.Context, r int, o rankcontrol.Order) error {
	err := g.sendOrder(ctx, r, o)
	if errors.Is(err, errStateConflict) {
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
		return errStateConflict
	}
	return errors.New("the rank refused the order")
}

// forEachRank calls a function for every rank concurrently and returns the first error.
func (g *Group) forEachRank(ctx context.Context, call func(ctx context.Context, r int) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for r := range g.Ranks {
		group.Go(func() error { return call(ctx, r) })
	}
	return group.Wait()
}

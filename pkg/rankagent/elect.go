package rankagent

import (
	"context"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// electionTTL is how long an owner may be silent before another member
	// takes over: a group that a dead planner holds stands still for so long.
	electionTTL = 1200 * time.Millisecond
	// electionPause is the time between two calls of a member, unsettledPause the same
	// while no planner is heard of or members come and go: an owner gives the election up
	// by its next call, and a member learns by another one that it owns it.
	electionPause  = 350 * time.Millisecond
	unsettledPause = 100 * time.Millisecond
	// settleTime is how long after its last word a planner counts as known: it asks each
	// agent several times in that time.
	settleTime = 500 * time.Millisecond
	// electionTimeout bounds one call.
	electionTimeout = 900 * time.Millisecond
	// candidates is the number of ranks whose agents always take part.
	candidates = 3
	// electionPrefix stands before the service's name.
	electionPrefix = "expert-maps-"
)

// electAndPlan stays in the election of the service's planner and plans while
// this agent owns it. An owner that can't reach the shared log goes on: its fence
// shuts it out as soon as another one has taken over.
func (a *Agent) electAndPlan(ctx context.Context) {
	election := electionPrefix + a.settings.Service
	var generation int64
	var term *term
	lost, member := false, false
	for ctx.Err() == nil {
		if !a.candidate(ctx) {
			if member && term == nil {
				a.resign(ctx, election)
				member = false
			}
			wait.For(ctx, electionPause)
			continue
		}
		member = true
		call, cancel := context.WithTimeout(ctx, electionTimeout)
		ownership, err := a.shared.Elect(call, election, a.member, electionTTL, generation)
		cancel()
		if lost != (err != nil) && ctx.Err() == nil {
			lost = err != nil
			a.log.Info("dependency changed", zap.String("dependency", "shared log"), zap.Bool("lost", lost), telemetry.Err(err))
		}
		pause := electionPause
		if err == nil {
			if ownership.Generation != generation || a.plannerSilent(settleTime) {
				pause = unsettledPause
			}
			generation = ownership.Generation
			term = a.follow(ctx, term, ownership.Owner, generation)
		}
		wait.For(ctx, pause)
	}
	if term != nil {
		term.end()
	}
	if member {
		a.resign(context.WithoutCancel(ctx), election)
	}
}

// candidate reports whether this agent takes part in the election: those beside
// the first ranks do, and all while no planner asks.
func (a *Agent) candidate(ctx context.Context) bool {
	if a.plans.Load() {
		return true
	}
	if a.plannerSilent(plannerSilence) {
		return true
	}
	call, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	report, err := a.local.Report(call)
	return err == nil && report.Ranks > 0 && report.Rank < candidates
}

// plannerSilent reports whether no planner has asked for a time. A start counts as
// being asked: if all agents joined the election at once and most left it again, each of
// these would move it.
func (a *Agent) plannerSilent(longer time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.heard) > longer
}

func (a *Agent) resign(ctx context.Context, election string) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	if err := a.shared.Resign(ctx, election, a.member); err != nil {
		a.log.Warn("the election was not left; this member's time runs out", telemetry.Err(err))
	}
}

// term is the time in which this agent plans.
type term struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (t *term) end() {
	t.cancel()
	<-t.done
}

func (t *term) over() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// follow starts or ends this agent's term.
func (a *Agent) follow(ctx context.Context, present *term, owner bool, generation int64) *term {
	if present != nil && (!owner || present.over()) {
		a.log.Info("another agent plans the expert maps, or this one was shut out", zap.Bool("owner", owner), zap.Int64("generation", generation))
		present.end()
		present = nil
	}
	if present != nil || !owner {
		return present
	}
	a.log.Info("this agent plans the expert maps", zap.Int64("generation", generation))
	ctx, cancel := context.WithCancel(ctx)
	t := &term{cancel: cancel, done: make(chan struct{})}
	p := newPlanner(a, generation)
	a.plans.Store(true)
	go func() {
		defer close(t.done)
		defer a.plans.Store(false)
		p.run(ctx)
	}()
	return t
}

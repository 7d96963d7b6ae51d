package rankagent

import (
	"context"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// electionTTL is how long the owner may be silent before another member takes over. A group
	// that a failed planner holds makes no pass until then.
	electionTTL = 1200 * time.Millisecond
	// electionInterval is the time between two election calls of a member.
	// unsettledElectionInterval is used instead while no planner is known or the generation
	// changes: a change of owner takes two calls, one in which the old owner gives up the election
	// and one that returns the ownership to the new owner.
	electionInterval          = 350 * time.Millisecond
	unsettledElectionInterval = 100 * time.Millisecond
	// plannerKnownTimeout is how long after its last call a planner counts as known. A planner
	// calls each agent several times in that time.
	plannerKnownTimeout = 500 * time.Millisecond
	// electionTimeout bounds one election call.
	electionTimeout = 900 * time.Millisecond
	// candidateRanks is the number of lowest ranks whose agents always take part in the election.
	candidateRanks = 3
	// electionPrefix precedes the service name in the name of the election.
	electionPrefix = "expert-maps-"
)

// electAndPlan takes part in the election of the service's planner, and plans while this agent owns
// it. An owner that cannot reach the shared log continues to plan: once another planner has taken
// over, the ranks refuse the lower fence.
func (a *Agent) electAndPlan(ctx context.Context) {
	election := electionPrefix + a.settings.Service
	var generation int64
	var term *term
	lost, member := false, false
	for ctx.Err() == nil {
		if !a.isCandidate(ctx) {
			if member && term == nil {
				a.resign(ctx, election)
				member = false
			}
			wait.For(ctx, electionInterval)
			continue
		}
		member = true
		call, cancel := context.WithTimeout(ctx, electionTimeout)
		ownership, err := a.shared.Elect(call, election, a.memberID, electionTTL, generation)
		cancel()
		if lost != (err != nil) && ctx.Err() == nil {
			lost = err != nil
			a.log.Info("dependency changed", zap.String("dependency", "shared log"), zap.Bool("unreachable", lost), telemetry.Err(err))
		}
		pause := electionInterval
		if err == nil {
			if ownership.Generation != generation || a.plannerSilent(plannerKnownTimeout) {
				pause = unsettledElectionInterval
			}
			generation = ownership.Generation
			term = a.updateTerm(ctx, term, ownership.Owner, generation)
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

// isCandidate reports whether this agent takes part in the election. The planner and the agents of
// the lowest ranks always do, the others only while no planner calls.
func (a *Agent) isCandidate(ctx context.Context) bool {
	if a.planning.Load() {
		return true
	}
	if a.plannerSilent(plannerTimeout) {
		return true
	}
	call, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	report, err := a.local.Report(call)
	return err == nil && report.Ranks > 0 && report.Rank < candidateRanks
}

// plannerSilent reports whether no planner has called for longer than a timeout. The start of the
// agent counts as a call: otherwise all agents would join the election at their start, most would
// resign soon, and each resignation could change the owner.
func (a *Agent) plannerSilent(timeout time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.plannerSeenAt) > timeout
}

func (a *Agent) resign(ctx context.Context, election string) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	if err := a.shared.Resign(ctx, election, a.memberID); err != nil {
		a.log.Warn("failed to resign from the election; this membership ends when its TTL expires", telemetry.Err(err))
	}
}

// term is a period in which this agent plans.
type term struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (t *term) end() {
	t.cancel()
	<-t.done
}

func (t *term) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// updateTerm starts a term when this agent becomes the owner, and ends it when the agent loses the
// election or its planner has stopped. It returns the current term, nil if there is none.
func (a *Agent) updateTerm(ctx context.Context, current *term, owner bool, generation int64) *term {
	if current != nil && (!owner || current.ended()) {
		a.log.Info("stopped planning expert maps: another agent owns the election, or this planner was fenced off", zap.Bool("owner", owner), zap.Int64("generation", generation))
		current.end()
		current = nil
	}
	if current != nil || !owner {
		return current
	}
	a.log.Info("started planning expert maps", zap.Int64("generation", generation))
	ctx, cancel := context.WithCancel(ctx)
	t := &term{cancel: cancel, done: make(chan struct{})}
	p := newPlanner(a, generation)
	a.planning.Store(true)
	go func() {
		defer close(t.done)
		defer a.planning.Store(false)
		p.run(ctx)
	}()
	return t
}

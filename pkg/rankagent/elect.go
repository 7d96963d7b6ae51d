package rankagent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
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
	// electionTimeout bounds one election call, and resignTimeout one call to resign.
	electionTimeout = 900 * time.Millisecond
	resignTimeout   = 400 * time.Millisecond
	// candidateRanks is the number of lowest ranks whose agents take part in the election after a short
	// silence of the planner: before the membership of a planner that has failed expires.
	candidateRanks = 3
	// standbyTimeout is that silence for rank 0, and standbyInterval the additional one for each
	// further rank.
	standbyTimeout  = time.Second
	standbyInterval = 100 * time.Millisecond
	// firstCallTimeout and firstCallInterval are used instead by an agent that no planner has called
	// since its start. After a start of all instances, a planner first has to read the servers.
	firstCallTimeout  = 300 * time.Millisecond
	firstCallInterval = 800 * time.Millisecond
	// electionPrefix precedes the service name in the name of the election.
	electionPrefix = "expert-maps-"
)

// electAndPlan takes part in the election of the service's planner, and plans while this agent owns
// it. An owner that cannot reach the shared log continues to plan: once another planner has taken
// over, the ranks refuse the lower fence.
//
// An agent that starts resigns first: a former process at its address may still own the election, but
// cannot run any more. Otherwise no agent could plan until that membership expires, and this process
// would continue the former one's generation with lower fences.
func (a *Agent) electAndPlan(ctx context.Context) {
	election := electionPrefix + a.settings.Service
	var last sharedlog.Ownership
	var term *term
	lost, member := false, false
	resignFailures, formerResigned := 0, false
	for ctx.Err() == nil {
		if !a.isCandidate(ctx, member) {
			if member && term == nil {
				a.leave(ctx, election)
				member = false
			}
			wait.For(ctx, electionInterval)
			continue
		}
		if !formerResigned {
			if err := a.resign(ctx, election); err != nil {
				if resignFailures++; resignFailures == 1 {
					a.log.Warn("failed to resign the membership of a former process; retrying until it succeeds", telemetry.Err(err))
				}
				wait.For(ctx, follow.Backoff(resignFailures))
				continue
			}
			formerResigned = true
		}
		member = true
		call, cancel := context.WithTimeout(ctx, electionTimeout)
		ownership, err := a.shared.Elect(call, election, a.memberID, electionTTL, last)
		cancel()
		if lost != (err != nil) && ctx.Err() == nil {
			lost = err != nil
			a.log.Info("dependency changed", zap.String("dependency", "shared log"), zap.Bool("unreachable", lost), telemetry.Err(err))
		}
		pause := electionInterval
		if err == nil {
			if ownership.Timeline != last.Timeline || ownership.Generation != last.Generation || a.plannerSilent(plannerKnownTimeout) {
				pause = unsettledElectionInterval
			}
			last = ownership
			if term != nil && term.fencesExhausted() {
				a.leave(ctx, election)
				last = sharedlog.Ownership{}
			}
			term = a.updateTerm(ctx, term, last)
		}
		wait.For(ctx, pause)
	}
	if term != nil {
		term.end()
	}
	if member {
		a.leave(context.WithoutCancel(ctx), election)
	}
}

// isCandidate reports whether this agent takes part in the election: the planner always does, an agent
// of one of the lowest ranks after a short silence of the planner, and the others after a long one. Of
// these, the others leave when a planner calls, and the former stay.
func (a *Agent) isCandidate(ctx context.Context, member bool) bool {
	if a.planning.Load() {
		return true
	}
	if a.plannerSilent(plannerTimeout + a.currentJoinDelay()) {
		return true
	}
	if !member && !a.plannerSilent(a.standbyDelay(0)) {
		return false
	}
	call, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	report, err := a.local.Report(call)
	return err == nil && report.Ranks > 0 && report.Rank < candidateRanks && (member || a.plannerSilent(a.standbyDelay(report.Rank)))
}

// standbyDelay returns how long no planner may call before the agent of one of the lowest ranks joins the
// election. They join one after the other, because each member that joins may become the owner in
// place of a planner that has just begun.
func (a *Agent) standbyDelay(rank int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.planner == "" {
		return firstCallTimeout + time.Duration(rank)*firstCallInterval
	}
	return standbyTimeout + time.Duration(rank)*standbyInterval
}

// plannerSilent reports whether no planner has called for longer than a timeout. The start of the
// agent counts as a call: otherwise all agents would join the election at their start, most would
// resign soon, and each resignation could change the owner.
func (a *Agent) plannerSilent(timeout time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.plannerSeenAt) > timeout
}

func (a *Agent) currentJoinDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joinDelay
}

func (a *Agent) resign(ctx context.Context, election string) error {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	return a.shared.Resign(ctx, election, a.memberID)
}

// leave resigns once. If that fails, the membership ends when its TTL expires.
func (a *Agent) leave(ctx context.Context, election string) {
	if err := a.resign(ctx, election); err != nil {
		a.log.Warn("failed to resign from the election; this membership ends when its TTL expires", telemetry.Err(err))
	}
}

// term is a period in which this agent plans.
type term struct {
	// timeline is the timeline of the shared log in which this agent was elected.
	timeline sharedlog.Timeline
	cancel   context.CancelFunc
	done     chan struct{}
	// err is why the planner stopped; it is set before done is closed.
	err error
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

func (t *term) fencesExhausted() bool {
	return t.ended() && errors.Is(t.err, mapswitch.ErrFencesExhausted)
}

// updateTerm starts a term when this agent becomes the owner, and ends it when the agent loses the
// election, its planner has stopped, or the shared log was restored: an election of an earlier
// timeline is void, because the restored log may have elected another agent. It returns the current
// term, nil if there is none.
func (a *Agent) updateTerm(ctx context.Context, current *term, o sharedlog.Ownership) *term {
	if current != nil && (!o.Owner || o.Timeline != current.timeline || current.ended()) {
		current.end()
		a.log.Info("stopped planning expert maps", zap.Bool("owner", o.Owner), zap.Int64("generation", o.Generation),
			zap.Int64("timeline", int64(o.Timeline)), zap.Int64("electedInTimeline", int64(current.timeline)), telemetry.Err(current.err))
		current = nil
	}
	if current != nil || !o.Owner {
		return current
	}
	a.log.Info("started planning expert maps", zap.Int64("generation", o.Generation), zap.Int64("timeline", int64(o.Timeline)))
	ctx, cancel := context.WithCancel(ctx)
	t := &term{timeline: o.Timeline, cancel: cancel, done: make(chan struct{})}
	p := newPlanner(a, o)
	a.planning.Store(true)
	go func() {
		defer close(t.done)
		defer a.planning.Store(false)
		t.err = p.run(ctx)
	}()
	return t
}

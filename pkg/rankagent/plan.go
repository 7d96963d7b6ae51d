package rankagent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// loadCurrentMap makes sure that the placement of the map in use is known.
func (p *planner) loadCurrentMap(ctx context.Context, g *group, servers []fleet.Server, version int64, engine *fleet.Engine) error {
	if g.current != nil && g.currentVersion == version {
		return nil
	}
	switch {
	case version == 0:
		g.current = evenplan.Uniform(engine.Sets, engine.Experts, len(servers))
	case version == g.nextVersion && g.next != nil:
		g.current = g.next
	default:
		_, statuses, err := orderedRanks(p.readStatuses(ctx, servers, func(int) statusRequest { return statusRequest{Map: true} }))
		if err != nil {
			return err
		}
		present := make(rankcontrol.Map, engine.Sets)
		for r, s := range statuses {
			if len(s.Experts) != engine.Sets || s.Report.Map != version {
				return errors.Newf("rank %d did not return its experts of map version %d", r, version)
			}
			for set, experts := range s.Experts {
				present[set] = append(present[set], experts)
			}
		}
		if err := present.Check(g.shape); err != nil {
			return errors.Wrapf(err, "the ranks returned an invalid map of version %d", version)
		}
		g.current = present
	}
	g.currentVersion = version
	if version == g.nextVersion {
		g.next = nil
	}
	return nil
}

// plan makes the ranks prepare the first stage of a better map if there is one.
func (p *planner) plan(ctx context.Context, g *group, f *mapswitch.Group, statuses []rankStatus, engine *fleet.Engine) error {
	if !g.stages.due() && time.Since(g.lastChange) < MinPlanInterval || g.demand.TotalChoices() < minChoices {
		return nil
	}
	began := time.Now()
	limits := evenplan.Limits{Places: engine.Places, Spare: engine.Spare, MinCopyGain: MinCopyGain / float64(len(f.Ranks)), NoCopies: g.stages.unable(began, len(f.Ranks))}
	for _, s := range statuses {
		limits.Slowdown = append(limits.Slowdown, s.Report.Slowdown)
	}
	cost := evenplan.StageCost{Copy: engine.CopyTime(), Fixed: g.stages.fixedTime()}
	plan := evenplan.MakeStaged(limits, g.current, g.demand.Samples(), cost)
	planningTime := time.Since(began)
	g.stages.planning.observe(planningTime)
	if plan.Before-plan.Whole < g.stages.minGain() {
		p.log.Debug("expert map kept: the best plan gains too little", zap.Float64("skewBefore", plan.Before), zap.Float64("skewAfter", plan.Whole))
		g.stages.end()
		return nil
	}
	version, err := p.fences.NextVersion()
	if err != nil {
		return err
	}
	g.stages.begin(began, plan, cost)
	g.next, g.nextVersion, g.nextSentAt = plan.Sets, version, began
	g.preparation = prepare(ctx, f, version, plan.Sets, g.currentVersion, g.current)
	p.log.Info("prepare an expert map", zap.String("group", g.name), zap.Int64("epoch", g.epoch), zap.Int64("version", version),
		zap.Float64("skewBefore", plan.Before), zap.Float64("skewAfter", plan.After), zap.Float64("skewAfterAllStages", plan.Whole),
		zap.Int("stage", g.stages.number), zap.Int("stages", g.stages.number-1+plan.Stages), zap.Int("copies", plan.Copies), zap.Int("rankCopies", plan.RankCopies),
		zap.Duration("copyTime", cost.Copy), zap.Duration("fixedTime", cost.Fixed), zap.Float64("maxSlowdown", slices.Max(limits.Slowdown)),
		zap.Float64("expertChoices", g.demand.TotalChoices()), zap.Duration("planningTime", planningTime))
	scope := p.agent.scope
	scope.Counter("maps_prepared").Inc(1)
	scope.Counter("experts_copied").Inc(int64(plan.Copies))
	scope.Gauge("map_skew_before").Update(plan.Before)
	scope.Gauge("map_skew_after").Update(plan.After)
	return nil
}

// switchAfterPreparation switches to the next map once the orders to prepare it have been answered. An
// agent answers when the experts have been copied.
func (p *planner) switchAfterPreparation(ctx context.Context, g *group) error {
	done := g.preparation
	g.preparation = nil
	g.stages.prepared(done.took)
	g.lastChange = time.Now()
	if done.err != nil {
		p.log.Warn("expert map abandoned: not every rank accepted the order to prepare it", zap.String("group", g.name), zap.Int64("version", g.nextVersion),
			zap.Duration("took", done.took), telemetry.Err(done.err))
		p.abandonStage(g, "")
		return onlyFinal(done.err)
	}
	if done.took >= prepareTimeout || !g.resolved {
		return nil // the ranks' reports tell when all have finished their copies
	}
	done.group.PassTime, done.group.ArmingTime = g.passTimer.passTime, g.armingEstimate.current()
	return p.switchOver(ctx, g, done.group)
}

// switchWhenPrepared switches to the next map once every rank has prepared it, and abandons the map
// after the time limit of its stage, or if its gain is lost because the demand has shifted since.
func (p *planner) switchWhenPrepared(ctx context.Context, g *group, f *mapswitch.Group, statuses []rankStatus) error {
	if time.Since(g.nextSentAt) > g.stages.timeLimit() {
		for r, s := range statuses {
			if s.Report.Prepared != g.nextVersion {
				g.stages.setUnable(r, time.Now())
				p.log.Warn("a rank has not finished its copies in time; it gets no new experts for a while", zap.String("group", g.name), zap.Int("rank", r),
					zap.Duration("limit", g.stages.timeLimit()), zap.Duration("pause", unableTime))
			}
		}
		p.log.Warn("expert map abandoned: not every rank could switch to it in time", zap.String("group", g.name), zap.Int64("version", g.nextVersion))
		p.abandonStage(g, "")
		return nil
	}
	if g.preparation != nil || slices.ContainsFunc(statuses, func(s rankStatus) bool { return s.Report.Prepared != g.nextVersion }) {
		return nil
	}
	return p.switchOver(ctx, g, f)
}

// noticeShift records that the demand has shifted, and reviews the stage in progress.
func (p *planner) noticeShift(g *group, now time.Time) {
	p.reviewStage(g)
	g.stages.demandShifted(now) // abandoning the stage ends the earlier change only
}

// reviewStage abandons the stage that the ranks prepare if the demand has shifted so that its gain is lost.
func (p *planner) reviewStage(g *group) {
	if g.next == nil || g.preparation == nil || g.preparation.ended() || g.current == nil {
		return
	}
	demand := g.demand.Samples()
	if evenplan.Skew(g.current, demand)-evenplan.Skew(g.next, demand) < minStageGain {
		p.abandonStage(g, "the demand has shifted, and its gain is lost")
	}
}

// abandonStage gives up the map that the ranks prepare, if there is one. The reason is logged unless it is
// empty.
func (p *planner) abandonStage(g *group, reason string) {
	if g.next == nil {
		return
	}
	if reason != "" {
		p.log.Info("expert map abandoned", zap.String("group", g.name), zap.Int64("version", g.nextVersion), zap.String("reason", reason))
	}
	g.preparation.abandon()
	g.preparation, g.next = nil, nil
	g.stages.end()
	p.agent.scope.Counter("maps_abandoned").Inc(1)
}

// switchOver switches to the next map. If a rank has not prepared the map yet, the switch is
// reverted, which costs only a few orders, and tried again once the ranks report that they have.
func (p *planner) switchOver(ctx context.Context, g *group, f *mapswitch.Group) error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	began := time.Now()
	err := f.Switch(ctx, g.nextVersion)
	g.armingEstimate.observe(f.LastArmingTime)
	g.lastChange = time.Now()
	sinceChange := g.stages.sinceNoticed(g.lastChange)
	p.log.Info("switch to an expert map", zap.String("group", g.name), zap.Int64("epoch", g.epoch), zap.Int64("version", g.nextVersion),
		zap.Duration("took", time.Since(began)), zap.Duration("armingTime", f.LastArmingTime), zap.Duration("passTime", f.PassTime),
		zap.Duration("sinceNoticed", sinceChange), zap.Duration("sincePlanned", time.Since(g.nextSentAt)),
		zap.Int64("unansweredOrders", f.Unanswered()), telemetry.Err(err))
	if errors.Is(err, mapswitch.ErrNotSwitched) {
		return onlyFinal(err)
	}
	if err != nil {
		g.resolved, g.next = false, nil
		g.stages.end()
		return onlyFinal(err)
	}
	p.agent.scope.Counter("maps_switched").Inc(1)
	p.agent.scope.Histogram("noticed_to_switch_seconds", switchBuckets).RecordDuration(sinceChange)
	g.stages.switched(began)
	g.formingPhase.end()
	p.announceOpen(g)
	return nil
}

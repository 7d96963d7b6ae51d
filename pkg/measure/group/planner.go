package group

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/popularity"
	"github.com/fescuehub/fescuehub/pkg/rankagent"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

const (
	// armDuration is the time until all ranks are armed for a switch.
	armDuration = 40 * time.Millisecond
	// choicesPerPass is the number of expert choices of a stream in one set in one pass.
	choicesPerPass = 48 * 6
)

// planner plans the expert maps of the model's group, with the product's parameters.
type planner struct {
	sim     *simulation
	demand  *popularity.Estimator
	windows []popularity.WindowTracker
	choices [][]float64
	// planPending is true from a plan until its switch.
	planPending bool
	switchedAt  time.Time
	// nextMap is switched to at pass switchStep.
	nextMap    [][][]int
	switchStep int64
}

func newPlanner(sim *simulation) *planner {
	reportingRanks := min(sim.site.Ranks, rankagent.MaxWindowRanks)
	p := &planner{sim: sim, demand: popularity.New(reportingRanks, sim.site.Sets, sim.site.Experts, rankagent.DemandHalfLife), windows: make([]popularity.WindowTracker, reportingRanks)}
	for range reportingRanks {
		p.choices = append(p.choices, make([]float64, sim.site.Sets*sim.site.Experts))
	}
	return p
}

// countChoices adds the expert choices of a pass at the ranks that report theirs.
func (p *planner) countChoices() {
	for r := range p.choices {
		var streams [topics]float64
		for _, s := range p.sim.engines[r].running {
			streams[s.topic]++
		}
		for set := range p.sim.site.Sets {
			for topic, n := range streams {
				if n > 0 {
					p.sim.demand.addChoices(p.choices[r][set*p.sim.site.Experts:(set+1)*p.sim.site.Experts], topic, set, n*choicesPerPass)
				}
			}
		}
	}
}

// poll passes the engines' loads on to the entries, reads the counters of expert choices and plans
// a map if one is due.
func (p *planner) poll() {
	now := p.sim.clock.Now()
	for _, b := range p.sim.entries {
		b.UpdateGroup(now, serviceName, "", fleet.GroupOpen, p.sim.reported)
	}
	if !p.sim.variant.PlanMaps {
		return
	}
	p.demand.DecayTo(now)
	for r, choices := range p.choices {
		counts := rankcontrol.Counts{Incarnation: 1, Step: p.sim.step, ExpertCounts: make([]int64, len(choices))}
		for i, n := range choices {
			counts.ExpertCounts[i] = int64(n)
		}
		p.demand.Observe(r, p.windows[r].Next(counts))
	}
	p.demand.MergeWindows()
	if !p.planPending && now.Sub(p.switchedAt) >= rankagent.MinPlanInterval && p.demand.TotalChoices() > 0 {
		p.plan()
	}
}

// plan makes a plan and, if its gain is large enough, schedules the switch to its map.
func (p *planner) plan() {
	s := p.sim.site
	limits := evenplan.Limits{Places: s.Places, Spare: s.Spare, MinCopyGain: rankagent.MinCopyGain / float64(s.Ranks)}
	plan := evenplan.Make(limits, p.sim.currentMap, p.demand.Samples())
	if plan.Before-plan.After < rankagent.MinPlanGain {
		return
	}
	p.planPending = true
	p.sim.clock.After(p.sim.variant.PlanTime+prepareTime, func() {
		margin := p.sim.variant.SwitchMargin
		if margin == 0 {
			margin = mapswitch.HoldMargin(armDuration, p.sim.passTime)
		}
		p.nextMap, p.switchStep = plan.Sets, p.sim.step+margin
	})
}

// switchIfDue puts the next map into force in the pass at which its switch is due.
func (p *planner) switchIfDue() {
	if p.nextMap == nil || p.sim.step < p.switchStep {
		return
	}
	p.sim.currentMap, p.nextMap = p.nextMap, nil
	p.planPending, p.switchedAt = false, p.sim.clock.Now()
	p.sim.result.Maps++
}

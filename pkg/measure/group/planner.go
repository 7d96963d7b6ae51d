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
	// armTime is how long all ranks take to be armed.
	armTime = 40 * time.Millisecond
	// picks is how often a stream chooses an expert of one set in one pass.
	picks = 48 * 6
)

// planner plans the expert maps of the model's group, with the product's figures.
type planner struct {
	w        *world
	demand   *popularity.Estimator
	counters []popularity.WindowTracker
	chosen   [][]float64
	// busy is true from a plan to its switch.
	busy    bool
	changed time.Time
	// next is switched to at pass nextStep.
	next     [][][]int
	nextStep int64
}

func newPlanner(w *world) *planner {
	told := min(w.site.Ranks, rankagent.MaxWindowRanks)
	p := &planner{w: w, demand: popularity.New(told, w.site.Sets, w.site.Experts, rankagent.DemandHalfLife), counters: make([]popularity.WindowTracker, told)}
	for range told {
		p.chosen = append(p.chosen, make([]float64, w.site.Sets*w.site.Experts))
	}
	return p
}

// count adds what the streams of the ranks that tell choose in a pass.
func (p *planner) count() {
	for r := range p.chosen {
		var streams [topics]float64
		for _, s := range p.w.engines[r].running {
			streams[s.topic]++
		}
		for set := range p.w.site.Sets {
			for topic, n := range streams {
				if n > 0 {
					p.w.demand.add(p.chosen[r][set*p.w.site.Experts:(set+1)*p.w.site.Experts], topic, set, n*picks)
				}
			}
		}
	}
}

// look tells the entries of the engines and takes the next step of the map.
func (p *planner) look() {
	now := p.w.clock.Now()
	for _, b := range p.w.entries {
		b.UpdateGroup(now, service, "", fleet.GroupOpen, p.w.reported)
	}
	if !p.w.variant.Plans {
		return
	}
	p.demand.DecayTo(now)
	for r, chosen := range p.chosen {
		counts := rankcontrol.Counts{Incarnation: 1, Step: p.w.step, ExpertCounts: make([]int64, len(chosen))}
		for i, n := range chosen {
			counts.ExpertCounts[i] = int64(n)
		}
		p.demand.Observe(r, p.counters[r].Next(counts))
	}
	p.demand.MergeWindows()
	if !p.busy && now.Sub(p.changed) >= rankagent.MinPlanInterval && p.demand.TotalChoices() > 0 {
		p.plan()
	}
}

func (p *planner) plan() {
	s := p.w.site
	limits := evenplan.Limits{Places: s.Places, Spare: s.Spare, MinCopyGain: rankagent.MinCopyGain / float64(s.Ranks)}
	plan := evenplan.Make(limits, p.w.present, p.demand.Samples())
	if plan.Before-plan.After < rankagent.MinPlanGain {
		return
	}
	p.busy = true
	p.w.clock.After(p.w.variant.PlanTime+prepareTime, func() {
		margin := p.w.variant.Margin
		if margin == 0 {
			margin = mapswitch.HoldMargin(armTime, p.w.pass)
		}
		p.next, p.nextStep = plan.Sets, p.w.step+margin
	})
}

// switchOver takes the next map into use where its pass begins.
func (p *planner) switchOver() {
	if p.next == nil || p.w.step < p.nextStep {
		return
	}
	p.w.present, p.next = p.next, nil
	p.busy, p.changed = false, p.w.clock.Now()
	p.w.result.Maps++
}

package group

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/evenplan"
)

// beginPass begins the next pass, which all ranks execute together. During a stall or without work
// it tries again after idlePollInterval.
func (sim *simulation) beginPass() {
	if end := sim.load.Length/3 + sim.load.Stall; sim.load.Stall > 0 && sim.clock.Elapsed() >= sim.load.Length/3 && sim.clock.Elapsed() < end {
		sim.removeAbandoned()
		sim.clock.After(idlePollInterval, sim.beginPass)
		return
	}
	sim.removeAbandoned()
	busiest, mean := sim.admit()
	if busiest == 0 {
		sim.clock.After(idlePollInterval, sim.beginPass)
		return
	}
	sim.step++
	sim.planner.switchIfDue()
	skew := sim.measureSkew()
	ms := float64(sim.site.StepsPerEvent)*stepMS + (1-expertTimeShare)*busiest + expertTimeShare*mean*skew
	sim.passTime = time.Duration(ms * float64(time.Millisecond))
	sim.result.recordPass(skew, sim.passTime > sim.site.GapTarget)
	sim.clock.After(sim.passTime, func() {
		sim.deliver()
		sim.beginPass()
	})
}

// removeAbandoned removes the streams of callers that have received no event for abandonAfter.
func (sim *simulation) removeAbandoned() {
	now := sim.clock.Now()
	for _, e := range sim.engines {
		filter := func(list []*stream) []*stream {
			kept := list[:0]
			for _, s := range list {
				if now.Sub(s.lastEvent) <= abandonAfter {
					kept = append(kept, s)
					continue
				}
				s.arrivalSecond.abandoned++
				sim.entries[s.entry].End(now, sim.servers[s.engine].ID, int(sim.site.PromptTokens), balance.Result{})
			}
			return kept
		}
		e.waiting, e.running = filter(e.waiting), filter(e.running)
	}
}

// admit moves waiting streams into free slots. It returns the time in ms that the tokens of a rank
// take in the pass, at the busiest rank and in the mean; 0 where there is no work.
func (sim *simulation) admit() (busiest, mean float64) {
	for _, e := range sim.engines {
		for len(e.waiting) > 0 && len(e.running) < sim.site.Slots {
			e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
		}
		if len(e.running) == 0 {
			continue
		}
		readTokens := 0.0
		for _, s := range e.running {
			tokens := min(s.promptLeft, float64(chunkTokens*sim.site.StepsPerEvent)-readTokens)
			s.promptLeft -= tokens
			readTokens += tokens
		}
		work := float64(sim.site.StepsPerEvent)*sim.site.StepMSPerStream*float64(len(e.running)) + readTokens/promptTokensPerMS
		busiest = max(busiest, work)
		mean += work / float64(len(sim.engines))
	}
	return busiest, mean
}

// measureSkew returns the load of the most loaded rank in this pass as a multiple of the mean load,
// averaged over the sets, and adds the pass to the expert choices that the ranks count.
func (sim *simulation) measureSkew() float64 {
	sums := make([]evenplan.Demand, sim.site.Sets)
	for set := range sums {
		sums[set] = evenplan.Demand{make([]float64, sim.site.Experts)}
	}
	var streams [topics]float64
	for _, e := range sim.engines {
		for _, s := range e.running {
			streams[s.topic]++
		}
	}
	for set := range sums {
		for topic, n := range streams {
			if n > 0 {
				sim.demand.addChoices(sums[set][0], topic, set, n)
			}
		}
	}
	sim.planner.countChoices()
	return evenplan.Skew(sim.currentMap, sums)
}

// deliver sends an event to every stream whose prompt is processed.
func (sim *simulation) deliver() {
	now := sim.clock.Now()
	for _, e := range sim.engines {
		kept := e.running[:0]
		for _, s := range e.running {
			if s.promptLeft > 0 {
				kept = append(kept, s)
				continue
			}
			sim.deliverEvent(s, now)
			if s.events < sim.site.EventsPerStream {
				kept = append(kept, s)
			}
		}
		e.running = kept
	}
}

// deliverEvent records an event of a stream, and the outcome of the stream at its last event.
func (sim *simulation) deliverEvent(s *stream, now time.Time) {
	b, id := sim.entries[s.entry], sim.servers[s.engine].ID
	if s.events == 0 {
		b.ResponseStarted(now, id, s.sentAt)
		first := now.Sub(s.arrived) + firstEventOverhead
		sim.result.recordFirstEvent(first)
		s.missedTarget = first > sim.site.FirstEventTarget
	} else if now.Sub(s.lastEvent) > sim.site.GapTarget {
		s.missedTarget = true
	}
	s.events++
	s.lastEvent = now
	if s.events < sim.site.EventsPerStream {
		return
	}
	b.End(now, id, int(sim.site.PromptTokens), balance.Result{Latency: now.Sub(s.sentAt), Duration: now.Sub(s.sentAt)})
	if s.missedTarget {
		s.arrivalSecond.late++
	} else {
		s.arrivalSecond.withinTargets++
	}
}

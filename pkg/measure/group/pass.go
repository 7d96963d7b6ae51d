package group

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/evenplan"
)

// beginPass begins the next pass, which all ranks execute together.
func (w *world) beginPass() {
	if end := w.load.Length/3 + w.load.Stall; w.load.Stall > 0 && w.clock.Elapsed() >= w.load.Length/3 && w.clock.Elapsed() < end {
		w.removeAbandoned()
		w.clock.After(idlePollInterval, w.beginPass)
		return
	}
	w.removeAbandoned()
	busiest, mean := w.admit()
	if busiest == 0 {
		w.clock.After(idlePollInterval, w.beginPass)
		return
	}
	w.step++
	w.planner.switchIfDue()
	skew := w.measureSkew()
	ms := float64(w.site.StepsPerEvent)*stepMS + (1-expertTimeShare)*busiest + expertTimeShare*mean*skew
	w.passTime = time.Duration(ms * float64(time.Millisecond))
	w.result.recordPass(skew, w.passTime > w.site.GapTarget)
	w.clock.After(w.passTime, func() {
		w.deliver()
		w.beginPass()
	})
}

// removeAbandoned removes the streams of callers that have received no event for abandonAfter.
func (w *world) removeAbandoned() {
	now := w.clock.Now()
	for _, e := range w.engines {
		filter := func(list []*stream) []*stream {
			kept := list[:0]
			for _, s := range list {
				if now.Sub(s.lastEvent) <= abandonAfter {
					kept = append(kept, s)
					continue
				}
				s.arrivalSecond.abandoned++
				w.entries[s.entry].End(now, w.servers[s.engine].ID, int(w.site.PromptTokens), balance.Result{})
			}
			return kept
		}
		e.waiting, e.running = filter(e.waiting), filter(e.running)
	}
}

// admit moves waiting streams into free slots. It returns the time in ms that the tokens of a rank
// take in the pass, at the busiest rank and in the mean; 0 where there is no work.
func (w *world) admit() (busiest, mean float64) {
	for _, e := range w.engines {
		for len(e.waiting) > 0 && len(e.running) < w.site.Slots {
			e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
		}
		if len(e.running) == 0 {
			continue
		}
		readTokens := 0.0
		for _, s := range e.running {
			tokens := min(s.promptLeft, float64(chunkTokens*w.site.StepsPerEvent)-readTokens)
			s.promptLeft -= tokens
			readTokens += tokens
		}
		work := float64(w.site.StepsPerEvent)*w.site.StepMSPerStream*float64(len(e.running)) + readTokens/promptTokensPerMS
		busiest = max(busiest, work)
		mean += work / float64(len(w.engines))
	}
	return busiest, mean
}

// measureSkew returns the load of the most loaded rank in this pass, as a multiple of the mean over
// the sets, and adds the pass to the expert choices that the ranks count.
func (w *world) measureSkew() float64 {
	sums := make([]evenplan.Demand, w.site.Sets)
	for set := range sums {
		sums[set] = evenplan.Demand{make([]float64, w.site.Experts)}
	}
	var streams [topics]float64
	for _, e := range w.engines {
		for _, s := range e.running {
			streams[s.topic]++
		}
	}
	for set := range sums {
		for topic, n := range streams {
			if n > 0 {
				w.demand.addChoices(sums[set][0], topic, set, n)
			}
		}
	}
	w.planner.countChoices()
	return evenplan.Skew(w.currentMap, sums)
}

// deliver sends an event to every stream whose prompt is processed.
func (w *world) deliver() {
	now := w.clock.Now()
	for _, e := range w.engines {
		kept := e.running[:0]
		for _, s := range e.running {
			if s.promptLeft > 0 {
				kept = append(kept, s)
				continue
			}
			w.deliverEvent(s, now)
			if s.events < w.site.EventsPerStream {
				kept = append(kept, s)
			}
		}
		e.running = kept
	}
}

// deliverEvent records an event of a stream, and the outcome of the stream at its last event.
func (w *world) deliverEvent(s *stream, now time.Time) {
	b, id := w.entries[s.entry], w.servers[s.engine].ID
	if s.events == 0 {
		b.ResponseStarted(now, id, s.sentAt)
		first := now.Sub(s.arrived) + firstEventOverhead
		w.result.recordFirstEvent(first)
		s.missedTarget = first > w.site.FirstEventTarget
	} else if now.Sub(s.lastEvent) > w.site.GapTarget {
		s.missedTarget = true
	}
	s.events++
	s.lastEvent = now
	if s.events < w.site.EventsPerStream {
		return
	}
	b.End(now, id, int(w.site.PromptTokens), balance.Result{Latency: now.Sub(s.sentAt), Duration: now.Sub(s.sentAt)})
	if s.missedTarget {
		s.arrivalSecond.late++
	} else {
		s.arrivalSecond.withinTargets++
	}
}

package group

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/evenplan"
)

// begin begins the next pass: all ranks execute it together.
func (w *world) begin() {
	if end := w.load.Length/3 + w.load.Stall; w.load.Stall > 0 && w.clock.Elapsed() >= w.load.Length/3 && w.clock.Elapsed() < end {
		w.leave()
		w.clock.After(idlePause, w.begin)
		return
	}
	w.leave()
	busiest, mean := w.admit()
	if busiest == 0 {
		w.clock.After(idlePause, w.begin)
		return
	}
	w.step++
	w.planner.switchOver()
	skew := w.skew()
	ms := float64(w.site.StepsPerEvent)*stepMS + (1-expertShare)*busiest + expertShare*mean*skew
	w.pass = time.Duration(ms * float64(time.Millisecond))
	w.result.pass(skew, w.pass > w.site.GapTarget)
	w.clock.After(w.pass, func() {
		w.deliver()
		w.begin()
	})
}

// leave lets callers go that have got nothing for too long.
func (w *world) leave() {
	now := w.clock.Now()
	for _, e := range w.engines {
		keep := func(list []*stream) []*stream {
			kept := list[:0]
			for _, s := range list {
				if now.Sub(s.last) <= leaveTime {
					kept = append(kept, s)
					continue
				}
				s.counted.left++
				w.entries[s.entry].End(now, w.servers[s.engine].ID, int(w.site.PromptTokens), balance.Result{})
			}
			return kept
		}
		e.waiting, e.running = keep(e.waiting), keep(e.running)
	}
}

// admit gives free slots to waiting streams and returns the time that a rank's tokens
// take in the pass, in ms, at the busiest rank and in the mean; 0 where there is no
// work.
func (w *world) admit() (busiest, mean float64) {
	for _, e := range w.engines {
		for len(e.waiting) > 0 && len(e.running) < w.site.Slots {
			e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
		}
		if len(e.running) == 0 {
			continue
		}
		reads := 0.0
		for _, s := range e.running {
			part := min(s.unread, float64(chunk*w.site.StepsPerEvent)-reads)
			s.unread -= part
			reads += part
		}
		work := float64(w.site.StepsPerEvent)*w.site.StepMSPerStream*float64(len(e.running)) + reads/readPerMS
		busiest = max(busiest, work)
		mean += work / float64(len(w.engines))
	}
	return busiest, mean
}

// skew returns the load of the most loaded rank in this pass, as a multiple of the
// mean over the sets, and lets the ranks count their choices.
func (w *world) skew() float64 {
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
				w.demand.add(sums[set][0], topic, set, n)
			}
		}
	}
	w.planner.count()
	return evenplan.Skew(w.present, sums)
}

// deliver gives every stream whose prompt is read an event.
func (w *world) deliver() {
	now := w.clock.Now()
	for _, e := range w.engines {
		kept := e.running[:0]
		for _, s := range e.running {
			if s.unread > 0 {
				kept = append(kept, s)
				continue
			}
			w.event(s, now)
			if s.events < w.site.EventsPerStream {
				kept = append(kept, s)
			}
		}
		e.running = kept
	}
}

func (w *world) event(s *stream, now time.Time) {
	b, id := w.entries[s.entry], w.servers[s.engine].ID
	if s.events == 0 {
		b.ResponseStarted(now, id, s.began)
		first := now.Sub(s.arrived) + firstTime
		w.result.first(first)
		s.late = first > w.site.FirstEventTarget
	} else if now.Sub(s.last) > w.site.GapTarget {
		s.late = true
	}
	s.events++
	s.last = now
	if s.events < w.site.EventsPerStream {
		return
	}
	b.End(now, id, int(w.site.PromptTokens), balance.Result{Latency: now.Sub(s.began), Duration: now.Sub(s.began)})
	if s.late {
		s.counted.late++
	} else {
		s.counted.inAim++
	}
}

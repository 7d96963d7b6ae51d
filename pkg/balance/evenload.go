package balance

import (
	"math"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

const (
	// maxCountingEntries is the largest number of other entries that tell each other their requests
	// in flight. In larger fleets an entry knows an engine's load only from the planner's reports.
	maxCountingEntries = 11
	// defaultReportAge is the assumed age of an engine's load on arrival if the report does not state
	// it: a round of the planner.
	defaultReportAge = 100 * time.Millisecond
	// predictionLifetime is how long the load of a service's engines is predicted without a report.
	// Beyond it the requests of a burst, or its end, may have changed the load several times.
	predictionLifetime = 5 * time.Second
	// horizon is the time whose requests are spread at once. Shorter ones send all entries to the
	// few engines that were free when the planner read them, longer ones also use the busy engines.
	horizon = 200 * time.Millisecond
	// historyTick is the resolution of an engine's history, and historyTicks its length: older reports
	// are not used.
	historyTick  = 25 * time.Millisecond
	historyTicks = int64(reportLifetime/historyTick) + 4
	// stratumTime is how long the draws of an entry stay apart from each other: the interval of the
	// planner's reports.
	stratumTime = 100 * time.Millisecond
	// stratumStep spreads the successive draws of an entry: multiples of the golden ratio are never
	// close to each other.
	stratumStep = 0.6180339887
)

// prediction is the expected number of requests of other entries at an engine.
type prediction struct {
	others float64
	// history holds the expected requests of all entries at the multiples of historyTick.
	history [historyTicks]float32
}

// evenLoad predicts the load of the engines of a service from reports that are older than the
// interval at which an engine gets new requests. All entries use the same reports and the same rule, so each
// knows how the others will spread their requests.
type evenLoad struct {
	engine *fleet.Engine
	// origin is the time of tick 0.
	origin time.Time
	// since is when the prediction began, at is the time up to which it was advanced, and reportAt is
	// when the last report arrived.
	since, at, reportAt time.Time
	// stratumAt is when the current stratumTime began, and draws the number of draws since.
	stratumAt time.Time
	draws     int
	// use counts since the last TakePredictionUse.
	use PredictionUse
	// costs is kept to avoid an allocation for each choice.
	costs []float64
}

// PredictionUse counts the use of the predicted loads of a service's engines.
type PredictionUse struct {
	// Active is true if the last request was spread by the predicted load.
	Active bool
	// Chosen is the number of requests whose engine was chosen by the predicted load.
	Chosen int
	// Reported is the number of loads that reports corrected, and Missed the sum of their differences to the
	// prediction, in requests.
	Reported int
	Missed   float64
}

// TakePredictionUse returns the use by service since the last call.
func (b *Balancer) TakePredictionUse() map[string]PredictionUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	uses := make(map[string]PredictionUse, len(b.evenLoads))
	for service, e := range b.evenLoads {
		uses[service], e.use = e.use, PredictionUse{Active: e.use.Active}
	}
	return uses
}

// usesPrediction reports whether the engines of a service are chosen by their predicted load, and advances
// the prediction to now. b.mu is held.
func (b *Balancer) usesPrediction(now time.Time, service *fleet.Service) bool {
	e := b.evenLoads[service.Name]
	if e == nil || service.Engine == nil {
		return false
	}
	e.use.Active = b.predicts(now, e)
	if !e.use.Active {
		return false
	}
	e.engine = service.Engine
	b.advancePrediction(now, service.Name, e)
	return true
}

// predicts reports whether the loads of a service's engines are known well enough to predict them.
func (b *Balancer) predicts(now time.Time, e *evenLoad) bool {
	return b.limits.Entries() > maxCountingEntries+1 && now.Sub(e.reportAt) <= predictionLifetime
}

// chooseEven draws one of the engines: each with the share of the requests of the horizon that raises the
// cheapest ones to the same cost. The draws of the entries are spread over that distribution, so that entries
// that choose at the same time choose different engines. b.mu is held.
func (b *Balancer) chooseEven(now time.Time, service *fleet.Service, candidates []*server, random func() float64) (fleet.Server, bool) {
	if len(candidates) == 0 {
		return fleet.Server{}, false
	}
	e := b.evenLoads[service.Name]
	count := max(b.completionRate(service.Name, e)*horizon.Seconds(), 1)
	level := b.fillLevel(now, e, candidates, count)
	if now.Sub(e.stratumAt) >= stratumTime {
		e.stratumAt, e.draws = now, 0
	}
	e.use.Chosen++
	position, entries := b.limits.Position()
	_, draw := math.Modf((float64(position)+random())/float64(entries) + float64(e.draws)*stratumStep)
	e.draws++
	left := draw * count
	last := 0
	for i, cost := range e.costs {
		if cost >= level {
			continue
		}
		last = i
		if left -= level - cost; left < 0 {
			break
		}
	}
	return candidates[last].Server, true
}

// fillLevel sets the costs of the servers and returns the level to which count requests raise the cheapest of
// them. b.mu is held.
func (b *Balancer) fillLevel(now time.Time, e *evenLoad, list []*server, count float64) float64 {
	e.costs = e.costs[:0]
	sum := count
	for _, s := range list {
		cost := s.engineCost(now, e.engine, s.predicted(), 0) + s.penalty(now)
		if b.unresponsive(now, s) {
			cost += 2 * failureCost
		}
		e.costs = append(e.costs, cost)
		sum += cost
	}
	level := sum / float64(len(list))
	for below := len(list); ; {
		sum, n := count, 0
		for _, cost := range e.costs {
			if cost < level {
				sum += cost
				n++
			}
		}
		if n == below || n == 0 {
			return level
		}
		level, below = sum/float64(n), n
	}
}

// predicted returns the expected number of requests at an engine.
func (s *server) predicted() float64 { return float64(s.ownLoad.Requests) + s.prediction.others }

// completionRate returns the number of requests per second that the engines of a service are expected to
// complete. In steady load it is the rate at which requests arrive. b.mu is held.
func (b *Balancer) completionRate(service string, e *evenLoad) float64 {
	running := 0.0
	slots := float64(e.engine.Slots)
	for _, s := range b.services[service] {
		running += min(s.predicted(), slots)
	}
	return running / b.streamTime(service).Seconds()
}

// streamTime returns the mean duration of a response. b.mu is held.
func (b *Balancer) streamTime(service string) time.Duration {
	if mean := b.meanStreamTime[service]; mean > 0 {
		return mean
	}
	return defaultStreamTime
}

// advancePrediction adds the expected changes until now: the requests of other entries that end, and those
// that other entries are expected to send. b.mu is held.
func (b *Balancer) advancePrediction(now time.Time, service string, e *evenLoad) {
	elapsed := now.Sub(e.at)
	if elapsed < historyTick/2 {
		return
	}
	elapsed = min(elapsed, predictionLifetime)
	members := b.services[service]
	from, to := e.ticks(e.at), e.ticks(now)
	e.at = now
	if len(members) == 0 {
		return
	}
	rate := b.completionRate(service, e)
	count := max(rate*max(horizon, elapsed).Seconds(), 1)
	level := b.fillLevel(now, e, members, count)
	entries := float64(b.limits.Entries())
	sent := rate * elapsed.Seconds() * (entries - 1) / entries / count
	slots, streamTime := float64(e.engine.Slots), b.streamTime(service)
	first := max(from+1, to-historyTicks+1)
	for i, s := range members {
		before := s.predicted()
		running := min(1, slots/max(before, 1))
		s.prediction.others /= 1 + running*float64(elapsed)/float64(streamTime)
		s.prediction.others += sent * max(level-e.costs[i], 0)
		change := s.predicted() - before
		for t := first; t <= to; t++ {
			s.prediction.history[t%historyTicks] = float32(before + change*float64(t-from)/float64(max(to-from, 1)))
		}
	}
}

// ticks returns the number of historyTick from the origin to t. It uses the steady clock: the time of day may jump.
func (e *evenLoad) ticks(t time.Time) int64 { return int64(t.Sub(e.origin) / historyTick) }

// at returns the expected requests of all entries at a time in ticks, of which last is the newest one.
func (p *prediction) at(ticks float64, last int64) float64 {
	before, after := int64(ticks), min(int64(ticks)+1, last)
	fraction := ticks - float64(before)
	return (1-fraction)*float64(p.history[before%historyTicks]) + fraction*float64(p.history[after%historyTicks])
}

// beginReport prepares the prediction for a report of a service's engines. b.mu is held.
func (b *Balancer) beginReport(now time.Time, service string) {
	e := b.evenLoads[service]
	if e == nil {
		e = &evenLoad{origin: now, since: now, at: now}
		b.evenLoads[service] = e
	}
	if e.engine != nil && now.Sub(e.reportAt) <= predictionLifetime {
		b.advancePrediction(now, service, e)
	} else {
		e.since, e.at = now, now
	}
	e.reportAt = now
}

// correct corrects the prediction of an engine by a report. What the prediction missed at the time of the
// report has partly ended since. b.mu is held.
func (b *Balancer) correct(now time.Time, s *server, load EngineLoad) {
	e := b.evenLoads[s.Service]
	age := load.Age
	if age <= 0 {
		age = defaultReportAge
	}
	readAt := now.Add(-age)
	reported := float64(load.Running + load.Waiting)
	if readAt.Before(e.since) || e.ticks(now)-e.ticks(readAt) >= historyTicks {
		s.prediction.others = max(reported-float64(s.ownLoad.Requests), 0)
		return
	}
	first, last := e.ticks(readAt), e.ticks(now)
	missed := reported - s.prediction.at(float64(readAt.Sub(e.origin))/float64(historyTick), last)
	e.use.Reported++
	e.use.Missed += math.Abs(missed)
	streamTime := float64(b.streamTime(s.Service))
	for t := first; t <= last; t++ {
		since := float64(t-first) * float64(historyTick)
		s.prediction.history[t%historyTicks] += float32(missed / (1 + since/streamTime))
	}
	s.prediction.others = max(s.prediction.others+missed/(1+float64(age)/streamTime), 0)
}

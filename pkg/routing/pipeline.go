package routing

import (
	"slices"
	"time"
)

// Filter removes candidates. It must keep at least one.
type Filter interface {
	Keep(v *View, candidates []*Replica) []*Replica
}

// Scorer returns the cost of a candidate in milliseconds of expected time to first token. The costs
// of all scorers are added.
type Scorer interface {
	Cost(v *View, r *Replica) float64
}

// Picker chooses one of the candidates, of which there is at least one.
type Picker interface {
	Pick(v *View, candidates []*Replica, cost func(*Replica) float64, random uint64) *Replica
}

// Pipeline is a Selector composed of filters, scorers and a picker.
type Pipeline struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// Select implements Selector.
func (p *Pipeline) Select(now time.Time, request Request, replicas []Replica, random uint64) (Replica, bool) {
	candidates := eligible(request, replicas)
	if len(candidates) == 0 {
		return Replica{}, false
	}
	v := newView(now, request, candidates)
	for _, f := range p.Filters {
		candidates = f.Keep(v, candidates)
	}
	v.findPrefixOwners(candidates)
	cost := func(r *Replica) float64 {
		total := 0.0
		for _, s := range p.Scorers {
			total += s.Cost(v, r)
		}
		return total
	}
	return *p.Picker.Pick(v, candidates, cost, random), true
}

// View is the data of one request and its candidates that filters and scorers use.
type View struct {
	Now     time.Time
	Request Request
	// MedianStepMS is the median step time, in milliseconds, of the candidates that report one.
	MedianStepMS float64
	// meanOtherRequests is the mean number of requests of other entries at a candidate.
	meanOtherRequests float64
	// prefixOwners are the two candidates most likely to have the request's prefix cached, best
	// first.
	prefixOwners [2]*Replica
}

// defaultStepMS is the step time if no candidate reports one.
const defaultStepMS = 25

// loadHalfLife is the age at which a load report has half its weight. The mean of the candidates
// has the remaining weight.
const loadHalfLife = 4 * time.Second

func newView(now time.Time, request Request, candidates []*Replica) *View {
	v := &View{Now: now, Request: request, MedianStepMS: defaultStepMS}
	steps := make([]float64, 0, len(candidates))
	for _, r := range candidates {
		v.meanOtherRequests += otherRequests(r) / float64(len(candidates))
		if r.Load.StepMS > 0 {
			steps = append(steps, r.Load.StepMS)
		}
	}
	if len(steps) > 0 {
		slices.Sort(steps)
		v.MedianStepMS = steps[len(steps)/2]
	}
	return v
}

// Requests estimates the number of requests at a replica: those of this entry, plus those of other
// entries from the last report, weighted by its age.
func (v *View) Requests(r *Replica) float64 {
	fresh := v.freshness(r)
	return float64(r.InFlight) + fresh*otherRequests(r) + (1-fresh)*v.meanOtherRequests
}

// normalStepRatio is the multiple of the median step time up to which a step time counts as normal.
// Single steps vary with the prompts that they process.
const normalStepRatio = 2

// StepMS returns the step time of a replica in milliseconds. If it is unknown or within the normal
// range, it returns the median of the candidates.
func (v *View) StepMS(r *Replica) float64 {
	if r.Load.StepMS <= normalStepRatio*v.MedianStepMS {
		return v.MedianStepMS
	}
	return r.Load.StepMS
}

// freshness returns the weight of a replica's load report: 1 for a new report, falling with its
// age, and 0 if there is none.
func (v *View) freshness(r *Replica) float64 {
	if r.LoadAt.IsZero() {
		return 0
	}
	age := max(0, v.Now.Sub(r.LoadAt))
	return float64(loadHalfLife) / float64(loadHalfLife+age)
}

func otherRequests(r *Replica) float64 {
	return float64(max(0, r.Load.Running+r.Load.Waiting-r.InFlightAtLoad))
}

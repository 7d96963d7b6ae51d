package routing

import (
	"slices"
	"time"
)

// Filter takes candidates out. It must leave at least one.
type Filter interface {
	Keep(v *View, candidates []*Replica) []*Replica
}

// Scorer gives a candidate a cost in milliseconds of expected time to the
// first token. Costs of several scorers are added.
type Scorer interface {
	Cost(v *View, r *Replica) float64
}

// Picker chooses one of the candidates, of which there is at least one.
type Picker interface {
	Pick(v *View, candidates []*Replica, cost func(*Replica) float64, random uint64) *Replica
}

// Pipeline is a Selector made of filters, scorers and a picker.
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
	v.findOwners(candidates)
	cost := func(r *Replica) float64 {
		total := 0.0
		for _, s := range p.Scorers {
			total += s.Cost(v, r)
		}
		return total
	}
	return *p.Picker.Pick(v, candidates, cost, random), true
}

// View is what filters and scorers see of one request and its candidates.
type View struct {
	Now     time.Time
	Request Request
	// MedianStepMS is the median step time of the candidates that report one,
	// in milliseconds.
	MedianStepMS float64
	// meanOthers is the mean number of requests of other entries at a
	// candidate.
	meanOthers float64
	// owners are the candidates that should hold the request's prefix, best
	// first.
	owners [2]*Replica
}

// assumedStepMS stands for the step time where no candidate reports one.
const assumedStepMS = 25

// loadHalfLife is the age at which a load report counts half; the rest is
// taken from the mean of the candidates.
const loadHalfLife = 4 * time.Second

func newView(now time.Time, request Request, candidates []*Replica) *View {
	v := &View{Now: now, Request: request, MedianStepMS: assumedStepMS}
	steps := make([]float64, 0, len(candidates))
	for _, r := range candidates {
		v.meanOthers += reportedOthers(r) / float64(len(candidates))
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

// Requests estimates the requests at a replica: those of this entry, and those
// of the other entries from the last report, discounted by its age.
func (v *View) Requests(r *Replica) float64 {
	fresh := v.freshness(r)
	return float64(r.InFlight) + fresh*reportedOthers(r) + (1-fresh)*v.meanOthers
}

// ordinaryStepRatio is the multiple of the median up to which a step time is
// taken for the median: single steps differ by the prompts that they process.
const ordinaryStepRatio = 2

// StepMS returns the step time of a replica in milliseconds. Where it is not
// known, or is an ordinary one, the median of the candidates stands for it.
func (v *View) StepMS(r *Replica) float64 {
	if r.Load.StepMS <= ordinaryStepRatio*v.MedianStepMS {
		return v.MedianStepMS
	}
	return r.Load.StepMS
}

// freshness falls from 1 for a report of now to 0 for none.
func (v *View) freshness(r *Replica) float64 {
	if r.LoadAt.IsZero() {
		return 0
	}
	age := max(0, v.Now.Sub(r.LoadAt))
	return float64(loadHalfLife) / float64(loadHalfLife+age)
}

func reportedOthers(r *Replica) float64 {
	return float64(max(0, r.Load.Running+r.Load.Waiting-r.InFlightAtLoad))
}

package group

import (
	"math"
	"math/rand/v2"
)

// demand is which experts prompts choose: by topic, set and expert, as shares.
type demand struct {
	random *rand.Rand
	site   Site
	// all is what every prompt chooses, own what the prompts of a topic choose.
	all [][]float64
	own [][][]float64
}

func newDemand(random *rand.Rand, s Site) *demand {
	d := &demand{random: random, site: s, all: make([][]float64, s.Sets), own: make([][][]float64, topics)}
	for set := range d.all {
		d.all[set] = d.vector()
	}
	for t := range d.own {
		d.own[t] = make([][]float64, s.Sets)
		for set := range d.own[t] {
			d.own[t][set] = d.vector()
		}
	}
	return d
}

// vector draws the popularity of the experts of one set: a heavy tail.
func (d *demand) vector() []float64 {
	v := make([]float64, d.site.Experts)
	sum := 0.0
	for e := range v {
		v[e] = 1 / math.Pow(float64(e+1), d.site.PopularityExponent)
		sum += v[e]
	}
	for e := range v {
		v[e] /= sum
	}
	d.random.Shuffle(len(v), func(i, j int) { v[i], v[j] = v[j], v[i] })
	return v
}

// shifted returns the demand after a shift: other experts in a share of the sets.
func (d *demand) shifted() *demand {
	next := newDemand(d.random, d.site)
	for set := range d.all {
		if d.random.Float64() < shiftShare {
			continue
		}
		next.all[set] = d.all[set]
		for t := range d.own {
			next.own[t][set] = d.own[t][set]
		}
	}
	return next
}

// blend is a demand on its way to the next one.
type blend struct {
	from, to *demand
	// part of the way; 1 for none left.
	part float64
}

// add adds what a number of streams of a topic choose in one set.
func (b blend) add(into []float64, topic, set int, streams float64) {
	for _, end := range []struct {
		demand *demand
		weight float64
	}{{b.from, 1 - b.part}, {b.to, b.part}} {
		if end.weight == 0 {
			continue
		}
		all, own := end.demand.all[set], end.demand.own[topic][set]
		for e := range into {
			into[e] += streams * end.weight * (common*all[e] + (1-common)*own[e])
		}
	}
}

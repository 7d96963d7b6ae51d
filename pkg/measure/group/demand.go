package group

import (
	"math"
	"math/rand/v2"
)

// demand is the popularity of experts, as shares by set and expert.
type demand struct {
	random *rand.Rand
	site   Site
	// shared is the popularity that all prompts have in common, byTopic the popularity that is
	// specific to the prompts of each topic.
	shared  [][]float64
	byTopic [][][]float64
}

func newDemand(random *rand.Rand, s Site) *demand {
	d := &demand{random: random, site: s, shared: make([][]float64, s.Sets), byTopic: make([][][]float64, topics)}
	for set := range d.shared {
		d.shared[set] = d.randomPopularity()
	}
	for t := range d.byTopic {
		d.byTopic[t] = make([][]float64, s.Sets)
		for set := range d.byTopic[t] {
			d.byTopic[t][set] = d.randomPopularity()
		}
	}
	return d
}

// randomPopularity returns a heavy-tailed popularity of the experts of one set, in random order.
func (d *demand) randomPopularity() []float64 {
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

// shifted returns the demand after a shift, which changes the popularity in about the shiftShare of
// the sets.
func (d *demand) shifted() *demand {
	next := newDemand(d.random, d.site)
	for set := range d.shared {
		if d.random.Float64() < shiftShare {
			continue
		}
		next.shared[set] = d.shared[set]
		for t := range d.byTopic {
			next.byTopic[t][set] = d.byTopic[t][set]
		}
	}
	return next
}

// demandBlend is a gradual change from one demand to another.
type demandBlend struct {
	from, to *demand
	// progress is the share of the change that is complete, from 0 to 1.
	progress float64
}

// addChoices adds the expert choices of a number of streams of a topic in one set to sums.
func (b demandBlend) addChoices(sums []float64, topic, set int, streams float64) {
	for _, end := range []struct {
		demand *demand
		weight float64
	}{{b.from, 1 - b.progress}, {b.to, b.progress}} {
		if end.weight == 0 {
			continue
		}
		shared, byTopic := end.demand.shared[set], end.demand.byTopic[topic][set]
		for e := range sums {
			sums[e] += streams * end.weight * (sharedChoiceShare*shared[e] + (1-sharedChoiceShare)*byTopic[e])
		}
	}
}

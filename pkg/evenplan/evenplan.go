// Package evenplan places experts on the ranks of a group whose copies share an
// expert's tokens evenly. It starts from the present map and makes the moves
// that bring most. It holds no I/O and no clock.
package evenplan

import (
	"cmp"
	"math"
	"slices"
)

// Limits size a map.
type Limits struct {
	// Places is the number of experts of one set that a rank holds at most.
	Places int
	// Spare is the number of experts of one set that may be new on a rank in one
	// change.
	Spare int
	// Slowdown is how many times as long as usual each rank takes; nil where all are alike.
	Slowdown []float64
	// MinCopyGain is the part of a set's mean load by which one copied expert has to
	// lower the load of its most loaded rank.
	MinCopyGain float64
}

// Plan is a new map.
type Plan struct {
	// Sets lists the experts of each rank by set.
	Sets [][][]int
	// Copies is the number of experts that have to be copied.
	Copies int
	// Before and After are the loads of the most loaded ranks, summed over the
	// sets, as multiples of the mean; a slow rank's load counts by its pace.
	Before, After float64
}

// Uniform assigns experts in turn, as a group does when it forms.
func Uniform(sets, experts, ranks int) [][][]int {
	out := make([][][]int, sets)
	for s := range out {
		out[s] = make([][]int, ranks)
		for e := range experts {
			out[s][e%ranks] = append(out[s][e%ranks], e)
		}
	}
	return out
}

// Demand is the load of each expert of one set in a number of samples, in any
// one unit. A pass carries few requests, so that what they like comes together:
// samples that hold few requests each tell what has to be kept apart.
type Demand [][]float64

// Skew returns the mean over the samples of the most loaded rank's load, summed
// over the sets, as a multiple of the mean load.
func Skew(sets [][][]int, demand []Demand) float64 {
	sum := 0.0
	for s, ranks := range sets {
		sum += newState(ranks, demand[s], Limits{}).skew()
	}
	return sum / float64(max(len(sets), 1))
}

// Make returns a better map than the present one for the demand of each set.
func Make(l Limits, present [][][]int, demand []Demand) Plan {
	plan := Plan{Sets: make([][][]int, len(present))}
	sets := float64(max(len(present), 1))
	for s, ranks := range present {
		st := newState(ranks, demand[s], l)
		before := st.skew()
		copies := st.improve()
		if st.skew() > before {
			// The moves lower a norm of the loads, which may raise the largest one.
			st, copies = newState(ranks, demand[s], l), 0
		}
		plan.Before += before / sets
		plan.Copies += copies
		plan.After += st.skew() / sets
		plan.Sets[s] = st.experts()
	}
	return plan
}

// state is one set while it is planned.
type state struct {
	limits Limits
	// demand holds each sample as multiples of the mean load of a rank.
	demand Demand
	// holds[r] lists the experts of rank r; copies counts an expert's ranks.
	holds  [][]int
	has    [][]bool
	was    [][]bool
	copies []int
	// on lists the ranks of an expert.
	on [][]int
	// load is the load of each rank by sample; total sums it over the samples.
	load  [][]float64
	total []float64
	// power holds the eighth powers of load, and eighth their sums over the ranks.
	power  [][]float64
	eighth []float64
	fresh  []int
	trial  trial
}

func newState(ranks [][]int, demand Demand, l Limits) *state {
	experts := len(demand[0])
	st := &state{
		limits: l, copies: make([]int, experts), on: make([][]int, experts),
		total: make([]float64, len(ranks)), fresh: make([]int, len(ranks)),
	}
	for _, sample := range demand {
		if scaled := multiples(sample, len(ranks)); scaled != nil {
			st.demand = append(st.demand, scaled)
			st.load = append(st.load, make([]float64, len(ranks)))
			st.power = append(st.power, make([]float64, len(ranks)))
			st.eighth = append(st.eighth, 0)
		}
	}
	for r, held := range ranks {
		st.holds = append(st.holds, slices.Clone(held))
		st.has = append(st.has, make([]bool, experts))
		for _, e := range held {
			st.has[r][e] = true
			st.copies[e]++
			st.on[e] = append(st.on[e], r)
		}
		st.was = append(st.was, slices.Clone(st.has[r]))
	}
	for e := range experts {
		for _, r := range st.on[e] {
			st.add(r, e, 1/float64(st.copies[e]))
		}
	}
	st.trial.slot = make([]int, len(ranks))
	st.sumUp()
	return st
}

// multiples scales a sample so that the mean load of a rank is 1; nil where it
// is empty.
func multiples(sample []float64, ranks int) []float64 {
	sum := 0.0
	for _, d := range sample {
		sum += d
	}
	if sum <= 0 {
		return nil
	}
	scaled := make([]float64, len(sample))
	for e, d := range sample {
		scaled[e] = d * float64(ranks) / sum
	}
	return scaled
}

// pace returns how many times as long as usual a rank takes.
func (l Limits) pace(rank int) float64 {
	if rank >= len(l.Slowdown) || l.Slowdown[rank] < 1 {
		return 1
	}
	return l.Slowdown[rank]
}

// add puts a part of an expert's demand on a rank: what counts is the time it takes there.
func (st *state) add(r, e int, part float64) {
	part *= st.limits.pace(r)
	for k, sample := range st.demand {
		st.load[k][r] += sample[e] * part
		st.total[r] += sample[e] * part
	}
}

// skew returns the mean over the samples of the most loaded rank's load.
func (st *state) skew() float64 {
	if len(st.load) == 0 {
		return 1
	}
	sum := 0.0
	for _, load := range st.load {
		sum += slices.Max(load)
	}
	return sum / float64(len(st.load))
}

// experts returns the map of the set.
func (st *state) experts() [][]int {
	out := make([][]int, len(st.holds))
	for r, experts := range st.holds {
		out[r] = slices.Sorted(slices.Values(experts))
	}
	return out
}

func eighthPower(v float64) float64 {
	v *= v
	v *= v
	return v * v
}

// sumUp computes the powers of the loads.
func (st *state) sumUp() {
	for k, load := range st.load {
		st.eighth[k] = 0
		for r, l := range load {
			st.power[k][r] = eighthPower(l)
			st.eighth[k] += st.power[k][r]
		}
	}
}

// potential is the mean over the samples of the 8-norm of the loads: it stands
// for the load of the most loaded rank and still tells apart what else improves.
func (st *state) potential() float64 {
	total := 0.0
	for _, sum := range st.eighth {
		total += eighthRoot(sum)
	}
	return total / float64(len(st.eighth))
}

func eighthRoot(v float64) float64 { return math.Sqrt(math.Sqrt(math.Sqrt(max(v, 0)))) }

// move replaces expert out on a rank by expert in; -1 stands for none.
type move struct {
	rank, in, out int
	// also replaces an expert on a second rank; nil for none.
	also *move
}

// improve makes moves as long as they pay and returns the number of experts
// that have to be copied.
func (st *state) improve() int {
	if len(st.load) == 0 {
		return 0
	}
	at := st.potential()
	for range st.copies {
		m, next, ok := st.best(at)
		if !ok {
			break
		}
		st.apply(m)
		st.sumUp()
		at = next
	}
	copied := 0
	for r := range st.holds {
		for _, e := range st.holds[r] {
			if !st.was[r][e] {
				copied++
			}
		}
	}
	return copied
}

// best returns the move with the most gain for each copied expert.
func (st *state) best(at float64) (move, float64, bool) {
	var best move
	bestValue, bestAt, found := 0.0, at, false
	try := func(m move) {
		cost := st.cost(m)
		if cost < 0 {
			return
		}
		next := st.after(m)
		value := (at - next) - st.limits.MinCopyGain*float64(cost)
		if value > 1e-4 && (!found || value > bestValue) {
			best, bestValue, bestAt, found = m, value, next, true
		}
	}
	light := st.light()
	for _, heavy := range st.heavy() {
		for _, e := range st.holds[heavy] {
			st.tryExpert(heavy, e, light, try)
		}
	}
	return best, bestAt, found
}

// heavy returns the ranks whose load is worth lowering: the most loaded one in
// all, the one that is the most loaded in most samples, and the one with the
// largest load in any sample.
func (st *state) heavy() []int {
	wins := make([]float64, len(st.total))
	peaks := make([]float64, len(st.total))
	for _, load := range st.load {
		wins[largest(load)]++
		for r, l := range load {
			peaks[r] = max(peaks[r], l)
		}
	}
	ranks := []int{largest(st.total), largest(wins), largest(peaks)}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// largest returns the index of the largest value.
func largest(values []float64) int {
	most := 0
	for i, v := range values {
		if v > values[most] {
			most = i
		}
	}
	return most
}

// maxTargets bounds the ranks that a load is moved to in the search: with 12 a plan
// for 63 ranks takes twice the time and is no better (BenchmarkMake).
const maxTargets = 6

// light returns the least loaded ranks.
func (st *state) light() []int {
	ranks := make([]int, len(st.total))
	for r := range ranks {
		ranks[r] = r
	}
	slices.SortFunc(ranks, func(a, b int) int { return cmp.Compare(st.total[a], st.total[b]) })
	return ranks[:min(len(ranks), maxTargets)]
}

// tryExpert tries the moves that take load of one expert off a rank.
func (st *state) tryExpert(heavy, e int, light []int, try func(move)) {
	if st.copies[e] > 1 {
		try(move{rank: heavy, in: -1, out: e})
	}
	for _, r := range light {
		if r == heavy || st.has[r][e] {
			continue
		}
		if len(st.holds[r]) < st.limits.Places {
			try(move{rank: r, in: e, out: -1})
			try(move{rank: r, in: e, out: -1, also: &move{rank: heavy, in: -1, out: e}})
		}
		for _, x := range st.holds[r] {
			if st.copies[x] > 1 {
				try(move{rank: r, in: e, out: x})
			}
			if !st.has[heavy][x] {
				try(move{rank: r, in: e, out: x, also: &move{rank: heavy, in: x, out: e}})
			}
		}
	}
}

// cost returns the number of experts that a move copies, less what it spares;
// -1 where the limits forbid it, or where a rank would hold nothing.
func (st *state) cost(m move) int {
	cost := 0
	for step := &m; step != nil; step = step.also {
		if step.in < 0 && len(st.holds[step.rank]) == 1 {
			return -1
		}
		if step.in >= 0 && !st.was[step.rank][step.in] {
			if st.fresh[step.rank] >= st.limits.Spare {
				return -1
			}
			cost++
		}
	}
	return cost
}

func (st *state) apply(m move) {
	for step := &m; step != nil; step = step.also {
		if step.in >= 0 {
			st.put(step.rank, step.in)
		}
		if step.out >= 0 {
			st.take(step.rank, step.out)
		}
	}
}

func (st *state) put(r, e int) {
	st.reshare(e, st.copies[e]+1)
	st.holds[r] = append(st.holds[r], e)
	st.has[r][e] = true
	st.on[e] = append(st.on[e], r)
	st.add(r, e, 1/float64(st.copies[e]))
	if !st.was[r][e] {
		st.fresh[r]++
	}
}

func (st *state) take(r, e int) {
	st.add(r, e, -1/float64(st.copies[e]))
	st.holds[r] = without(st.holds[r], e)
	st.on[e] = without(st.on[e], r)
	st.has[r][e] = false
	if !st.was[r][e] {
		st.fresh[r]--
	}
	st.reshare(e, st.copies[e]-1)
}

// without drops a value from a list whose order does not matter.
func without(list []int, v int) []int {
	last := len(list) - 1
	list[slices.Index(list, v)] = list[last]
	return list[:last]
}

// reshare changes the number of an expert's copies and the loads of the ranks
// that hold it.
func (st *state) reshare(e, copies int) {
	before, after := 0.0, 0.0
	if st.copies[e] > 0 {
		before = 1 / float64(st.copies[e])
	}
	if copies > 0 {
		after = 1 / float64(copies)
	}
	st.copies[e] = copies
	for _, r := range st.on[e] {
		st.add(r, e, after-before)
	}
}

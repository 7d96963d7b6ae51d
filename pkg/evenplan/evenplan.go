// Package evenplan places experts on the ranks of a group whose copies share an expert's tokens
// evenly. It starts from the present map and greedily makes the moves with the most gain. It does
// no I/O and reads no clock.
package evenplan

import (
	"cmp"
	"math"
	"slices"
)

// Limits bound a new map.
type Limits struct {
	// Places is the maximum number of experts of one set on a rank.
	Places int
	// Spare is the maximum number of experts of one set that one change may add to a rank.
	Spare int
	// RankCopies is the maximum number of experts that one change may add to a rank, summed over the
	// sets; 0 means no such limit. Only MakeStaged applies it.
	RankCopies int
	// NoCopies marks the ranks that cannot copy experts at present; nil if there is none.
	NoCopies []bool
	// Slowdown is how many times as long as usual each rank takes; nil if no rank is slow.
	Slowdown []float64
	// MinCopyGain is the least reduction of the load of a set's most loaded rank for each copied
	// expert, as a fraction of the mean load.
	MinCopyGain float64
}

// Plan is a new map.
type Plan struct {
	// Sets lists the experts of each rank by set.
	Sets [][][]int
	// Copies is the number of experts that must be copied, RankCopies that of the busiest rank.
	Copies, RankCopies int
	// Stages is the number of stages in which the whole change is best made, this one included.
	Stages int
	// Before and After are the loads of the most loaded ranks with the present map and with the new
	// one, averaged over the sets, as multiples of the mean load. The load of a slow rank is
	// multiplied by its slowdown.
	Before, After float64
	// Whole is the load After would be if the whole change were made at once.
	Whole float64
}

// Uniform assigns the experts to the ranks round-robin, as a group does when it forms.
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

// Demand is the load of each expert of one set in several samples, in any unit that is the same for
// all. A pass carries few requests, and each of them prefers certain experts. Samples of few
// requests therefore show which experts are in demand together and should be on different ranks.
type Demand [][]float64

// Skew returns the most loaded rank's load as a multiple of the mean load, averaged over the
// samples and the sets.
func Skew(sets [][][]int, demand []Demand) float64 {
	sum := 0.0
	for s, ranks := range sets {
		sum += newState(ranks, demand[s], Limits{}).skew()
	}
	return sum / float64(max(len(sets), 1))
}

// Make returns a better map than the present one for the demand of each set, or the present map if
// it finds none.
func Make(l Limits, present [][][]int, demand []Demand) Plan {
	plan := Plan{Sets: make([][][]int, len(present)), Stages: 1}
	sets := float64(max(len(present), 1))
	var copied []int
	for s, ranks := range present {
		st := newState(ranks, demand[s], l)
		before := st.skew()
		copies := st.improve()
		if st.skew() > before {
			// The moves lower a norm of the loads, but may raise the largest load.
			st, copies = newState(ranks, demand[s], l), 0
		}
		if copied == nil {
			copied = make([]int, len(ranks))
		}
		for r, n := range st.added {
			copied[r] += n
			plan.RankCopies = max(plan.RankCopies, copied[r])
		}
		plan.Before += before / sets
		plan.Copies += copies
		plan.After += st.skew() / sets
		plan.Sets[s] = st.sortedExperts()
	}
	plan.Whole = plan.After
	return plan
}

// state is the working state of the plan of one set.
type state struct {
	limits Limits
	// demand holds the samples, scaled so that the mean load of a rank is 1.
	demand Demand
	// holds[r] lists the experts of rank r, onRank[r] marks them, and initial[r] marks those of the
	// present map. copies counts the ranks of each expert.
	holds   [][]int
	onRank  [][]bool
	initial [][]bool
	copies  []int
	// ranksOf lists the ranks of each expert.
	ranksOf [][]int
	// load is the load of each rank by sample, and total its sum over the samples.
	load  [][]float64
	total []float64
	// loadPower holds the eighth powers of load, and powerSum their sums over the ranks.
	loadPower [][]float64
	powerSum  []float64
	// added counts the experts on each rank that the present map does not place there.
	added []int
	// budget bounds the added experts of each rank over all sets; nil if there is no such bound.
	budget  *rankBudget
	scratch scratch
}

func newState(ranks [][]int, demand Demand, l Limits) *state {
	experts := len(demand[0])
	st := &state{
		limits: l, copies: make([]int, experts), ranksOf: make([][]int, experts),
		total: make([]float64, len(ranks)), added: make([]int, len(ranks)),
	}
	for _, sample := range demand {
		if scaled := scaleToMeanLoad(sample, len(ranks)); scaled != nil {
			st.demand = append(st.demand, scaled)
			st.load = append(st.load, make([]float64, len(ranks)))
			st.loadPower = append(st.loadPower, make([]float64, len(ranks)))
			st.powerSum = append(st.powerSum, 0)
		}
	}
	for r, held := range ranks {
		st.holds = append(st.holds, slices.Clone(held))
		st.onRank = append(st.onRank, make([]bool, experts))
		for _, e := range held {
			st.onRank[r][e] = true
			st.copies[e]++
			st.ranksOf[e] = append(st.ranksOf[e], r)
		}
		st.initial = append(st.initial, slices.Clone(st.onRank[r]))
	}
	for e := range experts {
		for _, r := range st.ranksOf[e] {
			st.addLoad(r, e, 1/float64(st.copies[e]))
		}
	}
	st.scratch.slot = make([]int, len(ranks))
	st.computePowers()
	return st
}

// scaleToMeanLoad scales a sample so that the mean load of a rank is 1. It returns nil for an empty
// sample.
func scaleToMeanLoad(sample []float64, ranks int) []float64 {
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

// slowdown returns how many times as long as usual a rank takes, at least 1.
func (l Limits) slowdown(rank int) float64 {
	if rank >= len(l.Slowdown) || l.Slowdown[rank] < 1 {
		return 1
	}
	return l.Slowdown[rank]
}

// cannotCopy reports whether a rank cannot copy experts at present.
func (l Limits) cannotCopy(rank int) bool { return rank < len(l.NoCopies) && l.NoCopies[rank] }

// addLoad adds a fraction of an expert's demand to the load of a rank, multiplied by the rank's
// slowdown.
func (st *state) addLoad(r, e int, fraction float64) {
	fraction *= st.limits.slowdown(r)
	for k, sample := range st.demand {
		st.load[k][r] += sample[e] * fraction
		st.total[r] += sample[e] * fraction
	}
}

// skew returns the most loaded rank's load, averaged over the samples.
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

// sortedExperts returns the map of the set.
func (st *state) sortedExperts() [][]int {
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

// computePowers updates loadPower and powerSum from the loads.
func (st *state) computePowers() {
	for k, load := range st.load {
		st.powerSum[k] = 0
		for r, l := range load {
			st.loadPower[k][r] = eighthPower(l)
			st.powerSum[k] += st.loadPower[k][r]
		}
	}
}

// potential returns the 8-norm of the loads, averaged over the samples. It approximates the load of
// the most loaded rank, but also falls when the load of another rank falls.
func (st *state) potential() float64 {
	total := 0.0
	for _, sum := range st.powerSum {
		total += eighthRoot(sum)
	}
	return total / float64(len(st.powerSum))
}

func eighthRoot(v float64) float64 { return math.Sqrt(math.Sqrt(math.Sqrt(max(v, 0)))) }

// replacement replaces expert out on a rank by expert in; -1 means no expert.
type replacement struct{ rank, in, out int }

// move is a replacement on one rank, and one on a second rank if paired is true.
type move struct {
	replacement
	second replacement
	paired bool
}

// replacements returns the replacements of a move.
func (m *move) replacements() [2]replacement { return [2]replacement{m.replacement, m.second} }

func (m *move) count() int {
	if m.paired {
		return 2
	}
	return 1
}

// improve makes moves while they are worth their cost, and returns the number of experts that must
// be copied.
func (st *state) improve() int {
	if len(st.load) == 0 {
		return 0
	}
	potential := st.potential()
	for range st.copies {
		m, next, ok := st.bestMove(potential)
		if !ok {
			break
		}
		st.apply(m)
		st.computePowers()
		potential = next
	}
	copied := 0
	for r := range st.holds {
		for _, e := range st.holds[r] {
			if !st.initial[r][e] {
				copied++
			}
		}
	}
	return copied
}

// bestMove returns the move with the largest gain after the cost of its copies, and the potential
// after it. It returns false if no move is worth its cost.
func (st *state) bestMove(potential float64) (move, float64, bool) {
	var best move
	bestValue, bestPotential, found := 0.0, potential, false
	try := func(m move) {
		cost := st.copyCost(m)
		if cost < 0 {
			return
		}
		next := st.potentialAfter(m)
		value := (potential - next) - st.limits.MinCopyGain*float64(cost)
		if value > 1e-4 && (!found || value > bestValue) {
			best, bestValue, bestPotential, found = m, value, next, true
		}
	}
	light := st.leastLoadedRanks()
	for _, heavy := range st.mostLoadedRanks() {
		for _, e := range st.holds[heavy] {
			st.tryExpert(heavy, e, light, try)
		}
	}
	return best, bestPotential, found
}

// mostLoadedRanks returns the ranks whose load is to be reduced: the one with the largest total,
// the one that is the most loaded in most samples, and the one with the largest load in any sample.
func (st *state) mostLoadedRanks() []int {
	timesMost := make([]float64, len(st.total))
	peaks := make([]float64, len(st.total))
	for _, load := range st.load {
		timesMost[indexOfLargest(load)]++
		for r, l := range load {
			peaks[r] = max(peaks[r], l)
		}
	}
	ranks := []int{indexOfLargest(st.total), indexOfLargest(timesMost), indexOfLargest(peaks)}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

func indexOfLargest(values []float64) int {
	most := 0
	for i, v := range values {
		if v > values[most] {
			most = i
		}
	}
	return most
}

// maxTargets bounds the ranks to which the search moves load. With 12 a plan for 63 ranks takes
// twice the time and is no better (BenchmarkMake).
const maxTargets = 6

// leastLoadedRanks returns up to maxTargets ranks with the least total load that may copy experts.
func (st *state) leastLoadedRanks() []int {
	ranks := make([]int, 0, len(st.total))
	for r := range st.total {
		if !st.budget.exhausted(r) && !st.limits.cannotCopy(r) {
			ranks = append(ranks, r)
		}
	}
	slices.SortFunc(ranks, func(a, b int) int { return cmp.Compare(st.total[a], st.total[b]) })
	return ranks[:min(len(ranks), maxTargets)]
}

// tryExpert calls try for each move that takes load of one expert off a rank.
func (st *state) tryExpert(heavy, e int, light []int, try func(move)) {
	if st.copies[e] > 1 {
		try(move{replacement: replacement{heavy, -1, e}})
	}
	for _, r := range light {
		if r == heavy || st.onRank[r][e] {
			continue
		}
		if len(st.holds[r]) < st.limits.Places {
			try(move{replacement: replacement{r, e, -1}})
			try(move{replacement: replacement{r, e, -1}, second: replacement{heavy, -1, e}, paired: true})
		}
		for _, x := range st.holds[r] {
			if st.copies[x] > 1 {
				try(move{replacement: replacement{r, e, x}})
			}
			if !st.onRank[heavy][x] {
				try(move{replacement: replacement{r, e, x}, second: replacement{heavy, x, e}, paired: true})
			}
		}
	}
}

// copyCost returns the number of experts that a move copies. It returns -1 if the limits forbid the
// move or a rank would be left without experts.
func (st *state) copyCost(m move) int {
	cost := st.replacementCost(m.replacement)
	if cost < 0 || !m.paired {
		return cost
	}
	second := st.replacementCost(m.second)
	if second < 0 {
		return -1
	}
	return cost + second
}

// replacementCost returns the number of experts that a replacement copies, or -1 as copyCost does.
func (st *state) replacementCost(m replacement) int {
	if m.in < 0 {
		if len(st.holds[m.rank]) == 1 {
			return -1
		}
		return 0
	}
	if st.initial[m.rank][m.in] {
		return 0
	}
	if st.added[m.rank] >= st.limits.Spare || st.budget.exhausted(m.rank) || st.limits.cannotCopy(m.rank) {
		return -1
	}
	return 1
}

func (st *state) apply(m move) {
	parts := m.replacements()
	for _, replacement := range parts[:m.count()] {
		if replacement.in >= 0 {
			st.addCopy(replacement.rank, replacement.in)
		}
		if replacement.out >= 0 {
			st.removeCopy(replacement.rank, replacement.out)
		}
	}
}

// addCopy places a copy of an expert on a rank and spreads the expert's load over all of its copies.
func (st *state) addCopy(r, e int) {
	st.setCopies(e, st.copies[e]+1)
	st.holds[r] = append(st.holds[r], e)
	st.onRank[r][e] = true
	st.ranksOf[e] = append(st.ranksOf[e], r)
	st.addLoad(r, e, 1/float64(st.copies[e]))
	if !st.initial[r][e] {
		st.added[r]++
		st.budget.add(r, 1)
	}
}

func (st *state) removeCopy(r, e int) {
	st.addLoad(r, e, -1/float64(st.copies[e]))
	st.holds[r] = without(st.holds[r], e)
	st.ranksOf[e] = without(st.ranksOf[e], r)
	st.onRank[r][e] = false
	if !st.initial[r][e] {
		st.added[r]--
		st.budget.add(r, -1)
	}
	st.setCopies(e, st.copies[e]-1)
}

// without removes a value from a list, whose order is not kept.
func without(list []int, v int) []int {
	last := len(list) - 1
	list[slices.Index(list, v)] = list[last]
	return list[:last]
}

// setCopies changes the number of copies of an expert and updates the loads of the ranks that have
// it.
func (st *state) setCopies(e, copies int) {
	before, after := 0.0, 0.0
	if st.copies[e] > 0 {
		before = 1 / float64(st.copies[e])
	}
	if copies > 0 {
		after = 1 / float64(copies)
	}
	st.copies[e] = copies
	for _, r := range st.ranksOf[e] {
		st.addLoad(r, e, after-before)
	}
}

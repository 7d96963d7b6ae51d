package evenplan

import (
	"slices"
	"time"
)

// StageCost is the time that the stages of a change take. A change of the map is made in stages because
// ranks copy one expert after the other: a stage comes into force as soon as its own copies are done.
type StageCost struct {
	// Copy is the time in which a rank copies one expert; 0 if unknown or negligible.
	Copy time.Duration
	// Fixed is the time of a stage apart from its copies: reading the counts, planning, and switching.
	Fixed time.Duration
}

// copyingSlowdown is how much longer passes take while any rank copies experts.
const copyingSlowdown = 1.15

// rankBudget bounds the experts that a plan adds to each rank, summed over the sets.
type rankBudget struct {
	limit int
	// added counts the added experts by rank.
	added []int
}

func (b *rankBudget) exhausted(rank int) bool { return b != nil && b.added[rank] >= b.limit }

func (b *rankBudget) add(rank, n int) {
	if b != nil {
		b.added[rank] += n
	}
}

// step is a move of a staged plan.
type step struct {
	set  int
	move move
}

// level is the state of a staged plan in which each rank copies at most a given number of experts.
type level struct {
	// steps is the number of moves made so far.
	steps int
	// busiest is the number of experts that the busiest rank copies.
	busiest int
	// skew is the expected skew.
	skew float64
	// kept marks the sets whose moves lower the largest load; the moves of the others are not made.
	kept []bool
}

// candidate is the best move of a set; found is false if there is none. Its gain for each copy is
// comparable between sets.
type candidate struct {
	move  move
	gain  float64
	found bool
}

// stagedPlan makes the moves of all sets, those with the most gain for each copy first.
type stagedPlan struct {
	states     []*state
	before     []float64
	budget     *rankBudget
	candidates []candidate
	steps      []step
	levels     []level
}

// MakeStaged plans a better map as Make does, but returns only the first stage of the change if it takes
// less time, summed over the skew of the passes meanwhile, to make the change in several stages. The stages
// are bounded by the copies of a rank over all sets. Where the largest change takes no longer than a stage
// without copies, or the time of a copy is unknown, it is Make.
func MakeStaged(l Limits, present [][][]int, demand []Demand, cost StageCost) Plan {
	if len(present) == 0 || l.RankCopies == 0 && cost.Copy*time.Duration(l.Spare*len(present)) <= cost.Fixed {
		return Make(l, present, demand)
	}
	p := newStagedPlan(l, present, demand)
	p.makeLevels(l.RankCopies)
	chosen, stages := firstStage(p.levels, cost)
	return p.plan(present, chosen, stages)
}

func newStagedPlan(l Limits, present [][][]int, demand []Demand) *stagedPlan {
	p := &stagedPlan{budget: &rankBudget{added: make([]int, len(present[0]))}, candidates: make([]candidate, len(present))}
	for s, ranks := range present {
		st := newState(ranks, demand[s], l)
		st.budget = p.budget
		p.states = append(p.states, st)
		p.before = append(p.before, st.skew())
	}
	p.recordLevel()
	return p
}

// makeLevels raises the bound on the copies of a rank until no move is left or the bound is limit; 0 means
// no limit.
func (p *stagedPlan) makeLevels(limit int) {
	bound := 0
	for {
		bound = nextBound(bound)
		if limit > 0 {
			bound = min(bound, limit)
		}
		p.budget.limit = bound
		p.improve()
		p.recordLevel()
		if bound == limit || slices.Max(p.budget.added) < bound {
			return // no rank is kept from copying more
		}
	}
}

// nextBound returns the next larger bound on the copies of a rank. Bounds double, because the search for
// moves is repeated for each.
func nextBound(bound int) int { return max(2*bound, 1) }

// improve makes moves within the present bound, those with the most gain for each copy first.
func (p *stagedPlan) improve() {
	for s := range p.states {
		p.search(s)
	}
	for range len(p.states) * len(p.states[0].copies) {
		best := -1
		for s, c := range p.candidates {
			if c.found && (best < 0 || c.gain > p.candidates[best].gain) {
				best = s
			}
		}
		if best < 0 {
			return
		}
		st, c := p.states[best], p.candidates[best]
		if st.copyCost(c.move) >= 0 { // otherwise moves of other sets have exhausted the bound of a rank
			st.apply(c.move)
			st.computePowers()
			p.steps = append(p.steps, step{best, c.move})
		}
		p.search(best)
	}
}

// search finds the best move of a set.
func (p *stagedPlan) search(set int) {
	st := p.states[set]
	if len(st.load) == 0 {
		return
	}
	potential := st.potential()
	m, next, found := st.bestMove(potential)
	p.candidates[set] = candidate{move: m, found: found}
	if found {
		p.candidates[set].gain = (potential - next) / max(float64(st.copyCost(m)), 0.5)
	}
}

func (p *stagedPlan) recordLevel() {
	l := level{steps: len(p.steps), busiest: slices.Max(p.budget.added), kept: make([]bool, len(p.states))}
	for s, st := range p.states {
		skew := st.skew()
		l.kept[s] = skew <= p.before[s]
		l.skew += min(skew, p.before[s]) / float64(len(p.states))
	}
	p.levels = append(p.levels, l)
}

// firstStage returns the index of the level with which the first stage of a change ends, and the number of
// stages. They minimise the skew above the last level's, summed over the time of the change.
func firstStage(levels []level, cost StageCost) (chosen, stages int) {
	last := len(levels) - 1
	excess := make([]float64, len(levels))
	count := make([]int, len(levels))
	end := make([]int, len(levels))
	for i := last - 1; i >= 0; i-- {
		for j := last; j > i; j-- {
			copies := time.Duration(levels[j].busiest - levels[i].busiest)
			duration := cost.Fixed.Seconds() + copyingSlowdown*(copies*cost.Copy).Seconds()
			if e := duration*(levels[i].skew-levels[last].skew) + excess[j]; j == last || e < excess[i] {
				excess[i], count[i], end[i] = e, 1+count[j], j
			}
		}
	}
	return end[0], count[0]
}

// plan returns the map of a level.
func (p *stagedPlan) plan(present [][][]int, chosen, stages int) Plan {
	l := p.levels[chosen]
	plan := Plan{Stages: stages, Before: p.levels[0].skew, After: l.skew, Whole: p.levels[len(p.levels)-1].skew, Sets: make([][][]int, len(present))}
	for s, ranks := range present {
		plan.Sets[s] = make([][]int, len(ranks))
		for r, experts := range ranks {
			plan.Sets[s][r] = slices.Clone(experts)
		}
	}
	for _, step := range p.steps[:l.steps] {
		if l.kept[step.set] {
			step.move.applyTo(plan.Sets[step.set])
		}
	}
	copied := make([]int, len(present[0]))
	for s, ranks := range plan.Sets {
		for r, experts := range ranks {
			slices.Sort(experts)
			for _, e := range experts {
				if !p.states[s].initial[r][e] {
					copied[r]++
					plan.Copies++
				}
			}
		}
	}
	plan.RankCopies = slices.Max(copied)
	return plan
}

// applyTo makes the move in a list of the experts of each rank.
func (m move) applyTo(ranks [][]int) {
	parts := m.replacements()
	for _, replacement := range parts[:m.count()] {
		if replacement.in >= 0 {
			ranks[replacement.rank] = append(ranks[replacement.rank], replacement.in)
		}
		if replacement.out >= 0 {
			ranks[replacement.rank] = without(ranks[replacement.rank], replacement.out)
		}
	}
}

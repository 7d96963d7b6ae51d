package evenplan

// scratch is reused memory for evaluating a move without making it.
type scratch struct {
	shifts []shift
	// ranks lists the ranks whose load changes; slot is the index of a rank in that list plus 1, or
	// 0.
	ranks []int
	slot  []int
	delta []float64
}

// shift is a fraction of an expert's demand that a rank gains, or loses if it is negative.
type shift struct {
	slot, expert int
	fraction     float64
}

// potentialAfter returns the potential that a move would lead to.
func (st *state) potentialAfter(m move) float64 {
	st.collectShifts(m)
	t := &st.scratch
	total := 0.0
	for k, sample := range st.demand {
		clear(t.delta)
		for _, s := range t.shifts {
			t.delta[s.slot] += s.fraction * sample[s.expert]
		}
		sum := st.powerSum[k]
		for i, r := range t.ranks {
			sum += eighthPower(st.load[k][r]+t.delta[i]) - st.loadPower[k][r]
		}
		total += eighthRoot(sum)
	}
	return total / float64(len(st.demand))
}

// collectShifts records the shifts of a move in the scratch memory.
func (st *state) collectShifts(m move) {
	t := &st.scratch
	for _, r := range t.ranks {
		t.slot[r] = 0
	}
	t.shifts, t.ranks, t.delta = t.shifts[:0], t.ranks[:0], t.delta[:0]
	other := replacement{in: -1, out: -1}
	if m.paired {
		other = m.second
	}
	if m.in >= 0 {
		st.relocate(m.in, m.rank, sourceRank(other, m.in))
	}
	if m.out >= 0 {
		to := -1
		if other.in == m.out {
			to = other.rank
		}
		st.relocate(m.out, to, m.rank)
	}
	if other.out >= 0 && other.out != m.in {
		st.relocate(other.out, -1, other.rank)
	}
	if other.in >= 0 && other.in != m.out {
		st.relocate(other.in, other.rank, -1)
	}
}

// sourceRank returns the rank from which a replacement removes an expert; -1 if it does not remove the
// expert.
func sourceRank(m replacement, expert int) int {
	if m.out == expert {
		return m.rank
	}
	return -1
}

// relocate records the shifts of an expert that is added to one rank and removed from another one;
// -1 means no rank.
func (st *state) relocate(expert, to, from int) {
	before := 1 / float64(st.copies[expert])
	copies := st.copies[expert]
	if to >= 0 {
		copies++
	}
	if from >= 0 {
		copies--
	}
	after := 1 / float64(copies)
	if from >= 0 {
		st.shift(from, expert, -before)
	}
	if to >= 0 {
		st.shift(to, expert, after)
	}
	if copies == st.copies[expert] {
		return
	}
	for _, r := range st.ranksOf[expert] {
		if r != from {
			st.shift(r, expert, after-before)
		}
	}
}

// shift records that a rank gains a fraction of an expert's demand.
func (st *state) shift(r, expert int, fraction float64) {
	t := &st.scratch
	if t.slot[r] == 0 {
		t.ranks = append(t.ranks, r)
		t.delta = append(t.delta, 0)
		t.slot[r] = len(t.ranks)
	}
	t.shifts = append(t.shifts, shift{t.slot[r] - 1, expert, fraction * st.limits.slowdown(r)})
}

package evenplan

// trial is the scratch space in which a move is weighed without making it.
type trial struct {
	shifts []shift
	// ranks lists those whose load changes; slot is a rank's place in it, plus 1.
	ranks []int
	slot  []int
	delta []float64
}

// shift is a part of an expert's demand that a rank gains or loses.
type shift struct {
	slot, expert int
	part         float64
}

// after returns the potential after a move.
func (st *state) after(m move) float64 {
	st.weigh(m)
	t := &st.trial
	total := 0.0
	for k, sample := range st.demand {
		clear(t.delta)
		for _, s := range t.shifts {
			t.delta[s.slot] += s.part * sample[s.expert]
		}
		sum := st.eighth[k]
		for i, r := range t.ranks {
			sum += eighthPower(st.load[k][r]+t.delta[i]) - st.power[k][r]
		}
		total += eighthRoot(sum)
	}
	return total / float64(len(st.demand))
}

// weigh lists the shifts of a move.
func (st *state) weigh(m move) {
	t := &st.trial
	for _, r := range t.ranks {
		t.slot[r] = 0
	}
	t.shifts, t.ranks, t.delta = t.shifts[:0], t.ranks[:0], t.delta[:0]
	other := move{in: -1, out: -1}
	if m.also != nil {
		other = *m.also
	}
	if m.in >= 0 {
		st.relocate(m.in, m.rank, leaves(other, m.in))
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

// leaves returns the rank from which a step takes an expert; -1 for none.
func leaves(step move, expert int) int {
	if step.out == expert {
		return step.rank
	}
	return -1
}

// relocate lists the shifts of an expert that comes to one rank and leaves
// another one; -1 stands for none.
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
	for _, r := range st.on[expert] {
		if r != from {
			st.shift(r, expert, after-before)
		}
	}
}

func (st *state) shift(r, expert int, part float64) {
	t := &st.trial
	if t.slot[r] == 0 {
		t.ranks = append(t.ranks, r)
		t.delta = append(t.delta, 0)
		t.slot[r] = len(t.ranks)
	}
	t.shifts = append(t.shifts, shift{t.slot[r] - 1, expert, part * st.limits.pace(r)})
}

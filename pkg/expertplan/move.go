package expertplan

import (
	"slices"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

// move adds a replica of an expert to a rank, in place of another expert's
// replica where the rank has no free slot.
type move struct {
	expert int
	to     int
	// evicted is -1 where the rank has a free slot.
	evicted int
}

const (
	// targetRanks is how many of the earliest ranks are tried for a replica.
	targetRanks = 12
	// triedVictims is how many of the least loaded replicas of a rank are tried
	// for eviction.
	triedVictims = 2
	noVictim     = -1
)

// bestMove returns the move that lowers the sum of load²/speed the most.
// Moves start at the rank that finishes last.
func (s *layerState) bestMove(slots int) (move, bool) {
	worst, _ := s.slowest()
	targets := s.earliest()
	var best move
	gain := 0.0
	for _, e := range s.held[worst] {
		for _, to := range targets {
			if to == worst || s.holds(e, to) {
				continue
			}
			for _, v := range s.victims(to, slots) {
				m := move{expert: e, to: to, evicted: v}
				if g := s.try(m); g > gain {
					best, gain = m, g
				}
			}
		}
	}
	return best, gain > 0
}

// earliest returns the ranks that finish first.
func (s *layerState) earliest() []int {
	ranks := make([]int, len(s.load))
	for r := range ranks {
		ranks[r] = r
	}
	slices.SortFunc(ranks, func(a, b int) int {
		if s.finish(a) < s.finish(b) {
			return -1
		}
		return 1
	})
	return ranks[:min(len(ranks), targetRanks)]
}

func (s *layerState) holds(e, rank int) bool {
	return slices.ContainsFunc(s.replicas[e], func(r expertmap.Replica) bool { return r.Rank == rank })
}

// victims returns what may leave the rank for a new replica: nothing where a
// slot is free, else replicas of experts that have another one.
func (s *layerState) victims(rank, slots int) []int {
	if len(s.held[rank]) < slots {
		return []int{noVictim}
	}
	var out []int
	for _, e := range s.held[rank] {
		if len(s.replicas[e]) > 1 {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b int) int {
		if s.loadOf(a, rank) < s.loadOf(b, rank) {
			return -1
		}
		return 1
	})
	return out[:min(len(out), triedVictims)]
}

// loadOf returns the load of an expert's replica on a rank.
func (s *layerState) loadOf(e, rank int) float64 {
	for _, r := range s.replicas[e] {
		if r.Rank == rank {
			return r.Share * s.popularity[e]
		}
	}
	return 0
}

// try returns by how much the move lowers the sum of load²/speed, and leaves
// the state as it was.
func (s *layerState) try(m move) float64 {
	touched := s.touched(m)
	loads := make([]float64, len(touched))
	before := 0.0
	for i, r := range touched {
		loads[i] = s.load[r]
		before += s.cost(r)
	}
	saved := slices.Clone(s.replicas[m.expert])
	var savedVictim []expertmap.Replica
	if m.evicted != noVictim {
		savedVictim = slices.Clone(s.replicas[m.evicted])
	}
	s.shift(m)
	after := 0.0
	for _, r := range touched {
		after += s.cost(r)
	}
	s.replicas[m.expert] = saved
	if m.evicted != noVictim {
		s.replicas[m.evicted] = savedVictim
	}
	for i, r := range touched {
		s.load[r] = loads[i]
	}
	return before - after
}

func (s *layerState) cost(rank int) float64 { return s.load[rank] * s.load[rank] / s.speed[rank] }

// touched lists the ranks whose load a move changes, each once.
func (s *layerState) touched(m move) []int {
	out := []int{m.to}
	add := func(e int) {
		for _, r := range s.replicas[e] {
			if !slices.Contains(out, r.Rank) {
				out = append(out, r.Rank)
			}
		}
	}
	add(m.expert)
	if m.evicted != noVictim {
		add(m.evicted)
	}
	return out
}

// shift applies the move to the replicas and the loads.
func (s *layerState) shift(m move) {
	if m.evicted != noVictim {
		s.evict(m.evicted, m.to)
	}
	s.replicas[m.expert] = append(slices.Clip(s.replicas[m.expert]), expertmap.Replica{Rank: m.to})
	s.spread(m.expert)
}

func (s *layerState) evict(e, rank int) {
	list := s.replicas[e]
	kept := make([]expertmap.Replica, 0, len(list)-1)
	gone := 0.0
	for _, r := range list {
		if r.Rank == rank {
			gone = r.Share
			continue
		}
		kept = append(kept, r)
	}
	s.load[rank] -= gone * s.popularity[e]
	kept[0].Share += gone
	s.load[kept[0].Rank] += gone * s.popularity[e]
	s.replicas[e] = kept
	s.spread(e)
}

// apply makes the move and balances the layer again.
func (s *layerState) apply(m move) {
	s.shift(m)
	if m.evicted != noVictim {
		s.held[m.to] = slices.DeleteFunc(s.held[m.to], func(e int) bool { return e == m.evicted })
	}
	s.held[m.to] = append(s.held[m.to], m.expert)
	s.balance()
}

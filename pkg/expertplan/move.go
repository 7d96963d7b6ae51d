package expertplan

import (
	"slices"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

// move adds a replica of an expert to a rank. If the rank has no free slot, the replica replaces
// another expert's replica.
type move struct {
	expert int
	to     int
	// evicted is the replaced expert, or noVictim if the rank has a free slot.
	evicted int
}

const (
	// maxTargets is the number of ranks that are tried for a new replica, those that finish first.
	maxTargets = 12
	// maxVictims is the number of replicas of a rank that are tried for eviction, the least loaded
	// first.
	maxVictims = 2
	noVictim   = -1
)

// bestMove returns the move that reduces the sum of load²/speed the most. Only experts of the rank
// that finishes last are considered.
func (s *layerState) bestMove(slots int) (move, bool) {
	worst, _ := s.slowest()
	targets := s.earliestRanks()
	var best move
	gain := 0.0
	for _, e := range s.held[worst] {
		for _, to := range targets {
			if to == worst || s.holds(e, to) {
				continue
			}
			for _, v := range s.victims(to, slots) {
				m := move{expert: e, to: to, evicted: v}
				if g := s.gainOf(m); g > gain {
					best, gain = m, g
				}
			}
		}
	}
	return best, gain > 0
}

// earliestRanks returns up to maxTargets ranks, those that finish first.
func (s *layerState) earliestRanks() []int {
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
	return ranks[:min(len(ranks), maxTargets)]
}

func (s *layerState) holds(e, rank int) bool {
	return slices.ContainsFunc(s.replicas[e], func(r expertmap.Replica) bool { return r.Rank == rank })
}

// victims returns the experts whose replica on the rank may be evicted for a new one: noVictim if a
// slot is free, and otherwise experts that have another replica.
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
	return out[:min(len(out), maxVictims)]
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

// gainOf returns by how much the move reduces the sum of load²/speed. It leaves the state
// unchanged.
func (s *layerState) gainOf(m move) float64 {
	affected := s.affectedRanks(m)
	loads := make([]float64, len(affected))
	before := 0.0
	for i, r := range affected {
		loads[i] = s.load[r]
		before += s.cost(r)
	}
	saved := slices.Clone(s.replicas[m.expert])
	var savedVictim []expertmap.Replica
	if m.evicted != noVictim {
		savedVictim = slices.Clone(s.replicas[m.evicted])
	}
	s.replaceReplica(m)
	after := 0.0
	for _, r := range affected {
		after += s.cost(r)
	}
	s.replicas[m.expert] = saved
	if m.evicted != noVictim {
		s.replicas[m.evicted] = savedVictim
	}
	for i, r := range affected {
		s.load[r] = loads[i]
	}
	return before - after
}

func (s *layerState) cost(rank int) float64 { return s.load[rank] * s.load[rank] / s.speed[rank] }

// affectedRanks returns the ranks whose load a move changes, each once.
func (s *layerState) affectedRanks(m move) []int {
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

// replaceReplica applies the move to the replicas and the loads, but not to the lists of experts
// held.
func (s *layerState) replaceReplica(m move) {
	if m.evicted != noVictim {
		s.evict(m.evicted, m.to)
	}
	s.replicas[m.expert] = append(slices.Clip(s.replicas[m.expert]), expertmap.Replica{Rank: m.to})
	s.spread(m.expert)
}

// evict removes an expert's replica from a rank and splits its share over the remaining replicas.
func (s *layerState) evict(e, rank int) {
	list := s.replicas[e]
	kept := make([]expertmap.Replica, 0, len(list)-1)
	freed := 0.0
	for _, r := range list {
		if r.Rank == rank {
			freed = r.Share
			continue
		}
		kept = append(kept, r)
	}
	s.load[rank] -= freed * s.popularity[e]
	kept[0].Share += freed
	s.load[kept[0].Rank] += freed * s.popularity[e]
	s.replicas[e] = kept
	s.spread(e)
}

// apply makes the move and balances the layer again.
func (s *layerState) apply(m move) {
	s.replaceReplica(m)
	if m.evicted != noVictim {
		s.held[m.to] = slices.DeleteFunc(s.held[m.to], func(e int) bool { return e == m.evicted })
	}
	s.held[m.to] = append(s.held[m.to], m.expert)
	s.balance()
}

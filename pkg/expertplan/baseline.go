package expertplan

import (
	"cmp"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

// Uniform assigns consecutive ranges of experts, as equal as possible, to the ranks, with one
// replica each.
func Uniform(ranks, experts int) expertmap.Layer {
	layer := make(expertmap.Layer, experts)
	for e := range layer {
		layer[e] = []expertmap.Replica{{Rank: e * ranks / experts, Share: 1}}
	}
	return layer
}

// PlaceFromScratch places a layer without regard to the present placement. The experts with the
// largest load for each replica get the spare slots. The replicas are then placed, the largest
// first, on the rank that would finish first. With split the shares are balanced as by Make;
// otherwise they are equal.
func PlaceFromScratch(popularity, speed []float64, slots int, split bool) expertmap.Layer {
	speed = usableSpeed(speed)
	counts := replicaCounts(popularity, len(speed), slots)
	order := make([]int, 0, len(speed)*slots)
	for e, n := range counts {
		for range n {
			order = append(order, e)
		}
	}
	loadPerReplica := func(e int) float64 { return popularity[e] / float64(counts[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loadPerReplica(b), loadPerReplica(a)) })
	s := newLayerState(make(expertmap.Layer, len(popularity)), popularity, speed)
	for _, e := range order {
		if r, ok := s.firstToFinish(e, loadPerReplica(e), slots); ok {
			s.replicas[e] = append(s.replicas[e], expertmap.Replica{Rank: r})
			s.held[r] = append(s.held[r], e)
			s.load[r] += loadPerReplica(e)
		}
	}
	for e := range s.replicas {
		for i := range s.replicas[e] {
			s.replicas[e][i].Share = 1 / float64(len(s.replicas[e]))
		}
	}
	out := newLayerState(s.replicas, popularity, speed)
	if split {
		out.balance()
	}
	return out.replicas
}

// replicaCounts returns the number of replicas of each expert: every expert has one, and each spare
// slot is assigned to the expert with the largest load for each replica.
func replicaCounts(popularity []float64, ranks, slots int) []int {
	counts := make([]int, len(popularity))
	for e := range counts {
		counts[e] = 1
	}
	for range ranks*slots - len(popularity) {
		best := -1
		for e, n := range counts {
			if n < ranks && (best < 0 || popularity[e]/float64(n) > popularity[best]/float64(counts[best])) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

// firstToFinish returns the rank that would finish first with the load added, among those with a
// free slot and without the expert. It returns false if there is none.
func (s *layerState) firstToFinish(e int, load float64, slots int) (int, bool) {
	best, at := -1, 0.0
	for r := range s.load {
		if len(s.held[r]) >= slots || s.holds(e, r) {
			continue
		}
		if f := (s.load[r] + load) / s.speed[r]; best < 0 || f < at {
			best, at = r, f
		}
	}
	return best, best >= 0
}

// CountLoads returns the number of replicas of next that present lacks and that must be loaded.
func CountLoads(present, next []expertmap.Layer) int {
	n := 0
	for l, layer := range next {
		for e, list := range layer {
			for _, r := range list {
				if !slices.ContainsFunc(present[l][e], func(o expertmap.Replica) bool { return o.Rank == r.Rank }) {
					n++
				}
			}
		}
	}
	return n
}

// StepTime returns the largest and the mean finish time of the ranks, each summed over the layers.
func StepTime(layers []expertmap.Layer, popularity [][]float64, speed []float64) (largest, mean float64) {
	load := make([]float64, len(speed))
	for l, layer := range layers {
		clear(load)
		for e, list := range layer {
			for _, r := range list {
				load[r.Rank] += r.Share * popularity[l][e]
			}
		}
		top := 0.0
		for r, v := range load {
			f := v / speed[r]
			top = max(top, f)
			mean += f / float64(len(speed))
		}
		largest += top
	}
	return largest, mean
}

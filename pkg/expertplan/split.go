package expertplan

import (
	"math"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

const (
	// maxSweeps bounds the sweeps of one balance. A sweep visits every expert with several
	// replicas.
	maxSweeps = 24
	// sweepTolerance ends a balance when no finish time changes by more than this fraction of the
	// mean finish time.
	sweepTolerance = 1e-3
)

// layerState is the placement of one layer and the load that it puts on each rank.
type layerState struct {
	replicas expertmap.Layer
	// popularity is the load of each expert, and speed the speed of each rank.
	popularity []float64
	speed      []float64
	// load is the sum of the replica loads on each rank.
	load []float64
	// held lists the experts on each rank.
	held [][]int
}

func newLayerState(layer expertmap.Layer, popularity, speed []float64) *layerState {
	s := &layerState{
		replicas:   cloneLayer(layer),
		popularity: popularity,
		speed:      speed,
		load:       make([]float64, len(speed)),
		held:       make([][]int, len(speed)),
	}
	for e, list := range s.replicas {
		for _, r := range list {
			s.load[r.Rank] += r.Share * popularity[e]
			s.held[r.Rank] = append(s.held[r.Rank], e)
		}
	}
	return s
}

func cloneLayer(layer expertmap.Layer) expertmap.Layer {
	total := 0
	for _, list := range layer {
		total += len(list)
	}
	flat := make([]expertmap.Replica, 0, total)
	out := make(expertmap.Layer, len(layer))
	for e, list := range layer {
		start := len(flat)
		flat = append(flat, list...)
		out[e] = flat[start:len(flat):len(flat)]
	}
	return out
}

// finish returns the finish time of a rank for the layer.
func (s *layerState) finish(rank int) float64 { return s.load[rank] / s.speed[rank] }

// slowest returns the rank that finishes last, and its finish time.
func (s *layerState) slowest() (int, float64) {
	worst, at := 0, 0.0
	for r := range s.load {
		if f := s.finish(r); f > at {
			worst, at = r, f
		}
	}
	return worst, at
}

// ideal returns the finish time under perfect balance.
func (s *layerState) ideal() float64 {
	load, speed := 0.0, 0.0
	for r := range s.load {
		load += s.load[r]
		speed += s.speed[r]
	}
	return load / speed
}

// balance sets the shares so that the last rank finishes as early as the placement allows. It
// splits one expert after the other over its ranks so that these finish together. This converges to
// the least sum of load²/speed, whose largest finish time is the least possible too.
func (s *layerState) balance() {
	limit := s.ideal() * sweepTolerance
	for range maxSweeps {
		moved := 0.0
		for e := range s.replicas {
			if len(s.replicas[e]) > 1 {
				moved = math.Max(moved, s.spread(e))
			}
		}
		if moved < limit {
			return
		}
	}
}

// spread splits one expert over its ranks and returns the largest change of a finish time.
func (s *layerState) spread(e int) float64 {
	list := s.replicas[e]
	total := s.popularity[e]
	if total <= 0 {
		return 0
	}
	for _, r := range list {
		s.load[r.Rank] -= r.Share * total
	}
	level := s.level(list, total)
	moved := 0.0
	remaining := 1.0
	for i := range list {
		r := &list[i]
		share := math.Max(0, level*s.speed[r.Rank]-s.load[r.Rank]) / total
		share = math.Min(share, remaining)
		if i == len(list)-1 {
			share = remaining
		}
		remaining -= share
		moved = math.Max(moved, math.Abs(share-r.Share)*total/s.speed[r.Rank])
		r.Share = share
		s.load[r.Rank] += share * total
	}
	return moved
}

// level returns the finish time that the ranks of the list reach if the load is split over them so
// that they finish together, on top of their present loads.
func (s *layerState) level(list []expertmap.Replica, total float64) float64 {
	load, speed := total, 0.0
	for _, r := range list {
		load += s.load[r.Rank]
		speed += s.speed[r.Rank]
	}
	level := load / speed
	// Ranks that already finish later than the level get no share. They are left out of the next
	// estimate, until it no longer falls.
	for {
		load, speed = total, 0.0
		for _, r := range list {
			if s.finish(r.Rank) < level {
				load += s.load[r.Rank]
				speed += s.speed[r.Rank]
			}
		}
		next := load / speed
		if next >= level*(1-1e-12) {
			return next
		}
		level = next
	}
}

package popularity

import (
	"math"

	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// Window holds how often each expert was chosen between two reads of a rank's counts. It is packed,
// because a planner reads it from many ranks several times a second.
type Window struct {
	// Max is the largest count.
	Max int64 `json:"max,omitempty"`
	// Roots holds the square root of each count, scaled so that the root of Max is 255, set after
	// set.
	Roots []byte `json:"roots,omitempty"`
}

// count returns the count that a root encodes.
func (w Window) count(root byte) float64 {
	scaled := float64(root) / math.MaxUint8
	return scaled * scaled * float64(w.Max)
}

// WindowTracker computes windows from successive reads of a rank's counts. It is not safe for concurrent
// use.
type WindowTracker struct {
	last rankcontrol.Counts
}

// Next returns the window since the previous counts. It is empty for the first counts after a start
// of the engine, and if no expert was chosen.
func (t *WindowTracker) Next(counts rankcontrol.Counts) Window {
	old := t.last
	t.last = counts
	if len(old.ExpertCounts) != len(counts.ExpertCounts) || old.Incarnation != counts.Incarnation || counts.Step < old.Step {
		return Window{}
	}
	w := Window{Roots: make([]byte, len(counts.ExpertCounts))}
	for i, n := range counts.ExpertCounts {
		w.Max = max(w.Max, n-old.ExpertCounts[i])
	}
	if w.Max == 0 {
		return Window{}
	}
	for i, n := range counts.ExpertCounts {
		fraction := float64(max(n-old.ExpertCounts[i], 0)) / float64(w.Max)
		w.Roots[i] = byte(math.Round(math.Sqrt(fraction) * math.MaxUint8))
	}
	return w
}

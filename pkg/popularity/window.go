package popularity

import (
	"math"

	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// Window holds how often each expert was chosen between two readings of a
// rank's counts. It is packed: a planner asks many ranks several times a second.
type Window struct {
	// Max is the largest number.
	Max int64 `json:"max,omitempty"`
	// Roots holds the square roots of the numbers as parts of 255 of Max's, set
	// after set.
	Roots []byte `json:"roots,omitempty"`
}

func (w Window) value(root byte) float64 {
	part := float64(root) / math.MaxUint8
	return part * part * float64(w.Max)
}

// WindowTracker cuts a rank's counts into windows. It is not safe for concurrent use.
type WindowTracker struct {
	last rankcontrol.Counts
}

// Next returns the window since the counts that were taken last. The first
// counts of an engine's start have none.
func (c *WindowTracker) Next(counts rankcontrol.Counts) Window {
	old := c.last
	c.last = counts
	if len(old.Chosen) != len(counts.Chosen) || old.Born != counts.Born || counts.Step < old.Step {
		return Window{}
	}
	w := Window{Roots: make([]byte, len(counts.Chosen))}
	for i, n := range counts.Chosen {
		w.Max = max(w.Max, n-old.Chosen[i])
	}
	if w.Max == 0 {
		return Window{}
	}
	for i, n := range counts.Chosen {
		part := float64(max(n-old.Chosen[i], 0)) / float64(w.Max)
		w.Roots[i] = byte(math.Round(math.Sqrt(part) * math.MaxUint8))
	}
	return w
}

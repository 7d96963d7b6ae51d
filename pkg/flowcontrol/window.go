package flowcontrol

import "time"

const (
	// windowCut is what remains of the window after replicas refused work.
	windowCut = 0.95
	// windowGrowth is what one window of answers adds to the window.
	windowGrowth = 4
	// cutInterval is the shortest time between two cuts, so that the refusals
	// of one burst count once.
	cutInterval = 200 * time.Millisecond
)

// Window is the number of requests that one entry may have in flight at a
// pool. It grows with each answer while requests wait, and shrinks when replicas refuse work because other entries fill them. It never
// falls below the entry's equal share nor exceeds the whole pool.
type Window struct {
	share, whole float64
	size         float64
	cutAt        time.Time
}

// SetBounds sets the equal share and the whole of the pool.
func (w *Window) SetBounds(share, whole int) {
	w.whole = float64(max(whole, 0))
	w.share = min(float64(max(share, 1)), w.whole)
	w.size = min(max(w.size, w.share), w.whole)
}

// Size returns the bound of the requests in flight.
func (w *Window) Size() int { return int(w.size) }

// Grow takes an answer. The window grows only where it is what holds requests
// back.
func (w *Window) Grow(held bool) {
	if held && w.size > 0 {
		w.size = min(w.size+windowGrowth/w.size, w.whole)
	}
}

// Shrink takes a refusal by the replicas while so many requests are in flight.
func (w *Window) Shrink(now time.Time, inFlight int) {
	if now.Sub(w.cutAt) < cutInterval {
		return
	}
	w.cutAt = now
	w.size = min(max(min(w.size*windowCut, float64(inFlight)), w.share), w.whole)
}

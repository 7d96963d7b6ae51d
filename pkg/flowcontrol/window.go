package flowcontrol

import "time"

const (
	// windowDecrease is the factor by which the window shrinks after replicas refused work.
	windowDecrease = 0.95
	// windowIncrease is the number of slots by which the window grows in the course of one window
	// of responses.
	windowIncrease = 4
	// minDecreaseInterval is the minimum time between two decreases, so that the refusals of one
	// burst count once.
	minDecreaseInterval = 200 * time.Millisecond
)

// Window bounds the requests that one entry may have in flight at a pool, by additive increase and
// multiplicative decrease. It grows with each response while requests wait, and shrinks when
// replicas refuse work because the requests of other entries fill them. It never falls below the
// entry's equal share nor exceeds the capacity of the pool.
type Window struct {
	share, total float64
	size         float64
	decreasedAt  time.Time
}

// SetBounds sets the lower bound, the entry's equal share of the pool, and the upper bound, the
// capacity of the whole pool.
func (w *Window) SetBounds(share, total int) {
	w.total = float64(max(total, 0))
	w.share = min(float64(max(share, 1)), w.total)
	w.size = min(max(w.size, w.share), w.total)
}

// Size returns the current bound on in-flight requests.
func (w *Window) Size() int { return int(w.size) }

// Grow records a response. It enlarges the window only if backlogged, that is, if requests wait
// because of the window.
func (w *Window) Grow(backlogged bool) {
	if backlogged && w.size > 0 {
		w.size = min(w.size+windowIncrease/w.size, w.total)
	}
}

// Shrink records that the replicas refused a request while inFlight requests were in flight. It
// decreases the window at most once in minDecreaseInterval.
func (w *Window) Shrink(now time.Time, inFlight int) {
	if now.Sub(w.decreasedAt) < minDecreaseInterval {
		return
	}
	w.decreasedAt = now
	w.size = min(max(min(w.size*windowDecrease, float64(inFlight)), w.share), w.total)
}

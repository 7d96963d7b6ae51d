package membership

import "time"

const (
	// shrinkThreshold is the share of the current rows below which a new list counts as shrunk.
	shrinkThreshold = 0.5
	// ShrinkHold is how long a list must stay shrunk before its removals are applied.
	ShrinkHold = 10 * time.Minute
)

// ShrinkGuard delays removals from a list that suddenly shrinks or becomes empty. Use it for rows
// that the reader cannot observe itself. It is not safe for concurrent use.
type ShrinkGuard[R any] struct {
	nameOf      func(R) string
	rows        []R
	shrunkSince time.Time
}

// NewShrinkGuard returns an empty guard. name returns the unique name of a row.
func NewShrinkGuard[R any](name func(R) string) *ShrinkGuard[R] { return &ShrinkGuard[R]{nameOf: name} }

// Update applies a new list and returns the rows in force: those of the list and, while it counts
// as shrunk, also the earlier rows that it lacks.
func (l *ShrinkGuard[R]) Update(now time.Time, rows []R) []R {
	if float64(len(rows)) >= shrinkThreshold*float64(len(l.rows)) {
		l.shrunkSince = time.Time{}
		l.rows = rows
		return l.rows
	}
	if l.shrunkSince.IsZero() {
		l.shrunkSince = now
	}
	if now.Sub(l.shrunkSince) >= ShrinkHold {
		l.shrunkSince = time.Time{}
		l.rows = rows
		return l.rows
	}
	l.rows = l.merged(rows)
	return l.rows
}

// HoldsRemovals reports whether removals are being delayed. The caller must then call Update
// again later, even if the list has not changed.
func (l *ShrinkGuard[R]) HoldsRemovals() bool { return !l.shrunkSince.IsZero() }

// merged returns the rows of the list and the earlier rows that it lacks.
func (l *ShrinkGuard[R]) merged(rows []R) []R {
	out := append([]R(nil), rows...)
	have := make(map[string]bool, len(rows))
	for _, r := range rows {
		have[l.nameOf(r)] = true
	}
	for _, r := range l.rows {
		if !have[l.nameOf(r)] {
			out = append(out, r)
		}
	}
	return out
}

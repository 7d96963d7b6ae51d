package membership

import "time"

const (
	// shrunkShare is the share of the rows below which a reading counts as
	// shrunk.
	shrunkShare = 0.5
	// ShrinkHold is how long a shrunk reading must last to be believed.
	ShrinkHold = 10 * time.Minute
)

// ShrinkGuard holds back removals from a list that has sharply shrunk or is
// empty. It is for rows that the reader can't observe itself. It is not safe
// for concurrent use.
type ShrinkGuard[R any] struct {
	name        func(R) string
	rows        []R
	shrunkSince time.Time
}

// NewShrinkGuard returns a listing of rows with the given names.
func NewShrinkGuard[R any](name func(R) string) *ShrinkGuard[R] { return &ShrinkGuard[R]{name: name} }

// Update takes a reading and returns the rows in force: the reading, and while
// it counts as shrunk also the earlier rows that it lacks.
func (l *ShrinkGuard[R]) Update(now time.Time, reading []R) []R {
	if float64(len(reading)) >= shrunkShare*float64(len(l.rows)) {
		l.shrunkSince = time.Time{}
		l.rows = reading
		return l.rows
	}
	if l.shrunkSince.IsZero() {
		l.shrunkSince = now
	}
	if now.Sub(l.shrunkSince) >= ShrinkHold {
		l.shrunkSince = time.Time{}
		l.rows = reading
		return l.rows
	}
	l.rows = l.merged(reading)
	return l.rows
}

// HoldsRemovals reports whether rows are held back, so that the same reading must
// be taken again later.
func (l *ShrinkGuard[R]) HoldsRemovals() bool { return !l.shrunkSince.IsZero() }

// merged returns the reading and the earlier rows that it lacks.
func (l *ShrinkGuard[R]) merged(reading []R) []R {
	out := append([]R(nil), reading...)
	have := make(map[string]bool, len(reading))
	for _, r := range reading {
		have[l.name(r)] = true
	}
	for _, r := range l.rows {
		if !have[l.name(r)] {
			out = append(out, r)
		}
	}
	return out
}

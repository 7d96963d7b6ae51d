package ratelimit

import (
	"slices"
	"time"
)

// Peek returns what Admission would return, without a change of any state.
func (l *Limiter) Peek(now time.Time, server string, incarnation int64) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.binding(now, server, incarnation)
	if state == nil {
		return Unlimited
	}
	copied := *state
	copied.permits = slices.Clone(state.permits)
	switch {
	case l.available(now, &copied):
		return Permitted
	case copied.askable(now, l.self):
		return Askable
	}
	return Closed
}

package ratelimit

import (
	"slices"
	"time"
)

const (
	// permitLifetime is how long a permit may be used from the request for it. It bounds the requests that
	// entries can send at the same moment.
	permitLifetime = 250 * time.Millisecond
	// askTimeout is the time after which another entry that was asked for a permit is taken for silent, and
	// unansweredPause the time for which it is not asked again then.
	askTimeout      = 150 * time.Millisecond
	unansweredPause = 350 * time.Millisecond
	// maxAskPause bounds the time for which no permit is asked for after a denial.
	maxAskPause = 2 * time.Second
)

// Admission says whether a request may be sent to a server.
type Admission int

const (
	// Unlimited servers need no permit.
	Unlimited Admission = iota
	// Permitted means that there is a permit, which Take uses.
	Permitted
	// Askable means that Want asks another entry for a permit.
	Askable
	// Closed means that there is no permit for now.
	Closed
)

// Admission returns whether a request may be sent to a server now.
func (l *Limiter) Admission(now time.Time, server string, incarnation int64) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.binding(now, server, incarnation)
	switch {
	case state == nil:
		return Unlimited
	case l.available(now, state):
		return Permitted
	case state.askable(now, l.self):
		return Askable
	}
	return Closed
}

// askable reports whether another entry can be asked for a permit now.
func (l *limit) askable(now time.Time, self string) bool {
	if l.granter == self || l.askDue {
		return false
	}
	if l.ask != 0 {
		if now.Sub(l.askedAt) < askTimeout {
			return false
		}
		l.ask, l.askAgainAt = 0, l.askedAt.Add(askTimeout+unansweredPause)
	}
	return !now.Before(l.askAgainAt)
}

// available reports whether this entry has a permit or can grant itself one. l.mu is held.
func (l *Limiter) available(now time.Time, state *limit) bool {
	expired := 0
	for expired < len(state.permits) && !now.Before(state.permits[expired]) {
		expired++
	}
	state.permits = slices.Delete(state.permits, 0, expired)
	if len(state.permits) > 0 {
		return true
	}
	if state.granter != l.self {
		return false
	}
	state.bucket.refill(now, l.permittedRate(now, state))
	return state.bucket.tokens >= 1
}

// Take uses a permit for a request that is sent to a server now. It reports false if the request may not be
// sent.
func (l *Limiter) Take(now time.Time, server string, incarnation int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.binding(now, server, incarnation)
	if state == nil {
		return true
	}
	if !l.available(now, state) {
		if state.granter == l.self {
			l.count(state, Usage{Denied: 1})
		}
		return false
	}
	if len(state.permits) > 0 {
		state.permits = slices.Delete(state.permits, 0, 1)
	} else if state.bucket.take() {
		l.count(state, Usage{Granted: 1})
	}
	l.count(state, Usage{Sent: 1})
	return true
}

// Want asks for a permit for a request that would be sent to a server. Awaited reports until when the answer
// is expected. One permit is asked for at a time.
func (l *Limiter) Want(now time.Time, server string, incarnation int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.binding(now, server, incarnation)
	if state != nil && state.askable(now, l.self) {
		state.askDue = true
		l.signal()
	}
}

// Awaited reports whether an answer to a request for a permit is expected within askTimeout.
func (l *Limiter) Awaited(now time.Time, server string, incarnation int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.binding(now, server, incarnation)
	return state != nil && (state.askDue || state.ask != 0 && now.Sub(state.askedAt) < askTimeout)
}

// Wait returns the time until a request to a server has a chance of a permit; 0 if there is no limit.
func (l *Limiter) Wait(now time.Time, server string, incarnation int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.binding(now, server, incarnation)
	if state == nil || l.available(now, state) {
		return 0
	}
	if state.granter == l.self {
		return state.bucket.untilNext(now)
	}
	return max(state.askAgainAt.Sub(now), 0)
}

// Answered returns a channel that is closed when another entry has answered a request for a permit.
func (l *Limiter) Answered() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered
}

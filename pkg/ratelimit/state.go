package ratelimit

import (
	"slices"
	"strings"
	"time"
)

// State describes the limit of a server to operators.
type State struct {
	Server string
	// Stated is the limit that the server has stated last, in requests per second. It has ended if Ended is
	// true; Permitted is the rate at which requests are permitted now.
	Stated, Permitted float64
	Ended             bool
	// Age is the time since the newest statement arrived, and LearnedFrom the entry at which it did; empty
	// for this one.
	Age         time.Duration
	LearnedFrom string
	// Granter is the entry that grants the permits.
	Granter string
	Usage
}

// States returns the limits that apply now, ordered by server.
func (l *Limiter) States(now time.Time) []State {
	l.mu.Lock()
	defer l.mu.Unlock()
	var states []State
	for server, limit := range l.limits {
		if l.binding(now, server, limit.newest.Incarnation) != nil {
			states = append(states, l.state(now, limit))
		}
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Server, b.Server) })
	return states
}

// Describe returns the limit of a server; it reports false if none applies now.
func (l *Limiter) Describe(now time.Time, server string, incarnation int64) (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.binding(now, server, incarnation)
	if limit == nil {
		return State{}, false
	}
	return l.state(now, limit), true
}

// state describes a limit. l.mu is held.
func (l *Limiter) state(now time.Time, limit *limit) State {
	return State{
		Server: limit.newest.Server, Stated: limit.rate, Permitted: l.permittedRate(now, limit), Ended: limit.ended(),
		Age: now.Sub(limit.newest.Received), LearnedFrom: limit.learnedFrom, Granter: limit.granter, Usage: limit.usage,
	}
}

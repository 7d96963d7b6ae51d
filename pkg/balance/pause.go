package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// pause is the time for which one incarnation of a server accepts no requests. It is kept apart from
// the server's other state, because it outlives a change or a lapse of the announcement.
type pause struct {
	incarnation int64
	until       time.Time
}

// Pause stops the use of a server until the given time, because the server has asked for it. An
// earlier pause of the same incarnation is never shortened. A restart of the server ends the pause.
func (b *Balancer) Pause(now time.Time, s fleet.Server, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.pauses {
		if !now.Before(p.until) {
			delete(b.pauses, id)
		}
	}
	if p, ok := b.pauses[s.ID]; ok && p.incarnation == s.Incarnation && p.until.After(until) {
		return
	}
	b.pauses[s.ID] = pause{s.Incarnation, until}
}

// isPaused reports whether a server accepts no requests now. b.mu is held.
func (b *Balancer) isPaused(now time.Time, s *server) bool {
	p, ok := b.pauses[s.ID]
	return ok && p.incarnation == s.Incarnation && now.Before(p.until)
}

// Accepts reports whether a request may be sent to a server that was chosen earlier: it is still
// usable, has not restarted, is not paused and its failure domain is not evacuated.
func (b *Balancer) Accepts(now time.Time, s fleet.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.servers[s.ID]
	return current != nil && !current.evacuated && current.Incarnation == s.Incarnation && !b.isPaused(now, current)
}

// AcceptsIn returns the time until the first server of a service accepts a request, after its pause, within
// its rate limit and within this entry's share of it while it is cold. It is 0 if one accepts a request now or
// the service has no server.
func (b *Balancer) AcceptsIn(now time.Time, service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := time.Duration(0)
	for _, s := range b.services[service] {
		left := max(b.limits.Wait(now, s.ID, s.Incarnation), b.cold.Wait(now, s.Server))
		if b.isPaused(now, s) {
			left = max(left, b.pauses[s.ID].until.Sub(now))
		}
		if left == 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// GroupFault notes that a request was turned away because the group of a
// service's engines is broken.
func (b *Balancer) GroupFault(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[service] = &fault{at: now, probed: now}
}

// Broken reports whether the group of a service's engines is broken: every
// request to it would be turned away. Where only such an answer tells so, one
// request each probePause finds out whether it still is.
func (b *Balancer) Broken(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := b.groups[service]
	known := now.Sub(told.at) <= reportLifetime
	if known && told.state == fleet.GroupBroken {
		return true
	}
	f := b.faults[service]
	if f == nil {
		return false
	}
	// What came just after the answer may still be from before it.
	if known && told.at.Sub(f.at) > reportDelay || now.Sub(f.at) > faultLifetime {
		delete(b.faults, service)
		return false
	}
	if now.Sub(f.probed) >= probePause {
		f.probed = now
		return false
	}
	return true
}

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

// formingShare is the part of a group's slots that is used until its first map: their
// requests tell what is in demand, and their passes stay short.
const formingShare = 1.0 / 6

// Hold is why a request has to wait before it is sent; empty where it has not.
type Hold string

// The reasons to wait.
const (
	// HeldBroken means that the group is broken: every request would be turned away.
	HeldBroken Hold = "the group of engines is broken"
	// HeldForming means that the group gets its first map in a moment and has enough work
	// until then.
	HeldForming Hold = "the group of engines gets its first map"
	// HeldLate means that the request is late, and that such ones use their part of the
	// slots.
	HeldLate Hold = "late requests have their part of the slots"
)

// Holds returns whether a request has to wait for the group of a service's engines.
// Where only an answer tells that it is broken, one request each probePause finds out
// whether it still is.
func (b *Balancer) Holds(now time.Time, service *fleet.Service) Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := b.groups[service.Name]
	known := now.Sub(told.at) <= reportLifetime
	switch {
	case known && told.state == fleet.GroupBroken:
		return HeldBroken
	case known && told.state == fleet.GroupForming:
		if b.inFlight(service.Name) >= b.part(now, service, formingShare) {
			return HeldForming
		}
		return ""
	}
	if b.faulty(now, service.Name, told, known) {
		return HeldBroken
	}
	return ""
}

// inFlight returns the number of this entry's requests at a service; b.mu is held.
func (b *Balancer) inFlight(service string) int {
	n := 0
	for _, s := range b.services[service] {
		n += s.own.Requests
	}
	return n
}

// faulty reports whether the last answer tells of a broken group; b.mu is held.
func (b *Balancer) faulty(now time.Time, service string, told groupState, known bool) bool {
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

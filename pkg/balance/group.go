package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// groupKey names a group of a service's engines.
type groupKey struct{ service, group string }

func (s *server) key() groupKey { return groupKey{s.Service, s.Server.Group} }

// ReportGroupFault notes that a server turned a request away because its group is broken.
func (b *Balancer) ReportGroupFault(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		b.faults[s.key()] = &fault{at: now, probed: now}
	}
}

// formingShare is the part of a group's slots that is used until its first map: 24 of
// 144 requests tell what is in demand, and their passes take 0.03 to 0.04 s (planner's
// lines of a played day).
const formingShare = 1.0 / 6

// WaitReason is why a request has to wait before it is sent; empty where it has not.
type WaitReason string

// The reasons to wait.
const (
	// WaitGroupBroken means that the group is broken: every request would be turned away.
	WaitGroupBroken WaitReason = "the group of engines is broken"
	// WaitGroupForming means that the group gets its first map in a moment and has enough work
	// until then.
	WaitGroupForming WaitReason = "the group of engines gets its first map"
	// WaitLateLimit means that the request is late, and that such ones use their part of the
	// slots.
	WaitLateLimit WaitReason = "late requests have their part of the slots"
)

// WaitReason returns whether a request has to wait for the groups of a service's engines: it
// has not where one of them takes it. Where only an answer tells that a group is broken,
// one request each probePause finds out whether it still is.
func (b *Balancer) WaitReason(now time.Time, service *fleet.Service) WaitReason {
	b.mu.Lock()
	defer b.mu.Unlock()
	var hold WaitReason
	for key, members := range b.members[service.Name] {
		switch h := b.holds(now, key, members, service); {
		case h == "":
			return ""
		case hold != WaitGroupForming:
			hold = h
		}
	}
	return hold
}

// holds returns why a group takes no request now; b.mu is held.
func (b *Balancer) holds(now time.Time, key groupKey, members []*server, service *fleet.Service) WaitReason {
	if b.told(now, key) == fleet.GroupForming {
		inFlight := 0
		for _, s := range members {
			inFlight += s.own.Requests
		}
		if inFlight >= b.part(now, len(members)*service.Engine.Slots, formingShare) {
			return WaitGroupForming
		}
		return ""
	}
	if !b.brokenNow(now, key) {
		return ""
	}
	if f := b.faults[key]; f != nil && b.told(now, key) != fleet.GroupBroken && now.Sub(f.probed) >= probePause {
		f.probed = now
		return ""
	}
	return WaitGroupBroken
}

// told returns what a planner told of a group lately; empty for nothing. b.mu is held.
func (b *Balancer) told(now time.Time, key groupKey) fleet.GroupState {
	if g := b.groups[key]; now.Sub(g.at) <= reportLifetime {
		return g.state
	}
	return ""
}

// brokenNow reports whether a group is broken as far as is known; b.mu is held.
func (b *Balancer) brokenNow(now time.Time, key groupKey) bool {
	told := b.told(now, key)
	if told == fleet.GroupBroken {
		return true
	}
	f := b.faults[key]
	if f == nil {
		return false
	}
	// What came just after the answer may still be from before it.
	if told != "" && b.groups[key].at.Sub(f.at) > reportDelay || now.Sub(f.at) > faultLifetime {
		delete(b.faults, key)
		return false
	}
	return true
}

// inOpenGroups returns the engines whose group is not known to be broken; all of them
// where every group is. b.mu is held.
func (b *Balancer) inOpenGroups(now time.Time, candidates []*server) []*server {
	broken := make(map[groupKey]bool)
	var open []*server
	for _, s := range candidates {
		is, seen := broken[s.key()]
		if !seen {
			is = b.brokenNow(now, s.key())
			broken[s.key()] = is
		}
		if !is {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return candidates
	}
	return open
}

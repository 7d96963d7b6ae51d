package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// groupKey identifies a group of a service's engines.
type groupKey struct{ service, group string }

func (s *server) key() groupKey { return groupKey{s.Service, s.Server.Group} }

// ReportGroupFault records that a server refused a request because its group is broken.
func (b *Balancer) ReportGroupFault(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		b.faults[s.key()] = &fault{at: now, probed: now}
	}
}

// formingShare is the share of a group's slots that is used until its first expert map exists. 24
// requests at 144 slots are enough to measure the popularity of the experts, and keep their passes
// at 0.03 to 0.04 s.
const formingShare = 1.0 / 6

// WaitReason is why a request has to wait before it is sent; empty if it can be sent.
type WaitReason string

// The reasons for waiting.
const (
	// WaitGroupBroken means that the group is broken: it would refuse every request.
	WaitGroupBroken WaitReason = "the group of engines is broken"
	// WaitGroupForming means that the group does not have its first expert map yet and that the
	// requests in flight already use formingShare of its slots.
	WaitGroupForming WaitReason = "the group of engines has no expert map yet"
	// WaitLateLimit means that the request is late and that late requests already use their share
	// of the slots.
	WaitLateLimit WaitReason = "late requests already use their share of the slots"
)

// WaitReason returns why a request has to wait for the groups of a service's engines; empty if one
// of the groups accepts it. If only a response, and no planner, reported that a group is broken,
// one request per probeInterval is let through to probe the group.
func (b *Balancer) WaitReason(now time.Time, service *fleet.Service) WaitReason {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reason WaitReason
	for key, members := range b.groupMembers[service.Name] {
		switch r := b.groupWaitReason(now, key, members, service); {
		case r == "":
			return ""
		case reason != WaitGroupForming:
			reason = r
		}
	}
	return reason
}

// groupWaitReason returns why a group accepts no request now, and records the probe that it lets through. b.mu
// is held.
func (b *Balancer) groupWaitReason(now time.Time, key groupKey, members []*server, service *fleet.Service) WaitReason {
	if b.reportedState(now, key) != fleet.GroupForming {
		b.isBroken(now, key) // forgets a fault that has expired
	}
	reason, probes := b.peekGroupWait(now, key, members, service)
	if probes {
		b.faults[key].probed = now
	}
	return reason
}

// peekGroupWait returns why a group accepts no request now, and whether a request is let through as a probe. b.mu
// is held.
func (b *Balancer) peekGroupWait(now time.Time, key groupKey, members []*server, service *fleet.Service) (reason WaitReason, probes bool) {
	if b.reportedState(now, key) == fleet.GroupForming {
		inFlight := 0
		for _, s := range members {
			inFlight += s.ownLoad.Requests
		}
		if inFlight >= b.entryShare(now, len(members)*service.Engine.Slots, formingShare) {
			return WaitGroupForming, false
		}
		return "", false
	}
	if broken, _ := b.peekBroken(now, key); !broken {
		return "", false
	}
	if f := b.faults[key]; f != nil && b.reportedState(now, key) != fleet.GroupBroken && now.Sub(f.probed) >= probeInterval {
		return "", true
	}
	return WaitGroupBroken, false
}

// reportedState returns the state of a group in the planner's last report; empty if there is no
// recent report. b.mu is held.
func (b *Balancer) reportedState(now time.Time, key groupKey) fleet.GroupState {
	if g := b.groupStates[key]; now.Sub(g.at) <= reportLifetime {
		return g.state
	}
	return ""
}

// isBroken reports whether a group is known to be broken, and forgets a fault that has expired. b.mu is held.
func (b *Balancer) isBroken(now time.Time, key groupKey) bool {
	broken, expired := b.peekBroken(now, key)
	if expired {
		delete(b.faults, key)
	}
	return broken
}

// peekBroken reports whether a group is known to be broken, and whether its fault has expired. b.mu is held.
func (b *Balancer) peekBroken(now time.Time, key groupKey) (broken, expired bool) {
	reported := b.reportedState(now, key)
	if reported == fleet.GroupBroken {
		return true, false
	}
	f := b.faults[key]
	if f == nil {
		return false, false
	}
	// A report that arrives within maxReportDelay of the fault may be older than the fault.
	if reported != "" && b.groupStates[key].at.Sub(f.at) > maxReportDelay || now.Sub(f.at) > faultLifetime {
		return false, true
	}
	return true, false
}

// skipGroups returns the engines whose group is not to be skipped, or all of them if every group is.
func skipGroups(candidates []*server, skip func(groupKey) bool) []*server {
	skipped := make(map[groupKey]bool)
	var kept []*server
	for _, s := range candidates {
		groupSkipped, checked := skipped[s.key()]
		if !checked {
			groupSkipped = skip(s.key())
			skipped[s.key()] = groupSkipped
		}
		if !groupSkipped {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

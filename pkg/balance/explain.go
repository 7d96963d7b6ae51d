package balance

import (
	"fmt"
	"time"

	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// Explanation says where a request for a service would be sent now, and why.
type Explanation struct {
	// Wait is why the request would wait for the service's groups; empty if it would not.
	Wait WaitReason
	// Rule says how one of the candidates is chosen.
	Rule string
	// Servers are all servers of the service.
	Servers []Candidate
	// Cheapest is the index in Servers of the candidate with the lowest cost; -1 if there is none.
	Cheapest int
	// SlotWait is the time that the request is expected to wait for a slot of the cheapest candidate.
	SlotWait time.Duration
}

// Candidate is one server in an Explanation. All costs are in ordinary requests.
type Candidate struct {
	ID, Group string
	// LeftOut is why the server is not used; empty for a candidate.
	LeftOut string
	// Requests is the number of requests that this entry expects at the server.
	Requests float64
	// Cost is the sum of Load, Failures and Unresponsive. The cost of two servers that differ by less than
	// 0.8 may be reversed by chance, unless the loads are predicted.
	Cost, Load, Failures, Unresponsive float64
	// Chance is the probability of the choice if the loads are predicted.
	Chance float64
}

// Explain returns where a request would be sent now, as Choose and WaitReason decide. It changes no state: it takes
// no permit, sends no probe, and uses predicted loads as of the last choice or report.
func (b *Balancer) Explain(now time.Time, service *fleet.Service) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := Explanation{Wait: b.peekWaitReason(now, service), Cheapest: -1}
	e := b.evenLoads[service.Name]
	predicts := e != nil && service.Engine != nil && b.predicts(now, e)
	if predicts {
		copied := *e // fillLevel uses its slice and its engine
		copied.engine, copied.costs = service.Engine, nil
		e = &copied
	}
	loads := b.sumEntryLoads(now)
	index := make(map[*server]int)
	var candidates []*server
	for _, s := range b.services[service.Name] {
		c := Candidate{ID: s.ID, Group: s.Server.Group, LeftOut: b.peekLeftOut(now, service, s), Failures: s.penalty(now)}
		if b.unresponsive(now, s) {
			c.Unresponsive = 2 * failureCost
		}
		if predicts {
			c.Requests = s.predicted()
			c.Load = s.engineCost(now, service.Engine, c.Requests, 0)
		} else {
			c.Requests = float64(s.ownLoad.Requests + loads[s.ID].Requests)
			if service.Engine != nil {
				c.Requests = float64(s.requests(now, loads[s.ID]))
			}
			c.Load = s.cost(now, service.Engine, loads[s.ID], 0) - c.Failures
		}
		c.Cost = c.Load + c.Failures + c.Unresponsive
		if c.LeftOut == "" {
			candidates = append(candidates, s)
		}
		index[s] = len(x.Servers)
		x.Servers = append(x.Servers, c)
	}
	for _, s := range b.servers {
		if s.Service == service.Name && s.evacuated {
			x.Servers = append(x.Servers, Candidate{ID: s.ID, Group: s.Server.Group, LeftOut: "its failure domain is evacuated: " + s.Zone})
		}
	}
	narrow := func(kept []*server, reason string) {
		remaining := make(map[*server]bool, len(kept))
		for _, s := range kept {
			remaining[s] = true
		}
		for _, s := range candidates {
			if !remaining[s] {
				x.Servers[index[s]].LeftOut = reason
			}
		}
		candidates = kept
	}
	narrow(b.skipCold(now, candidates), "it was cold until lately, and has got this entry's share")
	if service.Engine != nil {
		narrow(skipGroups(candidates, func(key groupKey) bool { broken, _ := b.peekBroken(now, key); return broken }), "its group is broken")
		narrow(skipGroups(candidates, func(key groupKey) bool { return b.groupStalled(now, key) }), "its group is stalled")
	}
	switch {
	case len(candidates) == 0:
		x.Rule = "no server can be used"
	case predicts:
		x.Rule = "drawn by the predicted loads: the cheapest servers are raised to the same cost"
		count := max(b.completionRate(service.Name, e)*horizon.Seconds(), 1)
		level := b.fillLevel(now, e, candidates, count)
		for i, s := range candidates {
			x.Servers[index[s]].Chance = max(level-e.costs[i], 0) / count
		}
	case len(candidates) <= maxFullComparison:
		x.Rule = "the cheapest of all"
	default:
		size := sampleSize
		if service.Engine != nil {
			if free := b.withFreeSlot(now, service, candidates, loads); len(free) == 0 {
				size = saturatedSampleSize
			} else {
				narrow(free, "it has no free slot while others have one")
			}
		}
		x.Rule = fmt.Sprintf("the cheapest of a random sample of %d", min(size, len(candidates)))
	}
	for _, s := range candidates {
		if i := index[s]; x.Cheapest < 0 || x.Servers[i].Cost < x.Servers[x.Cheapest].Cost {
			x.Cheapest = i
			x.SlotWait = b.slotWait(service, s.requests(now, loads[s.ID]))
		}
	}
	return x
}

// peekLeftOut returns why a server gets no request, apart from the state of its group; empty if it may get
// one. b.mu is held.
func (b *Balancer) peekLeftOut(now time.Time, service *fleet.Service, s *server) string {
	switch {
	case b.isPaused(now, s):
		return fmt.Sprintf("it asked for a pause, %v left", b.pauses[s.ID].until.Sub(now).Round(time.Millisecond))
	case b.limits.Peek(now, s.ID, s.Incarnation) == ratelimit.Closed:
		return "it is at its rate limit"
	case b.cold.Admission(now, s.Server) == coldstart.Closed:
		return "it is cold, and has got this entry's share of the requests that it takes"
	case s.ownLoad.Requests >= b.connectionShare(service):
		return fmt.Sprintf("this entry uses its share of %d connections", b.connectionShare(service))
	}
	return ""
}

// PeekWaitReason returns what WaitReason would return. It lets no request through as a probe of a broken group.
func (b *Balancer) PeekWaitReason(now time.Time, service *fleet.Service) WaitReason {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peekWaitReason(now, service)
}

// peekWaitReason is PeekWaitReason. b.mu is held.
func (b *Balancer) peekWaitReason(now time.Time, service *fleet.Service) WaitReason {
	var reason WaitReason
	for key, members := range b.groupMembers[service.Name] {
		r, _ := b.peekGroupWait(now, key, members, service)
		if r == "" {
			return ""
		}
		if reason != WaitGroupForming {
			reason = r
		}
	}
	return reason
}

// WouldRefuse returns what ShouldRefuse would return, without a change of the state of the queue.
func (b *Balancer) WouldRefuse(now time.Time, service string, wait time.Duration, limits QueueLimits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[service]
	if q == nil {
		return false
	}
	if copied := *q; q.standing {
		return copied.refuseStanding(now, wait, limits)
	}
	return wait > limits.MaxWait && now.Sub(q.drainedAt) > standingTime
}

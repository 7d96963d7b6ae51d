package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// Choose returns the server with the lowest cost that is neither excluded nor paused and has reached neither its rate
// limit nor this entry's share of its connections or, while it is cold, of its requests. A server with a limit may need
// a permit. In large services it compares only a random sample: load reports are older than the interval at which a
// server gets new requests, so all entries would otherwise choose the same server. In large fleets it spreads requests
// by the predicted load of the engines. random returns uniform values in [0, 1).
func (b *Balancer) Choose(now time.Time, service *fleet.Service, exclude map[string]bool, random func() float64) (fleet.Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := make([]*server, 0, len(b.services[service.Name]))
	limited, connections := b.limits.Any(), b.connectionShare(service)
	for _, s := range b.services[service.Name] {
		closed := limited && b.limits.Admission(now, s.ID, s.Incarnation) == ratelimit.Closed
		if !exclude[s.ID] && !b.isPaused(now, s) && !closed && s.ownLoad.Requests < connections {
			candidates = append(candidates, s)
		}
	}
	candidates, recovering := b.skipCold(now, candidates)
	if service.Engine != nil {
		candidates = skipGroups(candidates, func(key groupKey) bool { return b.isBroken(now, key) })
		// If all groups are stalled, this process may have been suspended itself.
		candidates = skipGroups(candidates, func(key groupKey) bool { return b.groupStalled(now, key) })
	}
	candidates = skipRecovering(candidates, recovering) // a group that refuses all requests is no alternative
	if b.usesPrediction(now, service) {
		return b.chooseEven(now, service, candidates, random)
	}
	loads := b.sumEntryLoads(now)
	if len(candidates) <= maxFullComparison {
		return b.cheapest(now, service, candidates, loads, random)
	}
	size := sampleSize
	if service.Engine != nil {
		// A request must not wait at one engine while another has a free slot.
		free := b.withFreeSlot(now, service, candidates, loads)
		if len(free) == 0 {
			size = saturatedSampleSize
		} else {
			candidates = free
		}
	}
	return b.cheapest(now, service, sample(candidates, size, random), loads, random)
}

// withFreeSlot returns the engines that have a free slot. b.mu is held.
func (b *Balancer) withFreeSlot(now time.Time, service *fleet.Service, candidates []*server, loads map[string]Load) []*server {
	var free []*server
	for _, s := range candidates {
		if s.requests(now, loads[s.ID]) < service.Engine.Slots {
			free = append(free, s)
		}
	}
	return free
}

// cheapest returns the candidate with the lowest cost. b.mu is held.
func (b *Balancer) cheapest(now time.Time, service *fleet.Service, candidates []*server, loads map[string]Load, random func() float64) (fleet.Server, bool) {
	var best *server
	lowest := 0.0
	for _, s := range candidates {
		cost := s.cost(now, service.Engine, loads[s.ID], random())
		if b.unresponsive(now, s) {
			cost += 2 * failureCost
		}
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best == nil {
		return fleet.Server{}, false
	}
	return best.Server, true
}

// sample returns a random sample of the candidates. It reorders candidates in place.
func sample(candidates []*server, count int, random func() float64) []*server {
	count = min(count, len(candidates))
	for i := range count {
		j := i + int(random()*float64(len(candidates)-i))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:count]
}

func (b *Balancer) sumEntryLoads(now time.Time) map[string]Load {
	sum := make(map[string]Load, len(b.servers))
	for _, o := range b.entries {
		if now.Sub(o.at) > entryLoadLifetime {
			continue
		}
		for id, l := range o.loads {
			t := sum[id]
			sum[id] = Load{t.Requests + l.Requests, t.Tokens + l.Tokens}
		}
	}
	return sum
}

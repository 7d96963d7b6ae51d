package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/shortage"
)

// Capacity returns what this entry knows about the slots of a service's engines. Engines that do not respond and
// broken groups have none.
func (b *Balancer) Capacity(now time.Time, service *fleet.Service) shortage.Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := shortage.Capacity{StreamTime: b.meanStreamTime[service.Name]}
	if c.StreamTime == 0 {
		c.StreamTime = defaultStreamTime
	}
	if service.Engine == nil {
		return c
	}
	loads := b.sumEntryLoads(now)
	for key, members := range b.groupMembers[service.Name] {
		if b.isBroken(now, key) || b.groupStalled(now, key) {
			continue
		}
		for _, s := range members {
			if b.unresponsive(now, s) || b.isPaused(now, s) {
				continue
			}
			c.Slots += service.Engine.Slots
			c.Free += max(service.Engine.Slots-s.requests(now, loads[s.ID]), 0)
		}
	}
	return c
}

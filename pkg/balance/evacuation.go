package balance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// SetEvacuated replaces the failure domains whose servers get no requests. Their state is kept, since
// requests in flight there go on.
func (b *Balancer) SetEvacuated(domains map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuated = maps.Clone(domains)
	list := slices.SortedFunc(maps.Values(b.servers), func(s, other *server) int { return cmp.Compare(s.Address, other.Address) })
	b.index(list)
}

// Evacuated reports whether a server gets no requests because its failure domain is evacuated. A server that has left
// or restarted since it was chosen is not.
func (b *Balancer) Evacuated(s fleet.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.servers[s.ID]
	return current != nil && current.evacuated && current.Incarnation == s.Incarnation
}

// EvacuatedReason says which evacuated failure domains leave a service without a server; empty if it has
// one, or none in these domains.
func (b *Balancer) EvacuatedReason(service string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.evacuated) == 0 || len(b.services[service]) > 0 {
		return ""
	}
	count, domains := 0, make(map[string]bool)
	for _, s := range b.servers {
		if s.Service == service && s.evacuated {
			count++
			domains[s.Zone] = true
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("all %d backend servers are in evacuated failure domains: %s", count, strings.Join(slices.Sorted(maps.Keys(domains)), ", "))
}

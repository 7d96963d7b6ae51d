package balance

import (
	"fmt"
	"math"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// connectionShare returns how many requests this entry may have in flight at each server of a service: its
// equal share of the connections that the server accepts from all entries. An entry has no more connections
// than it had requests in flight lately.
func (b *Balancer) connectionShare(service *fleet.Service) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(service.MaxConnections/b.limits.Entries(), 1)
}

// PermitAwaited reports whether a permit for a server of a service has been asked for and the answer is
// expected soon.
func (b *Balancer) PermitAwaited(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services[service] {
		if b.limits.Awaited(now, s.ID, s.Incarnation) {
			return true
		}
	}
	return false
}

// RateLimitReason says which rate limits keep requests from the servers of a service; empty if none does.
func (b *Balancer) RateLimitReason(now time.Time, service string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	reason, count := "", 0
	for _, s := range b.services[service] {
		if b.limits.Admission(now, s.ID, s.Incarnation) != ratelimit.Closed {
			continue
		}
		count++
		if limit, ok := b.limits.Describe(now, s.ID, s.Incarnation); ok && reason == "" {
			reason = fmt.Sprintf("%s takes %g requests per second of all entries, stated %v ago", s.ID, limit.Stated, limit.Age.Round(time.Millisecond))
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("rate limits are reached at %d of %d backend servers: %s", count, len(b.services[service]), reason)
}

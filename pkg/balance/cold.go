package balance

import (
	"fmt"
	"time"

	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// LimitCold makes the balancer send no more requests to cold servers than l permits. It must be called before
// any other method.
func (b *Balancer) LimitCold(l *coldstart.Limiter) { b.cold = l }

// skipCold removes the candidates that this entry may not use now because they are cold. It also returns those of the
// remaining ones that were cold until lately and have got this entry's share. b.mu is held.
func (b *Balancer) skipCold(now time.Time, candidates []*server) (usable []*server, recovering map[*server]bool) {
	if !b.cold.Active() {
		return candidates, nil
	}
	for _, s := range candidates {
		switch b.cold.Admission(now, s.Server) {
		case coldstart.Closed:
			continue
		case coldstart.Recovering:
			if recovering == nil {
				recovering = make(map[*server]bool)
			}
			recovering[s] = true
		}
		usable = append(usable, s)
	}
	return usable, recovering
}

// skipRecovering removes the recovering candidates if others remain.
func skipRecovering(candidates []*server, recovering map[*server]bool) []*server {
	if len(recovering) == 0 {
		return candidates
	}
	var kept []*server
	for _, s := range candidates {
		if !recovering[s] {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// TakeCold records that a request is about to be sent to a server that was chosen earlier. It reports false if the
// server is cold and has meanwhile got this entry's share.
func (b *Balancer) TakeCold(now time.Time, s fleet.Server) bool { return b.cold.Take(now, s) }

// IsCold reports whether a server is cold and takes few requests for that reason.
func (b *Balancer) IsCold(now time.Time, s fleet.Server) bool { return b.cold.Cold(now, s) }

// RefuseCold says how many servers of a service get no request because they are cold, and counts the refusal. It is
// empty if there is none.
func (b *Balancer) RefuseCold(now time.Time, service string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	closed := 0
	for _, s := range b.services[service] {
		if b.cold.Admission(now, s.Server) == coldstart.Closed {
			closed++
		}
	}
	if closed == 0 {
		return ""
	}
	b.cold.RecordRefusal()
	return fmt.Sprintf("this entry's share of the requests to cold servers is used at %d of %d backend servers", closed, len(b.services[service]))
}

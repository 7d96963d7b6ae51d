package gateway

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/gossip"
)

// sharedState is a part of the state that entries tell each other in their periodic messages. Its methods are
// called without Gateway.mu.
type sharedState interface {
	// collect sets the part in a message of this entry.
	collect(now time.Time, message *gossip.EntryState)
	// merge adopts the part from a message of another entry.
	merge(now time.Time, message *gossip.EntryState)
}

// sharedStates returns all parts.
func (g *Gateway) sharedStates() []sharedState {
	return []sharedState{
		(*sharedLoads)(g), (*sharedBudget)(g), (*sharedLeaving)(g), (*sharedDrains)(g), (*sharedEvacuations)(g), (*sharedPrompts)(g), (*sharedRateLimits)(g),
	}
}

// sharedLoads are the requests in flight at backend servers.
type sharedLoads Gateway

func (s *sharedLoads) collect(_ time.Time, message *gossip.EntryState) {
	s.mu.Lock()
	entries := len(s.peerAddresses)
	s.mu.Unlock()
	if entries < smallFleetEntries { // otherwise planners report the engines' load
		message.InFlight = s.balancer.OwnLoads()
	}
}

func (s *sharedLoads) merge(now time.Time, message *gossip.EntryState) {
	s.balancer.SetEntryLoads(now, message.Name, message.InFlight)
}

// sharedBudget are the counts of the retry budget.
type sharedBudget Gateway

func (s *sharedBudget) collect(now time.Time, message *gossip.EntryState) {
	s.mu.Lock()
	for name := range s.peerAddresses {
		if !s.directory.Live(now, name) {
			s.budget.RemoveEntry(name)
		}
	}
	s.mu.Unlock()
	message.Budget = s.budget.Snapshot(now)
}

func (s *sharedBudget) merge(_ time.Time, message *gossip.EntryState) {
	s.budget.SetEntryCounts(message.Name, message.Budget)
}

// sharedLeaving are the backend servers that have said that they are leaving.
type sharedLeaving Gateway

func (s *sharedLeaving) collect(_ time.Time, message *gossip.EntryState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	message.Leaving = sampleLeaving(s.roster.Leaving())
}

func (s *sharedLeaving) merge(_ time.Time, message *gossip.EntryState) {
	(*Gateway)(s).markLeaving(message.Leaving, message.Name)
}

// sharedPrompts is what is known about prompts that crash servers.
type sharedPrompts Gateway

func (s *sharedPrompts) collect(now time.Time, message *gossip.EntryState) {
	if prompts := s.prompts.Periodic(now); !prompts.Empty() {
		message.Prompts = &prompts
	}
}

func (s *sharedPrompts) merge(now time.Time, message *gossip.EntryState) {
	if message.Prompts != nil {
		s.prompts.Merge(now, *message.Prompts)
	}
}

// sharedRateLimits are the rate limits that backend servers have stated.
type sharedRateLimits Gateway

func (s *sharedRateLimits) collect(now time.Time, message *gossip.EntryState) {
	s.mu.Lock()
	ready, known := s.directory.ReadyEntries(now, knownEntryTime)
	s.mu.Unlock()
	s.rateLimits.SetEntries(now, ready, known)
	if limits := s.rateLimits.Periodic(now); !limits.Empty() {
		message.RateLimits = &limits
	}
}

func (s *sharedRateLimits) merge(now time.Time, message *gossip.EntryState) {
	if message.RateLimits != nil {
		s.rateLimits.Merge(now, message.Name, *message.RateLimits)
	}
}

// sharedDrains are the servers of which an entry has just read that they drain.
type sharedDrains Gateway

func (s *sharedDrains) collect(now time.Time, message *gossip.EntryState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	message.Draining = s.drains.recent(now)
}

func (s *sharedDrains) merge(now time.Time, message *gossip.EntryState) {
	(*Gateway)(s).markDraining(now, message.Draining, message.Name)
}

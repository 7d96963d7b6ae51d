package balance

import "time"

const (
	// groupStallTime is how long the engines of a group may send this entry nothing, while requests
	// wait for them, before the group counts as stalled: all ranks of a group begin each pass
	// together, so one that is suspended or has crashed stops all of them. A pass takes 0.25 s at
	// the most under the map of the formation, and the switch of a map holds one for 0.1 s.
	groupStallTime = 500 * time.Millisecond
	// minStalledRequests is the number of requests that must wait. A single one may wait for a reason
	// of its own.
	minStalledRequests = 2
	// groupStallHold is how long a group counts as stalled after the last of the waiting requests
	// was given up, before it is tried again.
	groupStallHold = time.Second
)

// groupProgress is what this entry knows about the progress of a group.
type groupProgress struct {
	// silentSince is when the group last sent anything, or when the first of the requests in flight
	// was sent if that is later.
	silentSince time.Time
	// avoidUntil is the end of groupStallHold.
	avoidUntil time.Time
}

// Progress records that a server has sent a part of a response.
func (b *Balancer) Progress(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		if !s.silentSince.IsZero() {
			s.silentSince = now
		}
		b.recordProgress(now, s)
	}
}

// recordProgress records that a server has sent something. b.mu is held.
func (b *Balancer) recordProgress(now time.Time, s *server) {
	if g := b.progress[s.key()]; g != nil {
		g.silentSince, g.avoidUntil = now, time.Time{}
	}
}

// beforeLoadChange updates the progress of a server's group before the number of requests at the server
// changes. b.mu is held.
func (b *Balancer) beforeLoadChange(now time.Time, s *server, ended bool) {
	key := s.key()
	g := b.progress[key]
	switch {
	case key.group == "":
	case g == nil:
		b.progress[key] = &groupProgress{silentSince: now}
	case ended && b.groupStalled(now, key):
		g.avoidUntil = now.Add(groupStallHold)
	case b.groupRequests(key) == 0:
		g.silentSince = now
	}
}

// groupRequests returns the number of this entry's requests at the engines of a group. b.mu is held.
func (b *Balancer) groupRequests(key groupKey) int {
	requests := 0
	for _, s := range b.groupMembers[key.service][key] {
		requests += s.ownLoad.Requests
	}
	return requests
}

// groupStalled reports whether a group sends nothing although requests wait for it. b.mu is held.
func (b *Balancer) groupStalled(now time.Time, key groupKey) bool {
	g := b.progress[key]
	if g == nil {
		return false
	}
	return now.Before(g.avoidUntil) || now.Sub(g.silentSince) > groupStallTime && b.groupRequests(key) >= minStalledRequests
}

// forgetGroups removes the progress of groups without servers. b.mu is held.
func (b *Balancer) forgetGroups() {
	for key := range b.progress {
		if len(b.groupMembers[key.service][key]) == 0 {
			delete(b.progress, key)
		}
	}
}

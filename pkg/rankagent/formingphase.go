package rankagent

import "time"

// maxFormingTime bounds how long requests wait for the first map of a group that has just formed.
// Reading the counts, copying the experts and the orders take 0.3 s.
const maxFormingTime = 800 * time.Millisecond

// formingPhase is the time from the formation of a group to its first map. Requests that queued
// while the group was broken would otherwise all be sent when it opens. Under the initial map those
// passes last half a second each, which delays later requests too.
type formingPhase struct{ until time.Time }

// begin starts the phase for a group that has just formed, unless it already has a map.
func (p *formingPhase) begin(now time.Time, version int64) {
	*p = formingPhase{}
	if version == 0 {
		p.until = now.Add(maxFormingTime)
	}
}

func (p *formingPhase) active(now time.Time) bool { return now.Before(p.until) }

func (p *formingPhase) end() { p.until = time.Time{} }

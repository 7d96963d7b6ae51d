package rankagent

import "time"

// openingTime is how long most requests wait for the first map of a group that has just
// formed, at most: counts, copies and orders take 0.3 s.
const openingTime = 800 * time.Millisecond

// opening is the time between a group's formation and its first map. All that came
// while the group was broken would be sent at once when it opens: under the map of the
// formation those passes last half a second each, and what follows is late as well.
type opening struct{ until time.Time }

// begin starts it for a group that has just formed.
func (o *opening) begin(now time.Time, version int64) {
	*o = opening{}
	if version == 0 {
		o.until = now.Add(openingTime)
	}
}

func (o *opening) lasts(now time.Time) bool { return now.Before(o.until) }

func (o *opening) end() { o.until = time.Time{} }

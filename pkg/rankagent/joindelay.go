package rankagent

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxJoinDelay is the longest time that an agent waits, after no planner has called for
	// plannerTimeout, before it joins the election.
	maxJoinDelay = 2 * time.Second
	// joinDelayAgents is the number of agents for which the spread of the delays is chosen.
	joinDelayAgents = 1000
)

// joinDelay returns a random delay before an agent joins the election. The delays are distributed
// exponentially towards maxJoinDelay, as in feedback suppression for multicast: whatever the number of
// agents, few draw a short delay, and the others hear of the planner before they join.
func joinDelay() time.Duration {
	u := 1 - rand.Float64() // in (0, 1]
	fraction := 1 + math.Log(u)/math.Log(joinDelayAgents)
	return time.Duration(max(fraction, 0) * float64(maxJoinDelay))
}

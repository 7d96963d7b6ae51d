package rankagent

import (
	"slices"
	"testing"
	"time"
)

// TestFewAgentsJoinTheElectionAtOnce checks that, when the planner falls silent, few agents join
// before the first of them has been elected and has called the others. 0.7 s is the time for that:
// two election calls, a read of the topics, and a round of calls.
func TestFewAgentsJoinTheElectionAtOnce(t *testing.T) {
	const takeover, maxJoined = 700 * time.Millisecond, 24
	for _, agents := range []int{8, 64, 129, 400, 1000} {
		total := 0
		const rounds = 100
		for range rounds {
			delays := make([]time.Duration, agents)
			for i := range delays {
				delays[i] = joinDelay()
			}
			slices.Sort(delays)
			if last := delays[agents-1]; last > maxJoinDelay {
				t.Fatalf("an agent joins after %v, want at most %v", last, maxJoinDelay)
			}
			joined, _ := slices.BinarySearch(delays, delays[0]+takeover)
			total += joined
		}
		t.Logf("%d agents: %d join on average", agents, total/rounds)
		if total/rounds > maxJoined {
			t.Errorf("%d of %d agents join on average, want at most %d", total/rounds, agents, maxJoined)
		}
	}
}

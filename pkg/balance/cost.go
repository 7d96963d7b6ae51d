package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// cost returns the expected cost of one more request, in ordinary requests.
func (s *server) cost(now time.Time, engine *fleet.Engine, others Load, random float64) float64 {
	load := Load{s.ownLoad.Requests + others.Requests, s.ownLoad.Tokens + others.Tokens}
	cost := float64(load.Requests) + jitterRequests*random
	if engine != nil {
		load.Requests = s.requests(now, others)
		cost = s.engineCost(now, engine, load) + jitterRequests*random
	} else {
		// The latency of the server weights its requests.
		cost = (cost + 1) * (float64(s.expectedLatency(now))/float64(100*time.Millisecond) + 0.3)
	}
	cost += failureCost * s.failureRate(now)
	if now.Before(s.avoidUntil) {
		cost += 2 * failureCost
	}
	return cost
}

// reportIsFresh reports whether the planner's last report of the engine may still be used.
func (s *server) reportIsFresh(now time.Time) bool { return now.Sub(s.engineAt) <= reportLifetime }

func (s *server) engineCost(now time.Time, engine *fleet.Engine, load Load) float64 {
	usual := engine.MeanPromptTokens + engine.MeanAnswerTokens
	cost := float64(load.Requests)
	if usual > 0 && load.Tokens > 0 {
		cost = (cost + float64(load.Tokens)/usual) / 2
	}
	if over := load.Requests + 1 - engine.Slots; over > 0 {
		cost += waitingCost * float64(over)
	}
	if s.reportIsFresh(now) && s.engine.Slowdown > 1 {
		// A slow engine also takes longer for steps that process no request.
		cost = (cost+stepRequests(engine))*s.engine.Slowdown - stepRequests(engine)
	}
	return cost
}

// stepRequests returns the number of requests that add as much time to a token step as an empty
// step takes.
func stepRequests(engine *fleet.Engine) float64 {
	if engine.PerRequestMS <= 0 {
		return 0
	}
	return engine.StepMS / engine.PerRequestMS
}

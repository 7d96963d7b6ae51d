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
		cost = s.engineCost(now, engine, float64(s.requests(now, others)), load.Tokens) + jitterRequests*random
	} else {
		// The latency of the server weights its requests.
		cost = (cost + 1) * (float64(s.expectedLatency(now))/float64(100*time.Millisecond) + 0.3)
	}
	return cost + s.penalty(now)
}

// penalty returns the cost of the failures of a server, in ordinary requests.
func (s *server) penalty(now time.Time) float64 {
	cost := failureCost * s.failureRate(now)
	if now.Before(s.avoidUntil) {
		cost += 2 * failureCost
	}
	return cost
}

// reportIsFresh reports whether the planner's last report of the engine may still be used.
func (s *server) reportIsFresh(now time.Time) bool { return now.Sub(s.engineAt) <= reportLifetime }

func (s *server) engineCost(now time.Time, engine *fleet.Engine, requests float64, tokens int) float64 {
	usual := engine.MeanPromptTokens + engine.MeanAnswerTokens
	cost := requests
	if usual > 0 && tokens > 0 {
		cost = (cost + float64(tokens)/usual) / 2
	}
	if over := requests + 1 - float64(engine.Slots); over > 0 {
		cost += waitingCost * over
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

package balance

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// cost is the expected cost of one more request, in usual requests.
func (s *server) cost(now time.Time, engine *fleet.Engine, elsewhere Load, random float64) float64 {
	load := Load{s.own.Requests + elsewhere.Requests, s.own.Tokens + elsewhere.Tokens}
	cost := float64(load.Requests) + jitter*random
	if engine != nil {
		load.Requests = s.requests(now, elsewhere)
		cost = s.engineCost(now, engine, load) + jitter*random
	} else {
		// The time that the server takes weighs each request.
		cost = (cost + 1) * (float64(s.latency)/float64(100*time.Millisecond) + 0.3)
	}
	cost += failureCost * s.failuresNow(now)
	if now.Before(s.suspect) {
		cost += 2 * failureCost
	}
	return cost
}

// known reports whether a planner has told of the engine lately.
func (s *server) known(now time.Time) bool { return now.Sub(s.engineAt) <= reportLifetime }

func (s *server) engineCost(now time.Time, engine *fleet.Engine, load Load) float64 {
	usual := engine.MeanPromptTokens + engine.MeanAnswerTokens
	cost := float64(load.Requests)
	if usual > 0 && load.Tokens > 0 {
		cost = (cost + float64(load.Tokens)/usual) / 2
	}
	if over := load.Requests + 1 - engine.Slots; over > 0 {
		cost += waitingCost * float64(over)
	}
	if s.known(now) && s.engine.Pace > 1 {
		// A slow engine takes longer for each step without any request as well.
		cost = (cost+stepRequests(engine))*s.engine.Pace - stepRequests(engine)
	}
	return cost
}

// stepRequests is the number of requests that add as much to a token step as it takes by
// itself.
func stepRequests(engine *fleet.Engine) float64 {
	if engine.PerRequestMS <= 0 {
		return 0
	}
	return engine.StepMS / engine.PerRequestMS
}

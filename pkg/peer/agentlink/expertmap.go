package agentlink

import (
	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

// Names of the control methods for expert maps. Planners call them once per planning round;
// none of them is called during a step.
const (
	// MethodRankState returns the state of the agent's rank, an engine.RankState.
	MethodRankState = "rankState"
	// MethodPopularity returns the popularity of the experts of the group, an
	// engine.Popularity.
	MethodPopularity = "popularity"
	// MethodExpertMap returns the newest map of the rank, an expertmap.Map.
	MethodExpertMap = "expertMap"
	// MethodOrderMap orders the agent to install a map. It takes an OrderMapRequest and returns
	// an OrderMapReply.
	MethodOrderMap = "orderMap"
)

// GroupRank identifies the rank of a group that an agent serves.
type GroupRank struct {
	// Group is the name of the group within the pool. It is empty for an engine that is not part
	// of a group.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	Ranks int    `json:"ranks"`
}

// OrderMapRequest orders an agent to install a map at its rank.
type OrderMapRequest struct {
	// Fencing is the fencing number of the planner's lease. The agent refuses a number lower than
	// the highest that it has received, with the kind FencedOff.
	Fencing int64         `json:"fencing"`
	Map     expertmap.Map `json:"map"`
}

// OrderMapReply confirms that the agent has accepted the order. It loads the weights later.
type OrderMapReply struct {
	// Highest is the highest fencing number that the agent has received.
	Highest int64 `json:"highestFencing"`
}

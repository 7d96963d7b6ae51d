package agentlink

import (
	"github.com/fescuehub/fescuehub/pkg/expertmap"
)

// Names of the control methods of expert maps. Planners call them once a
// round; nothing of them happens in a step.
const (
	// MethodRankState asks for the state of the agent's rank: answered by
	// engine.RankState.
	MethodRankState = "rankState"
	// MethodPopularity asks for the popularity of the experts of the group:
	// answered by engine.Popularity.
	MethodPopularity = "popularity"
	// MethodExpertMap asks for the newest map of the rank: answered by an
	// expertmap.Map.
	MethodExpertMap = "expertMap"
	// MethodOrderMap orders a map: OrderMap, answered by OrderMapReply.
	MethodOrderMap = "orderMap"
)

// GroupRank says which rank of which group an agent stands before.
type GroupRank struct {
	// Group is the name of the group within the pool, empty for an engine of
	// its own.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	Ranks int    `json:"ranks"`
}

// OrderMapRequest tells an agent to bring a map to its rank.
type OrderMapRequest struct {
	// Fencing is the number of the planner's lease. An older one than the agent
	// has seen is refused with the kind FencedOff.
	Fencing int64         `json:"fencing"`
	Map     expertmap.Map `json:"map"`
}

// OrderMapReply tells that the order was taken. The weights are loaded later.
type OrderMapReply struct {
	Highest int64 `json:"highestFencing"`
}

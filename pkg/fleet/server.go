package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Server is a backend server as it announces itself. An announcement that can't
// be read leaves Usable false.
type Server struct {
	ID      string
	Service string
	// Address is the IP:port for requests.
	Address string
	Zone    string
	// Slots is the number of requests that it processes at once.
	Slots int
	// Draining servers take no new work.
	Draining bool
	// Incarnation tells one start from another under the same ID.
	Incarnation int64
	// WarmupLeft is how much longer the server stays slow after its start.
	WarmupLeft time.Duration
	// Group, Rank and Ranks place an engine in a group of ranks; Ranks is 0
	// outside of groups.
	Group string
	Rank  int
	Ranks int
}

// NewestByAddress leaves out the announcements of servers whose address another
// one has taken since: after a start under a new ID, or for another service. It returns
// the others in the order of their addresses.
func NewestByAddress(servers []Server) []Server {
	newest := make(map[string]Server, len(servers))
	for _, s := range servers {
		if old, ok := newest[s.Address]; !ok || s.Incarnation > old.Incarnation || s.Incarnation == old.Incarnation && s.ID > old.ID {
			newest[s.Address] = s
		}
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b Server) int { return strings.Compare(a.Address, b.Address) })
}

// GroupState is the state of the group of ranks that an engine belongs to.
type GroupState string

// The states of a group.
const (
	GroupOpen GroupState = "open"
	// GroupForming groups are open and get their first better map in a moment: a few
	// requests tell what is in demand, the others wait for it.
	GroupForming GroupState = "forming"
	GroupBroken  GroupState = "broken"
)

// EngineReport is what an engine says of itself.
type EngineReport struct {
	// Stale reports were read from another instance: they show what was some
	// hundred milliseconds ago.
	Stale   bool `json:"-"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	// MemoryUsed is the memory that can't yield, in tokens.
	MemoryUsed int `json:"memoryUsed"`
	// Slowdown above 1 means that the engine is slow.
	Slowdown float64 `json:"pace"`
	// Orders counts the orders that have begun something since Born.
	Orders      int64 `json:"orders"`
	Incarnation int64 `json:"born"`

	Group string     `json:"group,omitempty"`
	Epoch int64      `json:"epoch,omitempty"`
	Rank  int        `json:"rank"`
	Ranks int        `json:"ranks,omitempty"`
	State GroupState `json:"state,omitempty"`
	// Step is the last pass that was begun.
	Step int64 `json:"step"`
	// Map is the version of the map in use.
	Map int64 `json:"map"`
	// Prepared is the version whose experts are all copied; 0 is none.
	Prepared int64 `json:"prepared,omitempty"`
	// Armed is the version that the rank switches to at ArmedStep; 0 is none.
	Armed     int64 `json:"armed,omitempty"`
	ArmedStep int64 `json:"armedStep,omitempty"`
	// HeldStep is the pass that the rank does not begin until it is let go; 0 is none.
	HeldStep int64 `json:"held,omitempty"`
}

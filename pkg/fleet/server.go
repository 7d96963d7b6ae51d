package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Server is the announcement of a backend server.
type Server struct {
	ID      string
	Service string
	// Address is the IP:port for requests.
	Address string
	Zone    string
	// Slots is the number of requests that it processes at once.
	Slots int
	// Draining is true if the server accepts no new requests.
	Draining bool
	// Incarnation identifies one start of the server under its ID; it increases with
	// each start.
	Incarnation int64
	// Sequence orders the announcements of one incarnation: a later one has a higher
	// sequence. 0 means that it is not known.
	Sequence int64
	// WarmupLeft is the time for which the server remains slow after its start.
	WarmupLeft time.Duration
	// Group, Rank and Ranks are the engine's group, its rank in the group and the
	// group's size; Ranks is 0 for a server that is not in a group.
	Group string
	Rank  int
	Ranks int
}

// NewestByAddress returns the newest announcement for each address, sorted by
// address. An address has several announcements after a start under a new ID or
// for another service.
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
	// GroupForming groups accept requests and are about to receive their first
	// balanced map: a few requests measure which experts are in demand, the others
	// wait for the map.
	GroupForming GroupState = "forming"
	GroupBroken  GroupState = "broken"
)

// EngineReport is the status report of an engine.
type EngineReport struct {
	// Stale is true for a report received through another instance, which is some
	// hundred milliseconds old.
	Stale   bool `json:"-"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	// MemoryUsed is the memory that cannot be freed by eviction, in tokens.
	MemoryUsed int `json:"memoryUsed"`
	// Slowdown is the factor by which the engine is slower than usual; above 1 it
	// is slow.
	Slowdown float64 `json:"pace"`
	// Orders counts the orders that have started an action in this incarnation.
	Orders      int64 `json:"orders"`
	Incarnation int64 `json:"born"`

	Group string     `json:"group,omitempty"`
	Epoch int64      `json:"epoch,omitempty"`
	Rank  int        `json:"rank"`
	Ranks int        `json:"ranks,omitempty"`
	State GroupState `json:"state,omitempty"`
	// Step is the number of the last pass that was started.
	Step int64 `json:"step"`
	// Map is the version of the expert map in use.
	Map int64 `json:"map"`
	// Prepared is the version of the map whose experts are all loaded; 0 is none.
	Prepared int64 `json:"prepared,omitempty"`
	// Armed is the version of the map that the rank switches to at the pass
	// ArmedStep; 0 is none.
	Armed     int64 `json:"armed,omitempty"`
	ArmedStep int64 `json:"armedStep,omitempty"`
	// HeldStep is the pass that the rank does not start until it is released; 0 is
	// none.
	HeldStep int64 `json:"held,omitempty"`
}

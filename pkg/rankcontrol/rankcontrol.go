// Package rankcontrol describes the orders that a rank of a group takes about
// its expert map, and what it tells of itself.
package rankcontrol

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// Operation is what an order asks for.
type Operation string

// The operations.
const (
	// Prepare copies the experts of a map that are new to the rank.
	Prepare Operation = "prepare"
	// Arm makes the rank use a prepared map from a pass on.
	Arm Operation = "arm"
	// Disarm takes that back.
	Disarm Operation = "disarm"
	// Hold keeps the group from beginning a pass.
	Hold Operation = "hold"
	// Release lets it begin the pass.
	Release Operation = "go"
)

// Map lists the experts of each rank: by set, then by rank.
type Map [][][]int

// Row is what one rank holds of one set.
type Row struct {
	Set, Rank int
	Experts   []int
}

// Rows are the rows in which a map differs from another one.
type Rows []Row

// ChangesTo returns the rows in which another map differs.
func (m Map) ChangesTo(other Map) Rows {
	var rows Rows
	for s := range other {
		for r := range other[s] {
			if !slices.Equal(m[s][r], other[s][r]) {
				rows = append(rows, Row{s, r, other[s][r]})
			}
		}
	}
	return rows
}

// WithRows returns the map with some rows replaced. It fails for a row that the map
// does not have.
func (m Map) WithRows(rows Rows) (Map, error) {
	out := make(Map, len(m))
	for s := range m {
		out[s] = slices.Clone(m[s])
	}
	for _, row := range rows {
		if row.Set < 0 || row.Set >= len(out) || row.Rank < 0 || row.Rank >= len(out[row.Set]) {
			return nil, errors.Newf("the map has no row for set %d, rank %d", row.Set, row.Rank)
		}
		out[row.Set][row.Rank] = row.Experts
	}
	return out, nil
}

// Shape sizes a map.
type Shape struct {
	Sets    int `json:"sets"`
	Experts int `json:"experts"`
	Ranks   int `json:"ranks"`
}

// mostPlaces bounds the experts that a shape places: the target is 128 experts in each
// of some hundred layers.
const mostPlaces = 1 << 17

// Valid reports whether a map can have the shape.
func (s Shape) Valid() bool {
	return s.Sets > 0 && s.Experts > 0 && s.Ranks > 0 && s.Sets <= mostPlaces && s.Experts <= mostPlaces && s.Ranks <= mostPlaces &&
		s.Sets*s.Experts <= mostPlaces && s.Sets*s.Ranks <= mostPlaces
}

// Shape returns the shape of a map in which each expert is on a rank.
func (m Map) Shape() Shape {
	s := Shape{Sets: len(m)}
	for _, ranks := range m {
		s.Ranks = len(ranks)
		for _, experts := range ranks {
			for _, e := range experts {
				s.Experts = max(s.Experts, e+1)
			}
		}
	}
	return s
}

// Order is one order.
type Order struct {
	Operation Operation `json:"operation"`
	// Version of the map; 0 for Hold and Go.
	Version int64 `json:"version,omitempty"`
	// Step is the pass of Arm, Hold and Go.
	Step int64 `json:"step,omitempty"`
	// Map is the map of Prepare. Between the project's processes it may be told
	// as Changes to the map of version Base instead.
	Map     Map   `json:"map,omitempty"`
	Base    int64 `json:"base,omitempty"`
	Changes Rows  `json:"changes,omitempty"`
	// Formation is the shape of the group's first map, where Base is 0: it assigns the
	// experts in turn.
	Formation *Shape `json:"formation,omitempty"`
	// Epoch is the formation of the group that the order is for.
	Epoch int64 `json:"epoch"`
	// Fence is the order giver's generation: lower ones than the rank has seen
	// are refused.
	Fence int64 `json:"fence"`
}

// Verdict is what the rank answered.
type Verdict string

// The verdicts.
const (
	// Accepted means that the order has begun.
	Accepted Verdict = "begun"
	// InEffect means that the state was there already.
	InEffect Verdict = "holds"
	// StateConflict means that the order does not fit the rank's state.
	StateConflict Verdict = "unfit"
	// Fenced means that a higher fence was seen: the giver has a successor.
	Fenced Verdict = "fenced"
	// Refused means that nothing was done for another reason.
	Refused Verdict = "refused"
	// UnknownBase means that an agent does not know the map that changes refer to.
	UnknownBase Verdict = "no-base"
)

// Counts tells how often the rank's requests chose each expert since its start.
type Counts struct {
	Step  int64 `json:"step"`
	Epoch int64 `json:"epoch"`
	Born  int64 `json:"born"`
	// Chosen is one flat list, set after set.
	Chosen []int64 `json:"chosen"`
}

// Rank is the control of one rank. An error of Order leaves open whether the
// order was or will be carried out.
type Rank interface {
	Report(ctx context.Context) (fleet.EngineReport, error)
	Counts(ctx context.Context) (Counts, error)
	// Experts returns the rank's experts of the map in use by set.
	Experts(ctx context.Context) ([][]int, error)
	Order(ctx context.Context, o Order) (Verdict, error)
}

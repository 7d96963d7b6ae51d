// Package rankcontrol defines the orders about the expert map that a rank of a group accepts, and
// the state that it reports.
package rankcontrol

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// Operation is the kind of an order.
type Operation string

// The operations.
const (
	// Prepare makes the rank copy the experts of a map that it lacks.
	Prepare Operation = "prepare"
	// Arm makes the rank use a prepared map from a given pass on.
	Arm Operation = "arm"
	// Disarm reverts Arm.
	Disarm Operation = "disarm"
	// Hold keeps the group from beginning a given pass.
	Hold Operation = "hold"
	// Release lets the group begin a held pass.
	Release Operation = "go"
)

// Map lists the experts of each rank: by set, then by rank.
type Map [][][]int

// Shape is the size of a map.
type Shape struct {
	Sets    int `json:"sets"`
	Experts int `json:"experts"`
	Ranks   int `json:"ranks"`
}

// maxPlacements bounds the experts that a shape places. The design target is 128 experts in each of
// about a hundred layers.
const maxPlacements = 1 << 17

// Valid reports whether the sizes are positive and within maxPlacements.
func (s Shape) Valid() bool {
	return s.Sets > 0 && s.Experts > 0 && s.Ranks > 0 && s.Sets <= maxPlacements && s.Experts <= maxPlacements && s.Ranks <= maxPlacements &&
		s.Sets*s.Experts <= maxPlacements && s.Sets*s.Ranks <= maxPlacements
}

// Shape returns the shape of a map that places each expert on at least one rank.
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

// Check returns an error unless the map has the sizes of the shape, each expert is on a rank, and no
// rank has an expert twice.
func (m Map) Check(s Shape) error {
	if len(m) != s.Sets {
		return errors.Newf("the map has %d sets, want %d", len(m), s.Sets)
	}
	for set, ranks := range m {
		if len(ranks) != s.Ranks {
			return errors.Newf("set %d of the map has %d ranks, want %d", set, len(ranks), s.Ranks)
		}
		// lastRank is the last rank, counted from 1, on which an expert was found; 0 if none.
		lastRank := make([]int, s.Experts)
		for r, experts := range ranks {
			for _, e := range experts {
				if e < 0 || e >= s.Experts || lastRank[e] == r+1 {
					return errors.Newf("set %d of the map has expert %d at rank %d, twice or not in 0 to %d", set, e, r, s.Experts-1)
				}
				lastRank[e] = r + 1
			}
		}
		if e := slices.Index(lastRank, 0); e >= 0 {
			return errors.Newf("set %d of the map has expert %d at no rank", set, e)
		}
	}
	return nil
}

// Order is one order to a rank.
type Order struct {
	Operation Operation `json:"operation"`
	// Version is the version of the map; 0 for Hold and Release.
	Version int64 `json:"version,omitempty"`
	// Step is the pass of Arm, Hold and Release.
	Step int64 `json:"step,omitempty"`
	// Map is the map of Prepare. Orders between agents may instead give it as Changes to the map of
	// version Base.
	Map     Map   `json:"map,omitempty"`
	Base    int64 `json:"base,omitempty"`
	Changes Delta `json:"changes,omitempty"`
	// Formation is the shape of the initial map of the group, which assigns the experts
	// round-robin. It is set if Base is 0.
	Formation *Shape `json:"formation,omitempty"`
	// Epoch is the epoch of the group that the order is for.
	Epoch int64 `json:"epoch"`
	// Fence is the fencing number of the order: a rank refuses orders with a lower one than it has
	// seen.
	Fence int64 `json:"fence"`
}

// InEffect reports whether a rank's report shows the state that the order asks for. An order to
// prepare takes effect later, when the experts have been copied.
func (o Order) InEffect(r fleet.EngineReport) bool {
	switch o.Operation {
	case Prepare:
		return r.Prepared == o.Version || r.Map == o.Version
	case Arm:
		return r.Armed == o.Version && r.ArmedStep == o.Step || r.Map == o.Version
	case Disarm:
		return r.Armed != o.Version
	case Hold:
		return r.HeldStep == o.Step
	case Release:
		return r.HeldStep != o.Step
	}
	return false
}

// Verdict is a rank's answer to an order.
type Verdict string

// The verdicts.
const (
	// Accepted means that the rank has started to carry out the order.
	Accepted Verdict = "begun"
	// InEffect means that the state that the order asks for is in effect.
	InEffect Verdict = "holds"
	// StateConflict means that the rank's state does not allow the order.
	StateConflict Verdict = "unfit"
	// Fenced means that the rank has seen a higher fence: another planner has taken over.
	Fenced Verdict = "fenced"
	// Refused means that the order was not carried out for another reason.
	Refused Verdict = "refused"
	// UnknownBase means that an agent does not have the map that the changes refer to.
	UnknownBase Verdict = "no-base"
)

// Counts holds how often the rank's requests chose each expert since the engine started.
type Counts struct {
	// Step is the number of the last pass begun when the counts were read. If it is lower than in an
	// earlier read, the counts of the two reads are not comparable.
	Step int64 `json:"step"`
	// Epoch is the epoch of the group.
	Epoch int64 `json:"epoch"`
	// Incarnation is the incarnation of the engine. Counts of different incarnations are not comparable.
	Incarnation int64 `json:"born"`
	// ExpertCounts holds the count of each expert, set after set.
	ExpertCounts []int64 `json:"chosen"`
}

// Rank controls one rank. After an error of Order it is unknown whether the order was or will be
// carried out.
type Rank interface {
	Report(ctx context.Context) (fleet.EngineReport, error)
	Counts(ctx context.Context) (Counts, error)
	// Experts returns the rank's experts of the map in use by set.
	Experts(ctx context.Context) ([][]int, error)
	Order(ctx context.Context, o Order) (Verdict, error)
}

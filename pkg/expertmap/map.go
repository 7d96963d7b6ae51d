// Package expertmap decides which expert map each step of a group of ranks
// uses, who may order a new one, and which orders an agent passes on. It holds
// no I/O and no clock.
package expertmap

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Version names one expert map for ever. Maps made under a newer lease are
// higher than all those made under an older one.
type Version struct {
	// Fencing is the number of the lease under which the map was made.
	Fencing int64 `json:"fencing"`
	// Sequence counts the maps made under that lease, from 1.
	Sequence int64 `json:"sequence"`
}

// Compare orders versions: negative where v is older than w.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Fencing, w.Fencing), cmp.Compare(v.Sequence, w.Sequence))
}

// String returns the version as FENCING.SEQUENCE.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Fencing, v.Sequence) }

// Replica is one copy of an expert.
type Replica struct {
	// Rank that holds the copy.
	Rank int `json:"rank"`
	// Share of the expert's tokens that go to this copy, within 0 and 1.
	Share float64 `json:"share"`
}

// Layer lists the replicas of each expert of one layer.
type Layer [][]Replica

// Map places the experts of every layer on the ranks of a group.
type Map struct {
	Version Version `json:"version"`
	Ranks   int     `json:"ranks"`
	Layers  []Layer `json:"layers"`
}

// Expert names the weights of one expert of one layer.
type Expert struct {
	Layer int `json:"layer"`
	Index int `json:"index"`
}

// ObjectName returns the name of the expert's weights in the weight store.
func (e Expert) ObjectName() string { return fmt.Sprintf("layer-%d-expert-%d", e.Layer, e.Index) }

// ExpertsOn returns the experts that the map places on a rank, by layer and index.
func (m Map) ExpertsOn(rank int) []Expert {
	var out []Expert
	for l, layer := range m.Layers {
		for e, replicas := range layer {
			if slices.ContainsFunc(replicas, func(r Replica) bool { return r.Rank == rank }) {
				out = append(out, Expert{l, e})
			}
		}
	}
	return out
}

// MissingExperts returns the experts that the rank needs for the map and lacks.
func (m Map) MissingExperts(rank int, held []Expert) []Expert {
	have := make(map[Expert]bool, len(held))
	for _, e := range held {
		have[e] = true
	}
	return slices.DeleteFunc(m.ExpertsOn(rank), func(e Expert) bool { return have[e] })
}

const shareTolerance = 1e-6

// Validate reports a map that cannot be used. The error has the kind BadRequest.
func (m Map) Validate() error {
	if m.Ranks < 1 || m.Version.Fencing < 0 || m.Version.Sequence < 0 {
		return badMap(m, "it has no ranks or a negative version")
	}
	for l, layer := range m.Layers {
		for e, replicas := range layer {
			if detail := checkReplicas(replicas, m.Ranks); detail != "" {
				return badMap(m, fmt.Sprintf("layer %d expert %d %s", l, e, detail))
			}
		}
	}
	return nil
}

func checkReplicas(replicas []Replica, ranks int) string {
	sum := 0.0
	seen := make(map[int]bool, len(replicas))
	for _, r := range replicas {
		if r.Rank < 0 || r.Rank >= ranks || seen[r.Rank] {
			return "names a rank that is missing or listed twice"
		}
		if r.Share < 0 {
			return "has a negative share"
		}
		seen[r.Rank] = true
		sum += r.Share
	}
	if sum < 1-shareTolerance || sum > 1+shareTolerance {
		return "has shares that do not add up to 1"
	}
	return ""
}

func badMap(m Map, detail string) error {
	return problem.New(problem.BadRequest, "run the same release on every instance", "expert map %s: %s", m.Version, detail)
}

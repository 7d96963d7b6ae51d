package engine

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Paths of an engine that is one rank of a group.
const (
	RankStatePath      = "/rank/state"
	RankMapPath        = "/rank/map"
	RankPopularityPath = "/rank/popularity"
	RankBarrierPath    = "/rank/barrier"
	RankStepsPath      = "/rank/steps"
)

// RankState is what a rank says of itself.
type RankState struct {
	// Group is the name of the group within its pool.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	Ranks int    `json:"ranks"`
	// Incarnation changes with every start. A new one holds only the map that
	// the engine starts with.
	Incarnation ident.Incarnation `json:"incarnation"`
	// Loaded lists the maps that the rank holds, Current the one in use.
	Loaded  []expertmap.Version `json:"loaded"`
	Current expertmap.Version   `json:"current"`
	Step    int64               `json:"step"`
	// Missing lists the ranks that a waiting rank waits for; all of them where
	// no map is loaded at every rank.
	Missing []int `json:"missing,omitempty"`
	// Speed is the load that the rank handles in a unit of time, of its last
	// steps.
	Speed float64 `json:"speed"`
	// Slots is how many experts of one layer the rank has memory for,
	// ExpertBytes the size of one.
	Slots       int   `json:"slots"`
	ExpertBytes int64 `json:"expertBytes"`
}

// MapOrder tells a rank that the weights of a map are loaded.
type MapOrder struct {
	// Fencing is the number of the lease under which the order is given.
	Fencing int64 `json:"fencing"`
	// Incarnation of the rank into which the weights were loaded.
	Incarnation ident.Incarnation `json:"incarnation"`
	Map         expertmap.Map     `json:"map"`
}

// Popularity is the load of each expert of each layer over the whole group in
// the last steps. Every rank of a group reports the same.
type Popularity struct {
	Layers [][]float64 `json:"layers"`
}

// StepRecord tells which map a rank used in a step.
type StepRecord struct {
	Step    int64             `json:"step"`
	Version expertmap.Version `json:"version"`
}

// RankState reads the state of the rank. The error has the kind
// BackendUnreachable, also for an engine that is not part of a group.
func (c *Client) RankState(ctx context.Context) (RankState, error) {
	var s RankState
	err := c.get(ctx, RankStatePath, &s)
	return s, err
}

// RankMap reads the newest map that the rank holds.
func (c *Client) RankMap(ctx context.Context) (expertmap.Map, error) {
	var m expertmap.Map
	err := c.get(ctx, RankMapPath, &m)
	return m, err
}

// RankPopularity reads the popularity of the experts.
func (c *Client) RankPopularity(ctx context.Context) (Popularity, error) {
	var p Popularity
	err := c.get(ctx, RankPopularityPath, &p)
	return p, err
}

// InstallMap tells the rank that the weights of a map are loaded. The error
// has the kind FencedOff where the rank refused an old fencing number, and
// WrongIncarnation where it has restarted since the weights were loaded.
func (c *Client) InstallMap(ctx context.Context, order MapOrder) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := httpclient.Post(ctx, c.http, c.base+RankMapPath, order, maxControlBytes, nil)
	if err == nil {
		return nil
	}
	var status *httpclient.StatusError
	var refusal problem.Document
	if errors.As(err, &status) && json.Unmarshal(status.Body, &refusal) == nil && ofRank(refusal.Title) {
		return problem.New(refusal.Title, refusal.Remedy, "%s", refusal.Detail).WithOutcome(problem.NotRun)
	}
	return unreachable(err)
}

// ofRank reports whether a rank refuses orders with the kind.
func ofRank(kind problem.Kind) bool {
	return kind == problem.FencedOff || kind == problem.WrongIncarnation
}

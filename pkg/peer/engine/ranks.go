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

// URL paths of an engine that is one rank of a group.
const (
	RankStatePath      = "/rank/state"
	RankMapPath        = "/rank/map"
	RankPopularityPath = "/rank/popularity"
	RankBarrierPath    = "/rank/barrier"
	RankStepsPath      = "/rank/steps"
)

// RankState describes the state of a rank.
type RankState struct {
	// Group is the name of the group within its pool.
	Group string `json:"group"`
	Rank  int    `json:"rank"`
	Ranks int    `json:"ranks"`
	// Incarnation changes with every start. A new incarnation holds only the map that the engine
	// starts with.
	Incarnation ident.Incarnation `json:"incarnation"`
	// Loaded lists the versions of the maps that the rank holds. Current is the one in use.
	Loaded  []expertmap.Version `json:"loaded"`
	Current expertmap.Version   `json:"current"`
	Step    int64               `json:"step"`
	// Missing lists the ranks that a waiting rank waits for. It lists all ranks if no map is
	// loaded at every rank.
	Missing []int `json:"missing,omitempty"`
	// Speed is the load that the rank handled per unit of time in its last steps.
	Speed float64 `json:"speed"`
	// Slots is the number of experts of one layer that fit into the memory of the rank.
	// ExpertBytes is the size of one expert.
	Slots       int   `json:"slots"`
	ExpertBytes int64 `json:"expertBytes"`
}

// MapOrder orders a rank to use a map whose weights are loaded.
type MapOrder struct {
	// Fencing is the fencing number of the lease under which the order is sent.
	Fencing int64 `json:"fencing"`
	// Incarnation is the incarnation of the rank into which the weights were loaded.
	Incarnation ident.Incarnation `json:"incarnation"`
	Map         expertmap.Map     `json:"map"`
}

// Popularity is the load of each expert over the whole group in the last steps. Every rank of a
// group reports the same values.
type Popularity struct {
	// Layers holds the load by layer and expert.
	Layers [][]float64 `json:"layers"`
}

// StepRecord is the version of the map that a rank used in a step.
type StepRecord struct {
	Step    int64             `json:"step"`
	Version expertmap.Version `json:"version"`
}

// RankState reads the state of the rank. The error has the kind BackendUnreachable, also if the
// engine is not part of a group.
func (c *Client) RankState(ctx context.Context) (RankState, error) {
	var s RankState
	err := c.get(ctx, RankStatePath, &s)
	return s, err
}

// RankMap reads the newest map that the rank holds. The error has the kind BackendUnreachable.
func (c *Client) RankMap(ctx context.Context) (expertmap.Map, error) {
	var m expertmap.Map
	err := c.get(ctx, RankMapPath, &m)
	return m, err
}

// RankPopularity reads the popularity of the experts. The error has the kind BackendUnreachable.
func (c *Client) RankPopularity(ctx context.Context) (Popularity, error) {
	var p Popularity
	err := c.get(ctx, RankPopularityPath, &p)
	return p, err
}

// InstallMap orders the rank to use a map whose weights are loaded. The error has the kind
// FencedOff if the rank refused an old fencing number, WrongIncarnation if the rank has restarted
// since the weights were loaded, and BackendUnreachable otherwise.
func (c *Client) InstallMap(ctx context.Context, order MapOrder) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := httpclient.Post(ctx, c.http, c.base+RankMapPath, order, maxControlBytes, nil)
	if err == nil {
		return nil
	}
	var status *httpclient.StatusError
	var refusal problem.Document
	if errors.As(err, &status) && json.Unmarshal(status.Body, &refusal) == nil && isOrderRefusal(refusal.Title) {
		return problem.New(refusal.Title, refusal.Remedy, "%s", refusal.Detail).WithOutcome(problem.NotRun)
	}
	return unreachable(err)
}

// isOrderRefusal reports whether kind is one with which a rank refuses an order.
func isOrderRefusal(kind problem.Kind) bool {
	return kind == problem.FencedOff || kind == problem.WrongIncarnation
}

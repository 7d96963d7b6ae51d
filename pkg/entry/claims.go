package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	"github.com/fescuehub/fescuehub/pkg/wait"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// claimsInterval is how often the entry checks for agents that have not received the routes
// whose keys they claim.
const claimsInterval = time.Second

// announceClaims sends agents the routes with unrepeatable calls of their pool until ctx ends,
// so that they open the claim streams before the first call.
func (e *Entry) announceClaims(ctx context.Context) error {
	sent := make(map[*rpc.Conn]string)
	for ctx.Err() == nil {
		if routes := e.claimRoutes(); len(routes) > 0 {
			sent = e.sendClaims(ctx, routes, sent)
		}
		wait.For(ctx, claimsInterval)
	}
	return nil
}

// sendClaims sends each connected agent the routes of its pool unless it has received them, and
// returns what each agent has received.
func (e *Entry) sendClaims(ctx context.Context, routes map[string][]string, sent map[*rpc.Conn]string) map[*rpc.Conn]string {
	owners := countOwners(routes, e.members.withRole(instancelist.Agent))
	received := make(map[*rpc.Conn]string)
	for _, a := range e.replicas.connected() {
		if len(routes[a.pool]) == 0 {
			continue
		}
		claims := agentlink.ClaimsRequest{Routes: routes[a.pool], Owners: owners}
		text := fmt.Sprint(claims)
		if sent[a.conn] == text || a.conn.Call(ctx, agentlink.MethodClaims, claims, nil) == nil {
			received[a.conn] = text
		}
	}
	return received
}

// countOwners counts the agents that claim keys: one for each claim stream of a route, up to
// the size of its pool. Where entries are linked to subsets of the agents, they choose
// different claimants, so the whole pool counts.
func countOwners(routes map[string][]string, agents []instancelist.Instance) int {
	size := make(map[string]int)
	for _, a := range agents {
		size[a.Pool]++
	}
	owners := 0
	for pool, names := range routes {
		perRoute := size[pool]
		if len(agents) <= routing.MaxFullMeshAgents {
			perRoute = min(perRoute, writeonce.Partitions)
		}
		owners += len(names) * perRoute
	}
	return owners
}

// claimRoutes returns the routes with unrepeatable calls, by pool.
func (e *Entry) claimRoutes() map[string][]string {
	out := make(map[string][]string)
	view := e.config.View()
	for name := range view.State.Routes {
		route, pool, err := view.Route(name)
		if err == nil && len(route.Unrepeatable) > 0 {
			out[pool.Name] = append(out[pool.Name], name)
		}
	}
	for _, names := range out {
		slices.Sort(names)
	}
	return out
}

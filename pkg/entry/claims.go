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

// claimsInterval is how often the entry looks for agents that have not been
// told the routes whose keys they claim.
const claimsInterval = time.Second

// openClaims tells agents the routes with unrepeatable calls of their pool, so
// that they open the claim streams before the first call, until ctx ends.
func (e *Entry) openClaims(ctx context.Context) error {
	told := make(map[*rpc.Conn]string)
	for ctx.Err() == nil {
		if routes := e.claimRoutes(); len(routes) > 0 {
			told = e.tellClaims(ctx, routes, told)
		}
		wait.For(ctx, claimsInterval)
	}
	return nil
}

// tellClaims tells the routes of their pool to the agents that have not been
// told them, and returns what each connected agent has been told.
func (e *Entry) tellClaims(ctx context.Context, routes map[string][]string, told map[*rpc.Conn]string) map[*rpc.Conn]string {
	owners := ownersOf(routes, e.members.withRole(instancelist.Agent))
	now := make(map[*rpc.Conn]string)
	for _, a := range e.replicas.connected() {
		if len(routes[a.pool]) == 0 {
			continue
		}
		claims := agentlink.ClaimsRequest{Routes: routes[a.pool], Owners: owners}
		text := fmt.Sprint(claims)
		if told[a.conn] == text || a.conn.Call(ctx, agentlink.MethodClaims, claims, nil) == nil {
			now[a.conn] = text
		}
	}
	return now
}

// ownersOf counts the agents that claim keys: one for each claim stream of a
// route and no more than its pool has, or the whole pool where entries are
// linked to subsets of it and so choose different agents.
func ownersOf(routes map[string][]string, agents []instancelist.Instance) int {
	size := make(map[string]int)
	for _, a := range agents {
		size[a.Pool]++
	}
	owners := 0
	for pool, names := range routes {
		each := size[pool]
		if len(agents) <= routing.MaxFullMeshAgents {
			each = min(each, writeonce.Partitions)
		}
		owners += len(names) * each
	}
	return owners
}

// claimRoutes returns the routes with unrepeatable calls of each pool.
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

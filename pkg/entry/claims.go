package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
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
		routes := e.claimRoutes()
		agents := e.replicas.connected()
		owners := ownersOf(routes, agents)
		now := make(map[*rpc.Conn]string)
		for _, a := range agents {
			if len(routes[a.pool]) == 0 {
				continue
			}
			claims := agentlink.Claims{Routes: routes[a.pool], Owners: owners}
			text := fmt.Sprint(claims)
			if told[a.conn] == text || a.conn.Call(ctx, agentlink.MethodClaims, claims, nil) == nil {
				now[a.conn] = text
			}
		}
		told = now
		wait.For(ctx, claimsInterval)
	}
	return nil
}

// ownersOf counts the agents that claim keys: one for each claim stream of a
// route, and no more than its pool has.
func ownersOf(routes map[string][]string, agents []connectedReplica) int {
	size := make(map[string]int)
	for _, a := range agents {
		size[a.pool]++
	}
	owners := 0
	for pool, names := range routes {
		owners += len(names) * min(size[pool], writeonce.Partitions)
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

package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/rpc"
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
		now := make(map[*rpc.Conn]string)
		for _, r := range e.replicas.connected() {
			if len(routes[r.pool]) == 0 {
				continue
			}
			key := strings.Join(routes[r.pool], "\x00")
			if told[r.conn] == key || r.conn.Call(ctx, agentlink.MethodClaims, agentlink.Claims{Routes: routes[r.pool]}, nil) == nil {
				now[r.conn] = key
			}
		}
		told = now
		sleep(ctx, claimsInterval)
	}
	return nil
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

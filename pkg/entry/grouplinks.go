package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

// findInterval is how often agents are looked for while a rank has none.
const findInterval = 5 * time.Second

// groupLinks reaches the agents of one group. It uses the links that the entry
// has anyway; agents that the entry is not linked to are found in the instance
// list and get a link of their own.
type groupLinks struct {
	linked entryLinks
	listed func() []instancelist.Instance
	key    groupKey

	mu sync.Mutex
	// elsewhere holds the names and control addresses of agents that were found
	// before other groups, or before none.
	elsewhere map[string]bool
	found     map[int]*rpc.Conn
	lookedAt  time.Time
	looking   bool
}

// entryLinks are the links that the entry has anyway.
type entryLinks interface {
	// agentOf returns the name of the linked agent before a rank, or nothing.
	agentOf(key groupKey, rank int) string
	// conn returns the link to an agent.
	conn(agent string) (*rpc.Conn, bool)
}

func newGroupLinks(linked entryLinks, listed func() []instancelist.Instance, key groupKey) *groupLinks {
	return &groupLinks{linked: linked, listed: listed, key: key, elsewhere: make(map[string]bool), found: make(map[int]*rpc.Conn)}
}

// Call implements mapplanner.Agents. The error has the kind Unavailable where
// no agent of the rank is connected.
func (g *groupLinks) Call(ctx context.Context, rank int, method string, params, result any) error {
	conn, ok := g.linked.conn(g.linked.agentOf(g.key, rank))
	if !ok {
		conn, ok = g.own(rank)
	}
	if !ok {
		g.look(ctx, time.Now())
		return problem.New(problem.Unavailable, "nothing needs to be done; the connection is made again",
			"no agent of rank %d is connected", rank)
	}
	return conn.Call(ctx, method, params, result)
}

// own returns the group's own link to a rank's agent.
func (g *groupLinks) own(rank int) (*rpc.Conn, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	conn, ok := g.found[rank]
	if !ok {
		return nil, false
	}
	select {
	case <-conn.Done():
		delete(g.found, rank)
		return nil, false
	default:
		return conn, true
	}
}

// look starts a search for agents, unless one runs or ended just now.
func (g *groupLinks) look(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.looking || now.Sub(g.lookedAt) < findInterval {
		return
	}
	g.looking = true
	go g.search(ctx)
}

// search asks every listed agent of the pool, one after the other, which rank
// it stands before.
func (g *groupLinks) search(ctx context.Context) {
	for _, i := range g.listed() {
		if ctx.Err() != nil {
			break
		}
		if i.Pool == g.key.pool && !g.known(i) {
			g.ask(ctx, i)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.looking = false
	g.lookedAt = time.Now()
}

func (g *groupLinks) known(i instancelist.Instance) bool {
	if _, linked := g.linked.conn(i.Name); linked {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elsewhere[i.Name+" "+i.ControlAddress]
}

func (g *groupLinks) ask(ctx context.Context, i instancelist.Instance) {
	conn, err := rpc.Dial(ctx, i.ControlAddress, nil)
	if err != nil {
		return
	}
	var state engine.RankState
	err = conn.Call(ctx, agentlink.MethodRankState, struct{}{}, &state)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && state.Group == g.key.group {
		if old, ok := g.found[state.Rank]; ok {
			old.Close()
		}
		g.found[state.Rank] = conn
		return
	}
	g.elsewhere[i.Name+" "+i.ControlAddress] = err == nil
	conn.Close()
}

// close ends the group's own links.
func (g *groupLinks) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range g.found {
		conn.Close()
	}
}

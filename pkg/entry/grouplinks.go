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

// searchInterval is how often agents are looked for while a rank has none.
const searchInterval = 5 * time.Second

// groupLinks reaches the agents of one group. It uses the links that the entry
// has anyway; agents that the entry is not linked to are found in the instance
// list and get a link of their own.
type groupLinks struct {
	linked entryLinks
	listed func() []instancelist.Instance
	key    groupKey

	mu sync.Mutex
	// otherGroups holds the names and control addresses of agents that were found
	// before other groups, or before none.
	otherGroups map[string]bool
	ownLinks    map[int]*rpc.Conn
	searchedAt  time.Time
	searching   bool
}

// entryLinks are the links that the entry has anyway.
type entryLinks interface {
	// agentForRank returns the name of the linked agent before a rank, or nothing.
	agentForRank(key groupKey, rank int) string
	// conn returns the link to an agent.
	conn(agent string) (*rpc.Conn, bool)
}

func newGroupLinks(linked entryLinks, listed func() []instancelist.Instance, key groupKey) *groupLinks {
	return &groupLinks{linked: linked, listed: listed, key: key, otherGroups: make(map[string]bool), ownLinks: make(map[int]*rpc.Conn)}
}

// Call implements mapplanner.Agents. The error has the kind Unavailable where
// no agent of the rank is connected.
func (g *groupLinks) Call(ctx context.Context, rank int, method string, params, result any) error {
	conn, ok := g.linked.conn(g.linked.agentForRank(g.key, rank))
	if !ok {
		conn, ok = g.ownLink(rank)
	}
	if !ok {
		g.startSearch(ctx, time.Now())
		return problem.New(problem.Unavailable, "nothing needs to be done; the connection is made again",
			"no agent of rank %d is connected", rank)
	}
	return conn.Call(ctx, method, params, result)
}

// ownLink returns the group's ownLink link to a rank's agent.
func (g *groupLinks) ownLink(rank int) (*rpc.Conn, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	conn, ok := g.ownLinks[rank]
	if !ok {
		return nil, false
	}
	select {
	case <-conn.Done():
		delete(g.ownLinks, rank)
		return nil, false
	default:
		return conn, true
	}
}

// startSearch starts a search for agents, unless one runs or ended just now.
func (g *groupLinks) startSearch(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.searching || now.Sub(g.searchedAt) < searchInterval {
		return
	}
	g.searching = true
	go g.search(ctx)
}

// search asks every listed agent of the pool, one after the other, which rank
// it stands before.
func (g *groupLinks) search(ctx context.Context) {
	for _, i := range g.listed() {
		if ctx.Err() != nil {
			break
		}
		if i.Pool == g.key.pool && !g.isKnown(i) {
			g.probe(ctx, i)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.searching = false
	g.searchedAt = time.Now()
}

func (g *groupLinks) isKnown(i instancelist.Instance) bool {
	if _, linked := g.linked.conn(i.Name); linked {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.otherGroups[i.Name+" "+i.ControlAddress]
}

func (g *groupLinks) probe(ctx context.Context, i instancelist.Instance) {
	conn, err := rpc.Dial(ctx, i.ControlAddress, nil)
	if err != nil {
		return
	}
	var state engine.RankState
	err = conn.Call(ctx, agentlink.MethodRankState, struct{}{}, &state)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && state.Group == g.key.group {
		if old, ok := g.ownLinks[state.Rank]; ok {
			old.Close()
		}
		g.ownLinks[state.Rank] = conn
		return
	}
	g.otherGroups[i.Name+" "+i.ControlAddress] = err == nil
	conn.Close()
}

// close ends the group's own links.
func (g *groupLinks) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range g.ownLinks {
		conn.Close()
	}
}

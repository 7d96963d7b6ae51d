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

// searchInterval is the time between two searches for agents while a rank has none.
const searchInterval = 5 * time.Second

// groupLinks reaches the agents of one group. It uses the entry's links; agents that the entry
// is not linked to are looked up in the instance list and connected to separately.
type groupLinks struct {
	linked entryLinks
	listed func() []instancelist.Instance
	key    groupKey

	mu sync.Mutex
	// otherGroups is true for the name and control address of each agent that serves another
	// group, or none.
	otherGroups map[string]bool
	ownLinks    map[int]*rpc.Conn
	searchedAt  time.Time
	searching   bool
}

// entryLinks are the links that the entry keeps for its own requests.
type entryLinks interface {
	// agentForRank returns the name of the linked agent of a rank, or an empty string.
	agentForRank(key groupKey, rank int) string
	// conn returns the link to an agent.
	conn(agent string) (*rpc.Conn, bool)
}

func newGroupLinks(linked entryLinks, listed func() []instancelist.Instance, key groupKey) *groupLinks {
	return &groupLinks{linked: linked, listed: listed, key: key, otherGroups: make(map[string]bool), ownLinks: make(map[int]*rpc.Conn)}
}

// Call implements mapplanner.Agents. The error kind is Unavailable if no agent of the rank is
// connected; a search for it is then started.
func (g *groupLinks) Call(ctx context.Context, rank int, method string, params, result any) error {
	conn, ok := g.linked.conn(g.linked.agentForRank(g.key, rank))
	if !ok {
		conn, ok = g.ownLink(rank)
	}
	if !ok {
		g.startSearch(ctx, time.Now())
		return problem.New(problem.Unavailable, "no action is needed; the entry searches for the agent and connects to it automatically",
			"no agent of rank %d is connected", rank)
	}
	return conn.Call(ctx, method, params, result)
}

// ownLink returns the link that the group itself has opened to a rank's agent.
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

// startSearch starts a search for agents, unless one is running or ended less than
// searchInterval ago.
func (g *groupLinks) startSearch(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.searching || now.Sub(g.searchedAt) < searchInterval {
		return
	}
	g.searching = true
	go g.search(ctx)
}

// search asks every listed agent of the pool in turn which rank it serves.
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

// isKnown reports whether an agent is linked to the entry or known to serve another group.
func (g *groupLinks) isKnown(i instancelist.Instance) bool {
	if _, linked := g.linked.conn(i.Name); linked {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.otherGroups[i.Name+" "+i.ControlAddress]
}

// probe connects to an agent and keeps the link if the agent serves this group.
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

// close closes the links that the group itself has opened.
func (g *groupLinks) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range g.ownLinks {
		conn.Close()
	}
}

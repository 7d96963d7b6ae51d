package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/membership"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// listInterval is how often the list is asked for what has changed. While
	// it does not answer, the pause doubles up to longestListPause.
	listInterval     = time.Second
	longestListPause = 10 * time.Second
)

// members follows the instance list.
type members struct {
	log      *zap.Logger
	client   *instancelist.Client
	replicas *replicas
	self     routing.Node

	mu      sync.Mutex
	list    instancelist.List
	entries *membership.ShrinkGuard[instancelist.Instance]
	live    []instancelist.Instance
	// sharers is the number of entries that reach each replica of a pool.
	sharers map[string]int
}

func newMembers(log *zap.Logger, client *instancelist.Client, replicas *replicas, self routing.Node) *members {
	return &members{
		log: log, client: client, replicas: replicas, self: self,
		entries: membership.NewShrinkGuard(func(i instancelist.Instance) string { return i.Name }),
	}
}

// run polls the list until ctx ends. While the list does not answer, the last
// reading stays in use.
func (m *members) run(ctx context.Context) error {
	pause := listInterval
	reachable := true
	for {
		list, err := m.client.ReadSince(ctx, m.list)
		if ctx.Err() != nil {
			return nil
		}
		if (err == nil) != reachable {
			reachable = err == nil
			m.log.Info("instance list state", zap.Bool("reachable", reachable), zap.Error(err))
		}
		if err == nil {
			pause = listInterval
			if list.Revision != m.list.Revision || m.entries.HoldsRemovals() {
				m.store(ctx, list)
			}
		} else {
			pause = min(2*pause, longestListPause)
		}
		wait.For(ctx, pause/2+rand.N(pause/2+1))
	}
}

// store takes a reading. The entries of a list that has shrunk stay in use;
// what becomes of agents is decided by the membership table.
func (m *members) store(ctx context.Context, list instancelist.List) {
	m.mu.Lock()
	m.list = list
	m.live = m.entries.Update(time.Now(), rowsOf(list, instancelist.Entry))
	live := m.live
	m.mu.Unlock()
	mine, others := m.subsets(live, rowsOf(list, instancelist.Agent))
	m.replicas.reconcile(ctx, mine, others)
}

// subsets splits the agents into those that this entry connects to and those
// that it leaves to others.
func (m *members) subsets(entries, agents []instancelist.Instance) (mine, others []instancelist.Instance) {
	nodes := make([]routing.Node, 0, len(entries))
	for _, e := range entries {
		if e.State == instancelist.Live {
			nodes = append(nodes, nodeOf(e))
		}
	}
	pools := make(map[string][]routing.Node)
	for _, a := range agents {
		pools[a.Pool] = append(pools[a.Pool], nodeOf(a))
	}
	taken := make(map[routing.Node]bool)
	sharers := make(map[string]int, len(pools))
	for name, pool := range pools {
		sharers[name] = len(nodes)
		if len(agents) > routing.MaxFullMeshAgents {
			sharers[name] = routing.EntriesPerReplica(len(nodes), len(pool))
			pool = routing.Subset(m.self, nodes, pool)
		}
		for _, n := range pool {
			taken[n] = true
		}
	}
	m.mu.Lock()
	m.sharers = sharers
	m.mu.Unlock()
	for _, a := range agents {
		if taken[nodeOf(a)] {
			mine = append(mine, a)
		} else {
			others = append(others, a)
		}
	}
	return mine, others
}

func nodeOf(i instancelist.Instance) routing.Node {
	return routing.Node{Name: i.Name, FailureDomain: i.FailureDomain}
}

// withRole returns the rows in force of a role, leaving ones too.
func (m *members) withRole(role instancelist.Role) []instancelist.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	if role == instancelist.Entry {
		return m.live
	}
	return rowsOf(m.list, role)
}

// sharersOf returns how many entries share each replica of a pool.
func (m *members) sharersOf(pool string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.sharers[pool])
}

func rowsOf(list instancelist.List, role instancelist.Role) []instancelist.Instance {
	var out []instancelist.Instance
	for _, i := range list.Instances {
		if i.Role == role {
			out = append(out, i)
		}
	}
	return out
}

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
	// listPollInterval is how often the instance list is polled for changes. While it does not
	// answer, the interval doubles up to maxListPollInterval.
	listPollInterval    = time.Second
	maxListPollInterval = 10 * time.Second
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
	// entriesPerReplica is the number of entries linked to each replica of a pool.
	entriesPerReplica map[string]int
}

func newMembers(log *zap.Logger, client *instancelist.Client, replicas *replicas, self routing.Node) *members {
	return &members{
		log: log, client: client, replicas: replicas, self: self,
		entries: membership.NewShrinkGuard(func(i instancelist.Instance) string { return i.Name }),
	}
}

// run polls the list until ctx ends. While the list does not answer, the last one read stays in
// force.
func (m *members) run(ctx context.Context) error {
	interval := listPollInterval
	reachable := true
	for {
		list, err := m.client.ReadSince(ctx, m.list)
		if ctx.Err() != nil {
			return nil
		}
		if (err == nil) != reachable {
			reachable = err == nil
			m.log.Info("instance list reachability changed", zap.Bool("reachable", reachable), zap.Error(err))
		}
		if err == nil {
			interval = listPollInterval
			if m.isNew(list) || m.entries.HoldsRemovals() {
				m.store(ctx, list)
			}
		} else {
			interval = min(2*interval, maxListPollInterval)
		}
		wait.For(ctx, interval/2+rand.N(interval/2+1))
	}
}

// isNew reports whether a list is another one than that in force.
func (m *members) isNew(list instancelist.List) bool {
	return list.Epoch != m.list.Epoch || list.Revision != m.list.Revision
}

// store applies a list. Entries that are missing from a list that has shrunk sharply stay in
// force for a time; the membership table decides about missing agents.
func (m *members) store(ctx context.Context, list instancelist.List) {
	m.mu.Lock()
	m.list = list
	m.live = m.entries.Update(time.Now(), rowsWithRole(list, instancelist.Entry))
	live := m.live
	m.mu.Unlock()
	mine, others := m.subsets(live, rowsWithRole(list, instancelist.Agent))
	m.replicas.reconcile(ctx, mine, others)
}

// subsets splits the agents into those that this entry connects to and those that it leaves to
// other entries.
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
	selected := make(map[routing.Node]bool)
	perReplica := make(map[string]int, len(pools))
	for name, pool := range pools {
		perReplica[name] = len(nodes)
		if len(agents) > routing.MaxFullMeshAgents {
			perReplica[name] = routing.EntriesPerReplica(len(nodes), len(pool))
			pool = routing.Subset(m.self, nodes, pool)
		}
		for _, n := range pool {
			selected[n] = true
		}
	}
	m.mu.Lock()
	m.entriesPerReplica = perReplica
	m.mu.Unlock()
	for _, a := range agents {
		if selected[nodeOf(a)] {
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

// withRole returns the rows of a role that are in force, including leaving ones.
func (m *members) withRole(role instancelist.Role) []instancelist.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	if role == instancelist.Entry {
		return m.live
	}
	return rowsWithRole(m.list, role)
}

// entriesPerReplicaOf returns how many entries are linked to each replica of a pool. The result
// is 1 or more.
func (m *members) entriesPerReplicaOf(pool string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.entriesPerReplica[pool])
}

func rowsWithRole(list instancelist.List, role instancelist.Role) []instancelist.Instance {
	var out []instancelist.Instance
	for _, i := range list.Instances {
		if i.Role == role {
			out = append(out, i)
		}
	}
	return out
}

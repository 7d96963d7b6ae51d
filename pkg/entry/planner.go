package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/mapplanner"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
)

const (
	// plannerCandidates is how many entries follow the lease of one group.
	plannerCandidates = 3
	// renewalsPerLease is how often a lease is renewed before it would lapse.
	renewalsPerLease = 3
)

// groupKey names a group of ranks.
type groupKey struct{ pool, group string }

// planners runs the planners of the groups that this entry is a candidate for.
type planners struct {
	entry *Entry
	log   *logservice.Client

	mu      sync.Mutex
	running map[groupKey]context.CancelFunc
}

func newPlanners(e *Entry, log *logservice.Client) *planners {
	return &planners{entry: e, log: log, running: make(map[groupKey]context.CancelFunc)}
}

// run starts and stops planners as groups and candidates change, until ctx
// ends.
func (ps *planners) run(ctx context.Context) error {
	ticker := time.NewTicker(mapplanner.RoundInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		ps.reconcile(ctx, &group)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (ps *planners) reconcile(ctx context.Context, group *sync.WaitGroup) {
	wanted := ps.entry.replicas.groups()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for key, stop := range ps.running {
		if _, ok := wanted[key]; !ok || !ps.candidate(key) {
			stop()
			delete(ps.running, key)
		}
	}
	for key, ranks := range wanted {
		if _, ok := ps.running[key]; ok || !ps.candidate(key) {
			continue
		}
		planCtx, stop := context.WithCancel(ctx)
		ps.running[key] = stop
		group.Go(func() { ps.plan(planCtx, key, ranks) })
	}
}

// candidate reports whether this entry follows the lease of the group: the
// entries whose names hash highest with it do.
func (ps *planners) candidate(key groupKey) bool {
	weight := func(name string) uint64 { return xxhash.Sum64String(key.pool + "\x00" + key.group + "\x00" + name) }
	own, above := weight(ps.entry.settings.Name), 0
	for _, i := range ps.entry.members.withRole(instancelist.Entry) {
		if i.State == instancelist.Live && weight(i.Name) > own {
			above++
		}
	}
	return above < plannerCandidates
}

// plan runs the rounds of one group until ctx ends.
func (ps *planners) plan(ctx context.Context, key groupKey, ranks int) {
	s := ps.entry.settings
	lapse := time.Duration(s.PlannerLeaseSeconds) * time.Second
	options := mapplanner.Options{
		Pool: key.pool, Group: key.group, Ranks: ranks,
		Period:              time.Duration(s.PlanSeconds) * time.Second,
		Lease:               expertmap.LeaseTimes{RenewInterval: lapse / renewalsPerLease, ExpireAfter: lapse},
		StoreBytesPerSecond: s.WeightBytesPerSecond,
	}
	scope := ps.entry.scope.SubScope("maps").Tagged(map[string]string{"pool": key.pool, "group": key.group})
	listed := func() []instancelist.Instance { return ps.entry.members.withRole(instancelist.Agent) }
	agents := newGroupLinks(ps.entry.replicas, listed, key)
	defer agents.close()
	p := mapplanner.New(options, s.Name, ps.entry.log, scope, ps.log, agents, time.Now())
	ticker := time.NewTicker(mapplanner.RoundInterval)
	defer ticker.Stop()
	for {
		if pool, ok := ps.entry.config.View().Pool(key.pool); ok {
			p.Round(ctx, pool.SkewWeight)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// groups returns the groups of ranks that agents stand before, with their
// sizes.
func (rs *replicas) groups() map[groupKey]int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make(map[groupKey]int)
	for _, r := range rs.byKey {
		if g := r.status.GroupRank; g.Group != "" {
			out[groupKey{r.instance.Pool, g.Group}] = g.Ranks
		}
	}
	return out
}

// agentOf returns the name of the agent before a rank, and nothing where none
// is connected. Of two, the one heard last counts.
func (rs *replicas) agentOf(key groupKey, rank int) string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var found []*replica
	for _, r := range rs.byKey {
		g := r.status.GroupRank
		if r.conn != nil && r.instance.Pool == key.pool && g.Group == key.group && g.Rank == rank {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		return ""
	}
	return slices.MaxFunc(found, func(a, b *replica) int {
		return cmp.Or(a.loadAt.Compare(b.loadAt), cmp.Compare(a.instance.Name, b.instance.Name))
	}).instance.Name
}

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
	// plannerCandidates is the number of entries that follow the lease of one group.
	plannerCandidates = 3
	// renewalsPerLease is how many renewals are attempted before a lease would expire.
	renewalsPerLease = 3
)

// groupKey identifies a group of ranks.
type groupKey struct{ pool, group string }

// planners runs the planners of the groups for which this entry is a candidate.
type planners struct {
	entry *Entry
	log   *logservice.Client

	mu      sync.Mutex
	running map[groupKey]context.CancelFunc
}

func newPlanners(e *Entry, log *logservice.Client) *planners {
	return &planners{entry: e, log: log, running: make(map[groupKey]context.CancelFunc)}
}

// run starts and stops planners as groups and candidates change, until ctx ends.
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
	groups := ps.entry.replicas.groups()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for key, cancel := range ps.running {
		if _, ok := groups[key]; !ok || !ps.isCandidate(key) {
			cancel()
			delete(ps.running, key)
		}
	}
	for key, ranks := range groups {
		if _, ok := ps.running[key]; ok || !ps.isCandidate(key) {
			continue
		}
		plannerCtx, cancel := context.WithCancel(ctx)
		ps.running[key] = cancel
		group.Go(func() { ps.runPlanner(plannerCtx, key, ranks) })
	}
}

// isCandidate reports whether this entry follows the lease of the group. The candidates are the
// plannerCandidates live entries with the highest rendezvous hashes.
func (ps *planners) isCandidate(key groupKey) bool {
	hash := func(name string) uint64 { return xxhash.Sum64String(key.pool + "\x00" + key.group + "\x00" + name) }
	ownHash, higher := hash(ps.entry.settings.Name), 0
	for _, i := range ps.entry.members.withRole(instancelist.Entry) {
		if i.State == instancelist.Live && hash(i.Name) > ownHash {
			higher++
		}
	}
	return higher < plannerCandidates
}

// runPlanner runs the planning rounds of one group until ctx ends.
func (ps *planners) runPlanner(ctx context.Context, key groupKey, ranks int) {
	s := ps.entry.settings
	leaseDuration := time.Duration(s.PlannerLeaseSeconds) * time.Second
	options := mapplanner.Options{
		Pool: key.pool, Group: key.group, Ranks: ranks,
		Period:              time.Duration(s.PlanSeconds) * time.Second,
		Lease:               expertmap.LeaseTimes{RenewInterval: leaseDuration / renewalsPerLease, ExpireAfter: leaseDuration},
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

// groups returns the groups of ranks that agents report, with their sizes.
func (rs *replicas) groups() map[groupKey]int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make(map[groupKey]int)
	for _, r := range rs.byName {
		if g := r.status.GroupRank; g.Group != "" {
			out[groupKey{r.instance.Pool, g.Group}] = g.Ranks
		}
	}
	return out
}

// agentForRank returns the name of the connected agent of a rank, or an empty string. Of
// several, it returns the one with the latest load report.
func (rs *replicas) agentForRank(key groupKey, rank int) string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var matches []*replica
	for _, r := range rs.byName {
		g := r.status.GroupRank
		if r.conn != nil && r.instance.Pool == key.pool && g.Group == key.group && g.Rank == rank {
			matches = append(matches, r)
		}
	}
	if len(matches) == 0 {
		return ""
	}
	return slices.MaxFunc(matches, func(a, b *replica) int {
		return cmp.Or(a.loadAt.Compare(b.loadAt), cmp.Compare(a.instance.Name, b.instance.Name))
	}).instance.Name
}

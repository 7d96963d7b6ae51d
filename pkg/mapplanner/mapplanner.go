// Package mapplanner runs the planner of expert maps for one group at an entry. It follows the
// group's lease in the log; while it holds the lease, it reads the state of the ranks, plans a map,
// and sends the map to every agent. The decisions are made by packages expertmap and expertplan.
package mapplanner

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/expertplan"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// RoundInterval is the time between two rounds of a planner while ranks are still loading a map.
const RoundInterval = time.Second

// While no map is being loaded, the time between two rounds is Period/idleRoundsPerPeriod, at most
// ExpireAfter/idleRoundsPerLeaseExpiry of the lease, and at least RoundInterval.
const (
	idleRoundsPerPeriod      = 6
	idleRoundsPerLeaseExpiry = 10
)

const (
	streamPrefix  = "planner."
	pageRecords   = 1000
	parallelCalls = 16
	// replaceAfterPeriods is the number of periods after which a map that a rank fails to load is
	// replaced by a new one.
	replaceAfterPeriods = 5
)

// Agents reaches the agents of the group.
type Agents interface {
	// Call calls a control method of the agent of a rank.
	Call(ctx context.Context, rank int, method string, params, result any) error
}

// Options describe one group and the resources of its planner.
type Options struct {
	// Pool and Group name the group.
	Pool, Group string
	Ranks       int
	// Period is the time between two plans.
	Period time.Duration
	Lease  expertmap.LeaseTimes
	// StoreBytesPerSecond is the part of the weight store's rate that the group may use.
	StoreBytesPerSecond int
}

// Planner runs the rounds of one group. It is not safe for concurrent use.
type Planner struct {
	options Options
	log     *zap.Logger
	scope   tally.Scope
	stream  string
	client  *logservice.Client
	agents  Agents

	lease        *expertmap.Lease
	publisher    *expertmap.Publisher
	skewWeight   float64
	current      expertmap.Map
	plannedAt    time.Time
	idleUntil    time.Time
	speed        []float64
	memory       rankMemory
	logReachable bool
}

// rankMemory is the memory of a rank for experts.
type rankMemory struct {
	slots       int
	expertBytes int64
}

// New returns a planner that holds no lease. It claims the lease under an incarnation of its own,
// so that no two planners of one process share a fencing number.
func New(o Options, entry string, log *zap.Logger, scope tally.Scope, client *logservice.Client, agents Agents, now time.Time) *Planner {
	return &Planner{
		options:      o,
		log:          log.With(zap.String("pool", o.Pool), zap.String("group", o.Group)),
		scope:        scope,
		stream:       streamPrefix + o.Pool + "." + o.Group,
		client:       client,
		agents:       agents,
		lease:        expertmap.NewLease(ident.NewIncarnation(entry), o.Lease, now),
		speed:        make([]float64, o.Ranks),
		logReachable: true,
	}
}

// Round follows the lease and, while the planner holds it, the group. skewWeight is the setting of
// the pool. Most rounds return at once while no map is being loaded.
func (p *Planner) Round(ctx context.Context, skewWeight float64) {
	if time.Now().Before(p.idleUntil) {
		return
	}
	p.round(ctx, skewWeight)
	if p.publisher == nil || p.publisher.Converged() {
		p.idleUntil = time.Now().Add(idleInterval(p.options))
	}
}

// idleInterval returns the time between two rounds of a group's planner while no map is being
// loaded.
func idleInterval(o Options) time.Duration {
	return max(RoundInterval, min(o.Period/idleRoundsPerPeriod, o.Lease.ExpireAfter/idleRoundsPerLeaseExpiry))
}

func (p *Planner) round(ctx context.Context, skewWeight float64) {
	p.followLease(ctx)
	fencing, held := p.lease.Held()
	if !held {
		p.publisher = nil
		return
	}
	if p.publisher == nil || p.publisher.Fencing() != fencing {
		p.startLease(fencing)
	}
	p.skewWeight = skewWeight
	p.readRanks(ctx)
	p.adoptMap(ctx)
	p.plan(ctx, time.Now())
	p.deliverMap(ctx)
}

func (p *Planner) startLease(fencing int64) {
	p.publisher = expertmap.NewPublisher(p.options.Ranks, fencing)
	p.current = expertmap.Map{}
	p.plannedAt = time.Now()
	p.scope.Counter("leases_taken").Inc(1)
	p.log.Info("planner lease held", zap.Int64("fencing", fencing))
}

// followLease reads the lease stream to its end and appends the record that is due. While the log
// does not answer, the holder keeps the lease: no other planner can claim it.
func (p *Planner) followLease(ctx context.Context) {
	for {
		page, err := p.client.Read(ctx, p.stream, p.lease.NextOffset(), pageRecords, 0)
		p.recordLogReachable(err)
		if err != nil {
			return
		}
		now := time.Now()
		p.lease.Observe(now, decodeLease(page.Records))
		if p.lease.NextOffset() < page.Next && len(page.Records) > 0 {
			continue
		}
		if record, due := p.lease.DueRecord(now); due {
			p.appendLease(ctx, record)
		}
		return
	}
}

func (p *Planner) recordLogReachable(err error) {
	if (err == nil) != p.logReachable {
		p.logReachable = err == nil
		p.log.Info("planner lease stream: reachability changed", zap.Bool("reachable", p.logReachable), zap.Error(err))
	}
}

// appendLease appends a lease record. Its effect is read back from the stream, so the reply is not
// used.
func (p *Planner) appendLease(ctx context.Context, record expertmap.LeaseRecord) {
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	if _, err := p.client.Append(ctx, p.stream, data); err != nil {
		p.scope.Counter("lease_appends_failed").Inc(1)
	}
}

func decodeLease(records []logservice.Record) []expertmap.LeaseEntry {
	out := make([]expertmap.LeaseEntry, len(records))
	for i, r := range records {
		out[i].Offset = r.Offset
		_ = json.Unmarshal(r.Data, &out[i].Record)
	}
	return out
}

// readRanks asks every agent for the state of its rank.
func (p *Planner) readRanks(ctx context.Context) {
	var mu sync.Mutex
	p.forEachRank(ctx, allRanks(p.options.Ranks), func(ctx context.Context, rank int) {
		var state engine.RankState
		if err := p.agents.Call(ctx, rank, agentlink.MethodRankState, struct{}{}, &state); err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		p.publisher.Observe(rank, state.Loaded)
		p.speed[rank] = state.Speed
		p.memory = rankMemory{state.Slots, state.ExpertBytes}
	})
}

// adoptMap reads the content of a map that was published under an earlier lease.
func (p *Planner) adoptMap(ctx context.Context) {
	target := p.publisher.Target()
	if p.current.Version == target && p.current.Ranks > 0 {
		return
	}
	for rank := range p.options.Ranks {
		var m expertmap.Map
		if p.agents.Call(ctx, rank, agentlink.MethodExpertMap, struct{}{}, &m) == nil && m.Version == target && m.Ranks == p.options.Ranks && m.Validate() == nil {
			p.current = m
			return
		}
	}
}

// plan publishes a new map if the period has passed, every rank has loaded the last map, and a
// better map is worth its cost.
func (p *Planner) plan(ctx context.Context, now time.Time) {
	if !p.planDue(now) || p.current.Version != p.publisher.Target() {
		return
	}
	popularity, ok := p.popularity(ctx)
	if !ok {
		return
	}
	p.plannedAt = now
	start := time.Now()
	plan, ok := expertplan.Make(p.planOptions(), p.current.Layers, expertplan.Input{Popularity: popularity.Layers, Speed: p.speed})
	p.scope.Timer("plan").Record(time.Since(start))
	p.scope.Gauge("predicted_step").Update(plan.Before)
	if !ok {
		return
	}
	version, ok := p.publisher.NextVersion()
	if !ok {
		return
	}
	p.current = expertmap.Map{Version: version, Ranks: p.options.Ranks, Layers: plan.Layers}
	p.scope.Counter("maps_published").Inc(1)
	p.scope.Counter("experts_moved").Inc(int64(plan.Moves))
	p.log.Info("expert map published", zap.String("map", p.current.Version.String()),
		zap.Int("moves", plan.Moves), zap.Float64("predictedStepBefore", plan.Before), zap.Float64("predictedStepAfter", plan.After))
}

// planDue reports whether a plan is due. A map that some rank fails to load is abandoned after
// replaceAfterPeriods.
func (p *Planner) planDue(now time.Time) bool {
	since := now.Sub(p.plannedAt)
	if p.publisher.Converged() {
		return since >= p.options.Period
	}
	return p.publisher.AllReported() && since >= replaceAfterPeriods*p.options.Period
}

func (p *Planner) planOptions() expertplan.Options {
	return expertplan.Options{
		Slots:               p.memory.slots,
		SkewWeight:          p.skewWeight,
		ExpertBytes:         max(1, p.memory.expertBytes),
		StoreBytesPerSecond: int64(p.options.StoreBytesPerSecond),
		Period:              p.options.Period,
	}
}

// popularity returns the popularity of the experts. It asks one agent, since every rank knows the
// popularity of the whole group.
func (p *Planner) popularity(ctx context.Context) (engine.Popularity, bool) {
	for rank := range p.options.Ranks {
		var out engine.Popularity
		err := p.agents.Call(ctx, rank, agentlink.MethodPopularity, struct{}{}, &out)
		if err == nil {
			return out, true
		}
	}
	return engine.Popularity{}, false
}

// deliverMap sends the target map to every agent whose rank has not loaded it.
func (p *Planner) deliverMap(ctx context.Context) {
	if p.current.Version != p.publisher.Target() || p.current.Ranks == 0 {
		return
	}
	order := agentlink.OrderMapRequest{Fencing: p.publisher.Fencing(), Map: p.current}
	p.forEachRank(ctx, p.publisher.RanksBehind(), func(ctx context.Context, rank int) {
		var reply agentlink.OrderMapReply
		err := p.agents.Call(ctx, rank, agentlink.MethodOrderMap, order, &reply)
		if problem.Is(err, problem.FencedOff) {
			p.scope.Counter("orders_fenced_off").Inc(1)
		}
	})
}

// forEachRank makes a call for every rank, up to parallelCalls at a time.
func (p *Planner) forEachRank(ctx context.Context, ranks []int, call func(ctx context.Context, rank int)) {
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	for _, rank := range ranks {
		group.Go(func() error {
			call(ctx, rank)
			return nil
		})
	}
	_ = group.Wait()
}

func allRanks(n int) []int {
	return slices.Collect(func(yield func(int) bool) {
		for i := range n {
			if !yield(i) {
				return
			}
		}
	})
}

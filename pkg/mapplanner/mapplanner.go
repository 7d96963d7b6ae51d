// Package mapplanner runs the planner of expert maps for one group at an
// entry: it follows the group's lease in the log, and while it holds the lease
// it reads the ranks, plans, and brings each map to every agent. All that it
// decides comes from expertmap and expertplan.
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

// RoundInterval is the time from one round of a planner to the next while a
// map is on its way to the ranks.
const RoundInterval = time.Second

// restsPerPeriod and restsPerLapse bound how long a planner rests between two
// rounds: parts of the time between plans and of the lapse of its lease.
const (
	restsPerPeriod = 6
	restsPerLapse  = 10
)

const (
	streamPrefix  = "planner."
	pageRecords   = 1000
	parallelCalls = 16
	// unsettledPeriods is after how many periods a map that a rank fails to
	// load is replaced by a new one.
	unsettledPeriods = 5
)

// Agents reaches the agents of the group.
type Agents interface {
	// Call calls a control method of the agent of a rank.
	Call(ctx context.Context, rank int, method string, params, result any) error
}

// Options describe one group.
type Options struct {
	// Pool and Group name the group.
	Pool, Group string
	Ranks       int
	// Period is the time from one plan to the next.
	Period time.Duration
	Lease  expertmap.LeaseTimes
	// StoreBytesPerSecond is the part of the weight store's rate for the group.
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

	lease     *expertmap.Lease
	publisher *expertmap.Publisher
	weight    float64
	content   expertmap.Map
	plannedAt time.Time
	restUntil time.Time
	speed     []float64
	memory    memory
	reachable bool
}

// memory is the room of a rank for experts.
type memory struct {
	slots       int
	expertBytes int64
}

// New returns a planner that holds no lease. It claims one under an
// incarnation of its own, so that no two planners of one process share a
// fencing number.
func New(o Options, entry string, log *zap.Logger, scope tally.Scope, client *logservice.Client, agents Agents, now time.Time) *Planner {
	return &Planner{
		options:   o,
		log:       log.With(zap.String("pool", o.Pool), zap.String("group", o.Group)),
		scope:     scope,
		stream:    streamPrefix + o.Pool + "." + o.Group,
		client:    client,
		agents:    agents,
		lease:     expertmap.NewLease(ident.NewIncarnation(entry), o.Lease, now),
		speed:     make([]float64, o.Ranks),
		reachable: true,
	}
}

// Round follows the lease and, while it is held, the group. skewWeight is the
// pool's knob. While no map is on its way, most rounds do nothing.
func (p *Planner) Round(ctx context.Context, skewWeight float64) {
	if time.Now().Before(p.restUntil) {
		return
	}
	p.round(ctx, skewWeight)
	if p.publisher == nil || p.publisher.Converged() {
		p.restUntil = time.Now().Add(restOf(p.options))
	}
}

// restOf returns how long a planner of the group rests while no map is on its
// way.
func restOf(o Options) time.Duration {
	return max(RoundInterval, min(o.Period/restsPerPeriod, o.Lease.ExpireAfter/restsPerLapse))
}

func (p *Planner) round(ctx context.Context, skewWeight float64) {
	p.followLease(ctx)
	fencing, held := p.lease.Held()
	if !held {
		p.publisher = nil
		return
	}
	if p.publisher == nil || p.publisher.Fencing() != fencing {
		p.begin(fencing)
	}
	p.weight = skewWeight
	p.readRanks(ctx)
	p.adopt(ctx)
	p.plan(ctx, time.Now())
	p.bring(ctx)
}

func (p *Planner) begin(fencing int64) {
	p.publisher = expertmap.NewPublisher(p.options.Ranks, fencing)
	p.content = expertmap.Map{}
	p.plannedAt = time.Now()
	p.scope.Counter("leases_taken").Inc(1)
	p.log.Info("planner lease held", zap.Int64("fencing", fencing))
}

// followLease reads the lease stream to its end and writes what is due. While
// the log does not answer, a holder stays holder: nobody else can claim.
func (p *Planner) followLease(ctx context.Context) {
	for {
		page, err := p.client.Read(ctx, p.stream, p.lease.NextOffset(), pageRecords, 0)
		p.noteLog(err)
		if err != nil {
			return
		}
		now := time.Now()
		p.lease.Observe(now, decode(page.Records))
		if p.lease.NextOffset() < page.Next && len(page.Records) > 0 {
			continue
		}
		if record, due := p.lease.DueRecord(now); due {
			p.write(ctx, record)
		}
		return
	}
}

func (p *Planner) noteLog(err error) {
	if (err == nil) != p.reachable {
		p.reachable = err == nil
		p.log.Info("planner lease stream", zap.Bool("reachable", p.reachable), zap.Error(err))
	}
}

// write appends a lease record. What took effect is read back from the stream,
// so the reply is of no use.
func (p *Planner) write(ctx context.Context, record expertmap.LeaseRecord) {
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	if _, err := p.client.Append(ctx, p.stream, data); err != nil {
		p.scope.Counter("lease_appends_failed").Inc(1)
	}
}

func decode(records []logservice.Record) []expertmap.LeaseEntry {
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
	p.each(ctx, allRanks(p.options.Ranks), func(ctx context.Context, rank int) {
		var state engine.RankState
		if err := p.agents.Call(ctx, rank, agentlink.MethodRankState, struct{}{}, &state); err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		p.publisher.Observe(rank, state.Loaded)
		p.speed[rank] = state.Speed
		p.memory = memory{state.Slots, state.ExpertBytes}
	})
}

// adopt reads the content of a map that an earlier lease has left.
func (p *Planner) adopt(ctx context.Context) {
	target := p.publisher.Target()
	if p.content.Version == target && p.content.Ranks > 0 {
		return
	}
	for rank := range p.options.Ranks {
		var m expertmap.Map
		if p.agents.Call(ctx, rank, agentlink.MethodExpertMap, struct{}{}, &m) == nil && m.Version == target && m.Ranks == p.options.Ranks && m.Validate() == nil {
			p.content = m
			return
		}
	}
}

// plan publishes a new map where the period has passed, every rank holds the
// last one, and a better one is worth its cost.
func (p *Planner) plan(ctx context.Context, now time.Time) {
	if !p.due(now) || p.content.Version != p.publisher.Target() {
		return
	}
	popularity, ok := p.popularity(ctx)
	if !ok {
		return
	}
	p.plannedAt = now
	start := time.Now()
	plan, ok := expertplan.Make(p.planOptions(), p.content.Layers, expertplan.Input{Popularity: popularity.Layers, Speed: p.speed})
	p.scope.Timer("plan").Record(time.Since(start))
	p.scope.Gauge("predicted_step").Update(plan.Before)
	if !ok {
		return
	}
	version, ok := p.publisher.NextVersion()
	if !ok {
		return
	}
	p.content = expertmap.Map{Version: version, Ranks: p.options.Ranks, Layers: plan.Layers}
	p.scope.Counter("maps_published").Inc(1)
	p.scope.Counter("experts_moved").Inc(int64(plan.Moves))
	p.log.Info("expert map published", zap.String("map", p.content.Version.String()),
		zap.Int("moves", plan.Moves), zap.Float64("before", plan.Before), zap.Float64("after", plan.After))
}

// due reports whether it is time for a plan. A map that some rank has not
// loaded for long is given up.
func (p *Planner) due(now time.Time) bool {
	since := now.Sub(p.plannedAt)
	if p.publisher.Converged() {
		return since >= p.options.Period
	}
	return p.publisher.AllReported() && since >= unsettledPeriods*p.options.Period
}

func (p *Planner) planOptions() expertplan.Options {
	return expertplan.Options{
		Slots:               p.memory.slots,
		SkewWeight:          p.weight,
		ExpertBytes:         max(1, p.memory.expertBytes),
		StoreBytesPerSecond: int64(p.options.StoreBytesPerSecond),
		Period:              p.options.Period,
	}
}

// popularity asks one agent: every rank knows that of the whole group.
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

// bring sends the target to every agent whose rank lacks it.
func (p *Planner) bring(ctx context.Context) {
	if p.content.Version != p.publisher.Target() || p.content.Ranks == 0 {
		return
	}
	order := agentlink.OrderMapRequest{Fencing: p.publisher.Fencing(), Map: p.content}
	p.each(ctx, p.publisher.RanksBehind(), func(ctx context.Context, rank int) {
		var reply agentlink.OrderMapReply
		err := p.agents.Call(ctx, rank, agentlink.MethodOrderMap, order, &reply)
		if problem.Is(err, problem.FencedOff) {
			p.scope.Counter("orders_fenced_off").Inc(1)
		}
	})
}

// each runs a call for every rank, a few at a time.
func (p *Planner) each(ctx context.Context, ranks []int, call func(ctx context.Context, rank int)) {
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

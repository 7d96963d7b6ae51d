package rankagent

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/popularity"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// roundPause is the time between two looks at the group.
	roundPause = 100 * time.Millisecond
	// roundTimeout and roundTimeoutRank bound one look.
	roundTimeout     = 400 * time.Millisecond
	roundTimeoutRank = 15 * time.Millisecond
	// MaxWindowRanks bounds the ranks that are asked for their counts, since their answers
	// share the planner's link: always the same ones, so that what they tell is no
	// older than one look.
	MaxWindowRanks = 16
	// clearTimeout bounds the clearing of a switch that failed.
	clearTimeout = 3 * time.Second
	// topicWait is how long the planner's reads wait for a record.
	topicWait = 2 * time.Second
	// DemandHalfLife is the time in which a choice loses half its weight.
	DemandHalfLife = 1500 * time.Millisecond
	// leastChoices is the number of choices below which nothing is planned.
	leastChoices = 20_000
	// MinPlanGain is the part of the mean load by which a plan has to lower the
	// load of the most loaded ranks.
	MinPlanGain = 0.15
	// MinCopyGain is the same for one copied expert of one set, times the number of
	// ranks: a copy costs the same in any group, a shorter pass is worth more in a
	// larger one.
	MinCopyGain = 0.6
	// MinPlanInterval is the least time from one map to the next.
	MinPlanInterval = 150 * time.Millisecond
	// nextTime is how long a map that could not be switched to is tried again.
	nextTime = 4 * time.Second
)

// planner plans the maps of one service's groups.
type planner struct {
	agent *Agent
	log   *zap.Logger
	// life is the planner's term.
	life   context.Context
	fences *mapswitch.FenceCounter

	mu      sync.Mutex
	servers map[string]fleet.Server
	engine  *fleet.Engine

	// ranks holds the controls by the engine's address.
	ranks  map[string]*remoteRank
	groups map[string]*group
}

// group is what the planner knows of one group in one epoch.
type group struct {
	name  string
	epoch int64
	// clean is true once nothing of an earlier planner or switch is pending.
	clean   bool
	demand  *popularity.Estimator
	present rankcontrol.Map
	version int64
	// next is a map that is being copied.
	next      rankcontrol.Map
	nextID    int64
	nextSince time.Time
	changed   time.Time
	pace      pace
	arming    arming
	opening   opening
	// rests is why the group is not planned now; empty while it is.
	rests string
}

func newPlanner(a *Agent, generation int64) *planner {
	return &planner{
		agent: a, log: a.log.With(zap.Int64("generation", generation)), fences: mapswitch.NewFenceCounter(generation),
		servers: make(map[string]fleet.Server), ranks: make(map[string]*remoteRank), groups: make(map[string]*group),
	}
}

// run plans until ctx ends or another planner has taken over.
func (p *planner) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.life = ctx
	var topics sync.WaitGroup
	topics.Go(func() {
		follow.Run(ctx, p.agent.shared, follow.Options{Topic: sharedlog.Operators, Wait: topicWait}, (*configurationSink)(p), p.log)
	})
	topics.Go(func() {
		follow.Run(ctx, p.agent.shared, follow.Options{Topic: sharedlog.Servers, Wait: topicWait}, (*rankSink)(p), p.log)
	})
	defer topics.Wait()
	defer cancel()
	defer func() {
		for _, r := range p.ranks {
			r.close()
		}
	}()
	for ctx.Err() == nil {
		if err := p.round(ctx); errors.Is(err, mapswitch.ErrFenced) {
			p.log.Warn("another planner has taken over")
			return
		}
		wait.For(ctx, roundPause)
	}
}

// round looks at each group once.
func (p *planner) round(ctx context.Context) error {
	p.mu.Lock()
	engine := p.engine
	members := make(map[string][]fleet.Server)
	for _, s := range p.servers {
		if s.Ranks > 0 && s.Service == p.agent.settings.Service {
			members[s.Group] = append(members[s.Group], s)
		}
	}
	p.mu.Unlock()
	if engine == nil || engine.Sets == 0 {
		return nil
	}
	for name, servers := range members {
		if err := p.lookAt(ctx, name, servers, engine); err != nil {
			return err
		}
	}
	return nil
}

// lookAt reads the ranks of one group and takes the next step of its map.
func (p *planner) lookAt(ctx context.Context, name string, servers []fleet.Server, engine *fleet.Engine) error {
	g := p.groups[name]
	if g == nil {
		g = &group{name: name}
		p.groups[name] = g
	}
	now := time.Now()
	members := p.read(ctx, fleet.NewestByAddress(servers), withWindow(len(servers)))
	digest := p.digest(name, members)
	servers, statuses, err := inOrder(members)
	if err != nil {
		p.agent.tellEntries(digest)
		p.rests(g, err.Error())
		g.clean = false
		return nil
	}
	if epoch := statuses[0].Report.Epoch; g.epoch != epoch {
		*g = group{name: name, epoch: epoch, arming: g.arming, demand: popularity.New(len(servers), engine.Sets, engine.Experts, DemandHalfLife)}
		g.opening.begin(now, statuses[0].Report.Map)
	}
	if g.opening.lasts(now) {
		digest.State = fleet.GroupForming
	}
	p.agent.tellEntries(digest)
	g.pace.look(now, statuses[0].Report.Step)
	g.demand.DecayTo(now)
	for r, s := range statuses {
		g.demand.Observe(r, s.Window)
	}
	if g.demand.MergeWindows() {
		p.log.Info("other experts are in demand", zap.String("group", g.name))
	}
	err = p.advance(ctx, g, servers, statuses, engine)
	if digest.State == fleet.GroupForming && !g.opening.lasts(time.Now()) {
		digest.State = fleet.GroupOpen
		p.agent.tellEntries(digest)
	}
	return err
}

// rests logs why a group is not planned now, once for each reason.
func (p *planner) rests(g *group, reason string) {
	if g.rests != reason {
		p.log.Info("planning of a group", zap.String("group", g.name), zap.Int64("epoch", g.epoch), zap.Bool("rests", reason != ""), zap.String("reason", reason))
	}
	g.rests = reason
}

// withWindow tells which of a number of ranks are asked for their counts.
func withWindow(ranks int) func(i int) statusRequest {
	every := max((ranks+MaxWindowRanks-1)/MaxWindowRanks, 1)
	return func(i int) statusRequest { return statusRequest{Window: i%every == 0} }
}

// digest returns what the entries are told of a group.
func (p *planner) digest(name string, members []member) *gossip.Digest {
	d := &gossip.Digest{Service: p.agent.settings.Service, Group: name, PeerAddress: p.peer(), State: fleet.GroupOpen}
	for _, m := range members {
		r := m.status.Report
		if m.err != nil {
			continue
		}
		if r.Epoch > d.Epoch {
			d.Epoch = r.Epoch
		}
		if r.State == fleet.GroupBroken {
			d.State = fleet.GroupBroken
		}
		d.Ranks = append(d.Ranks, gossip.RankState{Address: m.server.Address, Born: r.Incarnation, Running: r.Running, Waiting: r.Waiting, Pace: r.Slowdown})
	}
	return d
}

func (p *planner) peer() string {
	return net.JoinHostPort(p.agent.settings.IP, strconv.Itoa(p.agent.settings.PeerPort))
}

func (p *planner) rank(address string) *remoteRank {
	r := p.ranks[address]
	if r == nil {
		host, _, _ := net.SplitHostPort(address) // announcements with another address are not taken
		r = &remoteRank{life: p.life, planner: p.peer(), timeout: p.timeout(), agent: net.JoinHostPort(host, strconv.Itoa(p.agent.settings.PeerPort)), direct: p.agent.control(address)}
		p.ranks[address] = r
	}
	return r
}

// timeout bounds a call to an agent.
func (p *planner) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return agentTimeout + time.Duration(len(p.servers))*agentTimeoutRank
}

// formation returns the control of a group's ranks. The anchor is the rank
// beside this agent, whose orders take the shortest way.
func (p *planner) formation(g *group, servers []fleet.Server) *mapswitch.Group {
	f := &mapswitch.Group{Epoch: g.epoch, Fences: p.fences, PassTime: g.pace.pass, ArmingTime: g.arming.time()}
	for r, s := range servers {
		f.Ranks = append(f.Ranks, p.rank(s.Address))
		if s.Address == p.agent.settings.BackendAddress {
			f.Anchor = r
		}
	}
	return f
}

// advance takes the next step of a group's map.
func (p *planner) advance(ctx context.Context, g *group, servers []fleet.Server, statuses []rankStatus, engine *fleet.Engine) error {
	f := p.formation(g, servers)
	if !g.clean || stray(statuses) {
		return p.clear(ctx, g, f)
	}
	version := statuses[0].Report.Map
	for _, s := range statuses {
		if s.Report.Map != version || s.Report.Armed != 0 {
			p.rests(g, "the ranks are about to change over")
			return nil
		}
	}
	if err := p.learn(ctx, g, servers, version, engine); err != nil {
		p.rests(g, err.Error())
		return nil
	}
	p.rests(g, "")
	if g.next != nil {
		return p.complete(ctx, g, f, statuses)
	}
	return p.plan(ctx, g, f, statuses, engine)
}

// stray reports whether a rank holds the group though no switch is under way.
func stray(statuses []rankStatus) bool {
	return slices.ContainsFunc(statuses, func(s rankStatus) bool { return s.Report.HeldStep != 0 })
}

// clear shuts out earlier planners and clears up what they left.
func (p *planner) clear(ctx context.Context, g *group, f *mapswitch.Group) error {
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	err := f.Resolve(ctx)
	g.clean = err == nil
	p.log.Info("cleared up a group", zap.String("group", g.name), zap.Int64("epoch", g.epoch), telemetry.Err(err))
	return onlyFenced(err)
}

func onlyFenced(err error) error {
	if errors.Is(err, mapswitch.ErrFenced) {
		return err
	}
	return nil
}

// learn makes sure that the content of the present map is known.
func (p *planner) learn(ctx context.Context, g *group, servers []fleet.Server, version int64, engine *fleet.Engine) error {
	if g.present != nil && g.version == version {
		return nil
	}
	switch {
	case version == 0:
		g.present = evenplan.Uniform(engine.Sets, engine.Experts, len(servers))
	case version == g.nextID && g.next != nil:
		g.present = g.next
	default:
		_, statuses, err := inOrder(p.read(ctx, servers, func(int) statusRequest { return statusRequest{Map: true} }))
		if err != nil {
			return err
		}
		present := make(rankcontrol.Map, engine.Sets)
		for r, s := range statuses {
			if len(s.Experts) != engine.Sets || s.Report.Map != version {
				return errors.Newf("rank %d does not tell its experts of version %d", r, version)
			}
			for set, experts := range s.Experts {
				present[set] = append(present[set], experts)
			}
		}
		g.present = present
	}
	g.version = version
	if version == g.nextID {
		g.next = nil
	}
	return nil
}

// plan makes the ranks prepare a better map where there is one.
func (p *planner) plan(ctx context.Context, g *group, f *mapswitch.Group, statuses []rankStatus, engine *fleet.Engine) error {
	if time.Since(g.changed) < MinPlanInterval || g.demand.TotalChoices() < leastChoices {
		return nil
	}
	limits := evenplan.Limits{Places: engine.Places, Spare: engine.Spare, MinCopyGain: MinCopyGain / float64(len(f.Ranks))}
	for _, s := range statuses {
		limits.Slowdown = append(limits.Slowdown, s.Report.Slowdown)
	}
	began := time.Now()
	plan := evenplan.Make(limits, g.present, g.demand.Samples())
	if plan.Before-plan.After < MinPlanGain {
		p.log.Debug("the map stays", zap.Float64("skew", plan.Before), zap.Float64("best", plan.After))
		return nil
	}
	planned := time.Since(began)
	version := p.fences.NextVersion()
	err := f.Prepare(ctx, version, plan.Sets, g.version, g.present)
	p.log.Info("prepare a map", zap.String("group", g.name), zap.Int64("epoch", g.epoch), zap.Int64("version", version),
		zap.Float64("skewBefore", plan.Before), zap.Float64("skewAfter", plan.After), zap.Int("copies", plan.Copies),
		zap.Float64("slowest", slices.Max(limits.Slowdown)),
		zap.Float64("choices", g.demand.TotalChoices()), zap.Duration("planned", planned), zap.Duration("took", time.Since(began)), telemetry.Err(err))
	p.agent.scope.Counter("maps_prepared").Inc(1)
	g.changed = time.Now()
	if err != nil {
		return onlyFenced(err)
	}
	g.next, g.nextID, g.nextSince = plan.Sets, version, time.Now()
	return p.switchOver(ctx, g, f)
}

// complete switches to a map that every rank has prepared.
func (p *planner) complete(ctx context.Context, g *group, f *mapswitch.Group, statuses []rankStatus) error {
	for _, s := range statuses {
		if s.Report.Prepared == g.nextID {
			continue
		}
		if time.Since(g.nextSince) > nextTime {
			p.log.Warn("a map was not prepared in time", zap.String("group", g.name), zap.Int64("version", g.nextID))
			g.next = nil
		}
		return nil
	}
	return p.switchOver(ctx, g, f)
}

// switchOver switches to the next map. A rank that has not copied it yet takes
// the switch back, which costs a few orders.
func (p *planner) switchOver(ctx context.Context, g *group, f *mapswitch.Group) error {
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	began := time.Now()
	err := f.Switch(ctx, g.nextID)
	g.arming.took(f.LastArmingTime)
	p.log.Info("switch to a map", zap.String("group", g.name), zap.Int64("epoch", g.epoch), zap.Int64("version", g.nextID),
		zap.Duration("took", time.Since(began)), zap.Duration("armed", f.LastArmingTime), zap.Duration("pass", f.PassTime),
		zap.Int64("unanswered", f.Unanswered()), telemetry.Err(err))
	g.changed = time.Now()
	if err != nil {
		g.clean, g.next = false, nil
		return onlyFenced(err)
	}
	p.agent.scope.Counter("maps_switched").Inc(1)
	g.opening.end()
	return nil
}

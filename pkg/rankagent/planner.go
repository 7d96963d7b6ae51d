package rankagent

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/panics"
	"github.com/fescuehub/fescuehub/pkg/popularity"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// roundInterval is the time between two planning rounds.
	roundInterval = 100 * time.Millisecond
	// roundTimeout plus roundTimeoutPerRank for each rank bounds the status calls of one round.
	roundTimeout        = 400 * time.Millisecond
	roundTimeoutPerRank = 15 * time.Millisecond
	// MaxWindowRanks bounds the ranks that are asked for their expert counts, because their answers
	// share the planner's link. Each round asks the same ranks, so that a window of counts covers
	// no more than one round.
	MaxWindowRanks = 16
	// maxConcurrentRanks bounds the ranks of the groups that are reconciled at the same time. The
	// answers and orders of more ranks delay each other on the planner's link, so that a larger
	// group is reconciled alone.
	maxConcurrentRanks int64 = 64
	// resolveTimeout bounds one switch, and the recovery of a group after a failed switch.
	resolveTimeout = 3 * time.Second
	// entryEngineTimeout is how long a planner waits for the engine configuration from an entry before
	// it reads the operators' topic itself. Entries renew their subscriptions each second. The topic
	// may hold a megabyte, which the links of some instances transmit in more than a second.
	entryEngineTimeout = 1500 * time.Millisecond
	// topicPollTimeout is how long a read of a topic waits for a new record.
	topicPollTimeout = 2 * time.Second
	// DemandHalfLife is the time in which the weight of a counted expert choice halves.
	DemandHalfLife = 1500 * time.Millisecond
	// minChoices is the number of counted choices below which no map is planned.
	minChoices = 20_000
	// MinPlanGain is the least reduction of the load of the most loaded ranks for which a new map
	// is prepared, as a fraction of the mean load.
	MinPlanGain = 0.15
	// MinCopyGain, divided by the number of ranks, is the least such reduction for each copied
	// expert of one set. A copy costs the same in a group of any size, but a shorter pass is worth
	// more in a larger group.
	MinCopyGain = 0.6
	// MinPlanInterval is the least time between two maps.
	MinPlanInterval = 150 * time.Millisecond
	// nextMapTimeout is how long the ranks may take to prepare the next map before it is abandoned.
	nextMapTimeout = 4 * time.Second
	// pendingInterval is the time between two rounds while the ranks are about to begin the pass with a
	// new map.
	pendingInterval = 20 * time.Millisecond
)

// switchBuckets are the buckets of the time from a noticed change of demand to a switch, 20 ms to 5 s.
var switchBuckets = tally.MustMakeExponentialDurationBuckets(20*time.Millisecond, 1.6, 13)

// planner plans the expert maps of the groups of one service.
type planner struct {
	agent *Agent
	log   *zap.Logger
	// ctx ends with this planner's term.
	ctx    context.Context
	fences *mapswitch.FenceCounter

	mu      sync.Mutex
	servers map[string]fleet.Server
	// restoredServers holds the servers that a restored log does not list, and when each of them is
	// removed unless it announces itself again.
	restoredServers map[string]time.Time
	engine          *fleet.Engine
	// version is the version of the configuration that engine is part of.
	version int64

	// concurrency bounds the ranks of the groups that are reconciled at the same time.
	concurrency *semaphore.Weighted
	// ranks holds the control of each rank by the address of its engine.
	ranks map[string]*remoteRank
}

// group is the state of one group in one epoch.
type group struct {
	name  string
	epoch int64
	// shape is the size of the group's expert maps.
	shape rankcontrol.Shape
	// resolved is true once no order of an earlier planner or of a failed switch is pending.
	resolved       bool
	demand         *popularity.Estimator
	current        rankcontrol.Map
	currentVersion int64
	// next is the map that the ranks are preparing; nil if there is none. nextVersion is its
	// version, and nextSentAt the time when the orders to prepare it had been sent.
	next           rankcontrol.Map
	nextVersion    int64
	nextSentAt     time.Time
	preparation    *preparation
	stages         stages
	lastChange     time.Time
	passTimer      passTimer
	armingEstimate armingEstimate
	formingPhase   formingPhase
	// digest is the digest that was sent last, and digestReadAt when its loads were read.
	digest       *gossip.Digest
	digestReadAt time.Time
	// pauseReason says why the group is not being planned; it is empty while the group is planned.
	pauseReason string
}

func newPlanner(a *Agent, o sharedlog.Ownership) *planner {
	return &planner{
		agent:       a,
		concurrency: semaphore.NewWeighted(maxConcurrentRanks),
		log:         a.log.With(zap.Int64("timeline", int64(o.Timeline)), zap.Int64("generation", o.Generation)),
		fences:      mapswitch.NewFenceCounter(o.Timeline, o.Generation),
		servers:     make(map[string]fleet.Server), restoredServers: make(map[string]time.Time), ranks: make(map[string]*remoteRank),
	}
}

// run plans until ctx ends, another planner takes over, or the fences are exhausted. The error is nil
// if ctx ended.
func (p *planner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.ctx = ctx
	var topics sync.WaitGroup
	topics.Go(func() {
		wait.For(ctx, entryEngineTimeout)
		if engine, _ := p.newestEngine(); engine == nil && ctx.Err() == nil {
			p.log.Info("no entry has sent the engine configuration; it is read from the shared log")
			follow.Run(ctx, p.agent.shared, follow.Options{Topic: sharedlog.Operators, Wait: topicPollTimeout}, (*configurationSink)(p), p.log)
		}
	})
	topics.Go(func() {
		follow.Run(ctx, p.agent.shared, follow.Options{Topic: sharedlog.Servers, Wait: topicPollTimeout}, (*rankSink)(p), p.log)
	})
	defer topics.Wait()
	defer cancel()
	defer p.closeRanks()
	var groups errgroup.Group
	planned := make(map[string]bool)
	for ctx.Err() == nil {
		for name := range p.members() {
			if !planned[name] {
				planned[name] = true
				groups.Go(func() error { defer cancel(); return p.runGroup(ctx, name) })
			}
		}
		wait.For(ctx, roundInterval)
	}
	return groups.Wait()
}

// members returns the servers of each group of the service.
func (p *planner) members() map[string][]fleet.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLapsedServers(time.Now())
	members := make(map[string][]fleet.Server)
	for _, s := range p.servers {
		if s.Ranks > 0 && s.Service == p.agent.settings.Service {
			members[s.Group] = append(members[s.Group], s)
		}
	}
	return members
}

// runGroup plans one group until ctx ends. Small groups are planned concurrently: while the ranks of
// one copy experts, another may need a new map. An error means that this planner must stop.
func (p *planner) runGroup(ctx context.Context, name string) error {
	g := &group{name: name}
	defer func() { g.preparation.abandon() }()
	for ctx.Err() == nil {
		var err error
		if panicked := panics.Catch(func() { err = p.round(ctx, g) }); panicked != nil {
			p.log.Error("a planning round failed; the group is read anew", zap.String("group", name), telemetry.Err(panicked))
			g.preparation.abandon()
			g = &group{name: name}
		}
		if err != nil {
			p.log.Warn("planning stopped", zap.String("group", name), telemetry.Err(err))
			return err
		}
		g.awaitRound(ctx)
	}
	return nil
}

// awaitRound waits until the next round of the group is due.
func (g *group) awaitRound(ctx context.Context) {
	if g.preparation == nil {
		interval := roundInterval
		if g.stages.inSwitch && time.Since(g.lastChange) < resolveTimeout {
			interval = pendingInterval
		}
		wait.For(ctx, interval)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.stages.roundDelay(time.Now()))
	defer cancel()
	select {
	case <-ctx.Done():
	case <-g.preparation.done:
	}
}

// round reconciles a group once. An error means that this planner must stop.
func (p *planner) round(ctx context.Context, g *group) error {
	if g.preparation.ended() {
		// This needs no announcement: awaitRound returns at once until the preparation is settled.
		return p.withinConcurrency(ctx, len(g.preparation.group.Ranks), func() error { return p.switchAfterPreparation(ctx, g) })
	}
	servers := p.members()[g.name]
	engine, _ := p.newestEngine()
	if engine == nil || engine.Sets == 0 || len(servers) == 0 {
		return nil
	}
	return p.withinConcurrency(ctx, len(servers), func() error {
		if g.preparation.ended() {
			return p.switchAfterPreparation(ctx, g)
		}
		return p.reconcileGroup(ctx, g, servers, engine)
	})
}

// withinConcurrency calls a function for a group of a number of ranks once the other groups leave it enough of
// this planner's link and processor. It does not call the function if ctx ends before.
func (p *planner) withinConcurrency(ctx context.Context, ranks int, call func() error) error {
	weight := min(int64(ranks), maxConcurrentRanks)
	if err := p.concurrency.Acquire(ctx, weight); err != nil {
		return nil // ctx has ended
	}
	defer p.concurrency.Release(weight)
	return call()
}

// newestEngine returns the engine configuration of the newest version that this planner has read or an
// entry has sent, and the version; nil if there is none.
func (p *planner) newestEngine() (*fleet.Engine, int64) {
	p.mu.Lock()
	engine, version := p.engine, p.version
	p.mu.Unlock()
	p.agent.mu.Lock()
	defer p.agent.mu.Unlock()
	if sent := p.agent.engine; sent != nil && (engine == nil || sent.Version > version) {
		return &sent.Engine, sent.Version
	}
	return engine, version
}

// reconcileGroup reads the status of all ranks of a group, sends the group's digest to the entries
// and advances the group's expert map.
func (p *planner) reconcileGroup(ctx context.Context, g *group, servers []fleet.Server, engine *fleet.Engine) error {
	now := time.Now()
	request := windowRequests(len(servers))
	counted := g.stages.countsDue()
	if !counted {
		request = func(int) statusRequest { return statusRequest{} }
	}
	members := p.readStatuses(ctx, fleet.NewestByAddress(servers), request)
	digest := p.digest(g.name, members)
	servers, statuses, err := orderedRanks(members)
	if err != nil {
		p.agent.sendDigest(digest, now)
		p.setPauseReason(g, err.Error())
		g.resolved = false
		return nil
	}
	shape := rankcontrol.Shape{Sets: engine.Sets, Experts: engine.Experts, Ranks: len(servers)}
	if !shape.Valid() {
		p.agent.sendDigest(digest, now)
		p.setPauseReason(g, fmt.Sprintf("the configured expert maps are empty or too large: %+v", shape))
		return nil
	}
	if epoch := statuses[0].Report.Epoch; g.epoch != epoch || g.shape != shape {
		g.preparation.abandon()
		*g = group{name: g.name, epoch: epoch, shape: shape, armingEstimate: g.armingEstimate, stages: stages{overhead: g.stages.overhead}, demand: popularity.New(len(servers), engine.Sets, engine.Experts, DemandHalfLife)}
		g.formingPhase.begin(now, statuses[0].Report.Map)
	}
	if g.formingPhase.active(now) {
		digest.State = fleet.GroupForming
	}
	p.sendGroupDigest(g, digest, now)
	g.passTimer.observe(now, statuses[0].Report.Step)
	g.demand.DecayTo(now)
	for r, s := range statuses {
		g.demand.Observe(r, s.Window)
	}
	if counted {
		g.stages.reading.observe(time.Since(now))
		if g.demand.MergeWindows() {
			p.log.Info("expert demand has shifted; earlier counts are discarded", zap.String("group", g.name))
			p.noticeShift(g, now)
		}
	}
	return p.advance(ctx, g, servers, statuses, engine)
}

// sendGroupDigest sends a digest of loads read at the given time. While the ranks are about to begin the pass
// with a new map, the rounds follow each other sooner than the entries need digests, which would
// delay the orders of the next stage on the planner's link.
func (p *planner) sendGroupDigest(g *group, digest *gossip.Digest, readAt time.Time) {
	if g.stages.inSwitch && g.digest != nil && g.digest.State == digest.State && readAt.Sub(g.digestReadAt) < roundInterval {
		return
	}
	p.agent.sendDigest(digest, readAt)
	g.digest, g.digestReadAt = digest, readAt
}

// announceOpen tells the entries that the group's first map is in use, if it is.
func (p *planner) announceOpen(g *group) {
	if g.digest != nil && g.digest.State == fleet.GroupForming && !g.formingPhase.active(time.Now()) {
		g.digest.State = fleet.GroupOpen
		p.agent.sendDigest(g.digest, g.digestReadAt)
	}
}

// setPauseReason records why a group is not being planned, empty if it is, and logs each change.
func (p *planner) setPauseReason(g *group, reason string) {
	if g.pauseReason != reason {
		p.log.Info("group planning paused or resumed", zap.String("group", g.name), zap.Int64("epoch", g.epoch), zap.Bool("paused", reason != ""), zap.String("reason", reason))
	}
	g.pauseReason = reason
}

// windowRequests returns a function that makes the status request for the i-th of a number of
// ranks. At most MaxWindowRanks of them, evenly spaced, are asked for their expert counts.
func windowRequests(ranks int) func(i int) statusRequest {
	every := max((ranks+MaxWindowRanks-1)/MaxWindowRanks, 1)
	return func(i int) statusRequest { return statusRequest{Window: i%every == 0} }
}

// digest returns the state of a group that is sent to the entries.
func (p *planner) digest(name string, members []member) *gossip.Digest {
	_, version := p.newestEngine()
	d := &gossip.Digest{Service: p.agent.settings.Service, Group: name, PeerAddress: p.peer(), State: fleet.GroupOpen, EngineVersion: version}
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
		d.Ranks = append(d.Ranks, gossip.RankState{Address: gossip.Address(m.server.Address), Incarnation: r.Incarnation, Running: r.Running, Waiting: r.Waiting, Slowdown: r.Slowdown})
	}
	return d
}

func (p *planner) peer() string {
	return net.JoinHostPort(p.agent.settings.IP, strconv.Itoa(p.agent.settings.PeerPort))
}

// rank returns the control of the rank at an address.
func (p *planner) rank(address string) *remoteRank {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.ranks[address]
	if r == nil {
		host, _, _ := net.SplitHostPort(address) // the address was checked when the announcement was decoded
		r = &remoteRank{
			ctx: p.ctx, planner: p.peer(), timeout: agentTimeout + time.Duration(len(p.servers))*agentTimeoutPerRank,
			agent:  net.JoinHostPort(host, strconv.Itoa(p.agent.settings.PeerPort)),
			direct: p.agent.control(address), fencedByAgent: p.agent.settings.Bounds.UncheckedFences,
		}
		p.ranks[address] = r
	}
	return r
}

func (p *planner) closeRanks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.ranks {
		r.close()
	}
}

// switchGroup returns the control of a group's ranks for a switch. The anchor is the local rank,
// because orders to it have the shortest path.
func (p *planner) switchGroup(g *group, servers []fleet.Server) *mapswitch.Group {
	f := &mapswitch.Group{Epoch: g.epoch, Fences: p.fences, PassTime: g.passTimer.passTime, ArmingTime: g.armingEstimate.current()}
	for r, s := range servers {
		f.Ranks = append(f.Ranks, p.rank(s.Address))
		if s.Address == p.agent.settings.BackendAddress {
			f.Anchor = r
		}
	}
	return f
}

// advance does what a group needs next: recovery, the switch to a prepared map, or a new plan.
func (p *planner) advance(ctx context.Context, g *group, servers []fleet.Server, statuses []rankStatus, engine *fleet.Engine) error {
	f := p.switchGroup(g, servers)
	if stale := hasStaleHold(statuses); stale || !g.resolved {
		if g.preparation != nil && !stale {
			return nil // its orders would be refused after those of the recovery
		}
		if g.preparation != nil {
			p.abandonStage(g, "another planner has held the group")
		}
		return p.resolveGroup(ctx, g, f)
	}
	version := statuses[0].Report.Map
	for _, s := range statuses {
		if s.Report.Map != version || s.Report.Armed != 0 {
			p.setPauseReason(g, "a switch is pending: the ranks use different maps, or one is armed")
			return nil
		}
	}
	if err := p.loadCurrentMap(ctx, g, servers, version, engine); err != nil {
		p.setPauseReason(g, err.Error())
		return nil
	}
	p.setPauseReason(g, "")
	g.stages.inUse(time.Now())
	if g.next != nil {
		return p.switchWhenPrepared(ctx, g, f, statuses)
	}
	return p.plan(ctx, g, f, statuses, engine)
}

// hasStaleHold reports whether a rank holds the group although this planner has no switch in
// progress.
func hasStaleHold(statuses []rankStatus) bool {
	return slices.ContainsFunc(statuses, func(s rankStatus) bool { return s.Report.HeldStep != 0 })
}

// resolveGroup fences off earlier planners and completes or reverts the switch that they left
// pending.
func (p *planner) resolveGroup(ctx context.Context, g *group, f *mapswitch.Group) error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	err := f.Resolve(ctx)
	g.resolved = err == nil
	p.log.Info("recover a group", zap.String("group", g.name), zap.Int64("epoch", g.epoch), telemetry.Err(err))
	return onlyFinal(err)
}

// onlyFinal returns err if the planner must stop because of it, and otherwise nil: the planner
// retries after any other error.
func onlyFinal(err error) error {
	if errors.Is(err, mapswitch.ErrFenced) || errors.Is(err, mapswitch.ErrFencesExhausted) {
		return err
	}
	return nil
}

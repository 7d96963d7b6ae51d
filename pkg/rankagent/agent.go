// Package rankagent is the sidecar process of an engine. It reports the state of the engine,
// carries out orders about its expert map, and plans the expert maps of the service while it owns
// the election.
package rankagent

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/httpserver"
	"github.com/fescuehub/fescuehub/pkg/membudget"
	"github.com/fescuehub/fescuehub/pkg/netconn"
	"github.com/fescuehub/fescuehub/pkg/popularity"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// prepareTimeout bounds the wait until the engine has copied the experts of a map, and
	// preparePollInterval is the time between two reads of its report. A stage ends with the last
	// of these reads over all ranks, so that the interval adds to each.
	prepareTimeout      = 800 * time.Millisecond
	preparePollInterval = 10 * time.Millisecond
	// plannerTimeout is how long no planner may call before the other agents join the election, each
	// after its joinDelay.
	plannerTimeout = 2500 * time.Millisecond
	// subscriptionLifetime is how long an entry is sent reports after it subscribed.
	subscriptionLifetime = 3500 * time.Millisecond
	// localTimeout bounds a call to the local engine.
	localTimeout = 150 * time.Millisecond
	// orderTimeout bounds an order to the local engine. The planner's own timeout is longer, so
	// that the agent can report a lost answer to it.
	orderTimeout = 30 * time.Millisecond
	// maxOrderBytes bounds a message of a planner. The largest ones, the map of a group of 300 ranks, have 200 KB.
	maxOrderBytes = 1 << 20
)

// The methods that a planner calls.
const (
	methodStatus = "rank.status"
	methodOrder  = "rank.order"
)

// Decoder decodes the records of the shared log.
type Decoder interface {
	DecodeConfiguration(key string, value []byte) (fleet.Configuration, bool, error)
	DecodeServer(id string, value []byte) (fleet.Server, error)
}

// Agent is the agent process of one engine.
type Agent struct {
	settings settings.Instance
	decoder  Decoder
	shared   sharedlog.Log
	// control returns the control of the engine at an address.
	control func(address string) rankcontrol.Rank
	local   rankcontrol.Rank
	log     *zap.Logger
	metrics *telemetry.Metrics
	scope   tally.Scope
	// memberID identifies this agent in the election. It stays the same over a restart: the peer
	// address can be opened by one process only.
	memberID string

	// orderMu serialises the orders to the engine, so that none overtakes one with a lower fence.
	// highestFence is the highest fence of an order; it survives a restart of the engine.
	orderMu      sync.Mutex
	highestFence int64

	mu          sync.Mutex
	subscribers map[netip.AddrPort]subscriber
	// engine is the newest engine configuration that an entry has sent; nil if there is none.
	engine *gossip.EngineConfiguration
	// digests counts the digests that were sent.
	digests    int64
	engineLost bool
	// planner is the peer address of the planner that called last, at plannerSeenAt. If none has
	// called, plannerSeenAt is the start of the agent.
	planner       string
	plannerSeenAt time.Time
	// joinDelay is drawn anew after each call of a planner.
	joinDelay time.Duration
	counter   popularity.WindowTracker
	// maps holds the maps that were prepared last, by version.
	maps map[int64]rankcontrol.Map

	// planning is true while this agent plans.
	planning atomic.Bool
	socket   *gossip.Socket

	drainOnce sync.Once
	draining  chan struct{}
}

// New returns an agent that has not been started. It controls its own engine through local, and those
// of other instances through control while their agents cannot be reached.
func New(s settings.Instance, d Decoder, shared sharedlog.Log, local rankcontrol.Rank, control func(address string) rankcontrol.Rank, log *zap.Logger, metrics *telemetry.Metrics) *Agent {
	return &Agent{
		settings: s, decoder: d, shared: sharedlog.NewGuard(shared, log), control: control, local: local,
		log: log, metrics: metrics, scope: metrics.Scope,
		memberID:      s.Name + "/" + net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)),
		subscribers:   make(map[netip.AddrPort]subscriber),
		maps:          make(map[int64]rankcontrol.Map),
		plannerSeenAt: time.Now(), joinDelay: joinDelay(),
		draining: make(chan struct{}),
	}
}

// Drain ends the process at once: it serves no requests that would have to finish.
func (a *Agent) Drain() { a.drainOnce.Do(func() { close(a.draining) }) }

// Reload does nothing: an agent uses none of the bounds.
func (a *Agent) Reload(settings.Bounds) {}

// Run serves until Drain is called or ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.log.Info("starting", zap.String("engine", a.settings.BackendAddress), zap.String("service", a.settings.Service), zap.String("member", a.memberID))
	peer := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.PeerPort))
	socket, err := gossip.Open(ctx, peer, a.log)
	if err != nil {
		return err
	}
	listener, err := netconn.Listen(ctx, peer)
	if err != nil {
		socket.Close()
		return errors.Wrapf(err, "open the planner port at %s", peer)
	}
	metrics, err := netconn.Listen(ctx, net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.MetricsPort)))
	if err != nil {
		socket.Close()
		_ = listener.Close() // nothing was served on it
		return errors.Wrap(err, "open the metrics port")
	}
	memory := membudget.New(a.settings.RequestMemory())
	control := rpc.NewServer(listener, a.scope, a.methods())
	control.SetBounds(rpc.Bounds{MaxMessageBytes: maxOrderBytes, MaxConns: a.settings.InternalConns(), Memory: memory, Scope: a.scope})
	metricsServer, metricsConns := httpserver.NewInternal(metrics, httpserver.Bounds{MaxConns: a.settings.InternalConns(), Memory: memory, Scope: a.scope}, a.metrics.Handler)
	var group sync.WaitGroup
	a.socket = socket
	group.Go(func() { socket.Run(ctx, a.handleMessage) })
	group.Go(func() { a.electAndPlan(ctx) })
	group.Go(func() {
		if err := control.Run(ctx); err != nil {
			a.log.Error("planner port closed", telemetry.Err(err))
		}
	})
	group.Go(func() {
		if err := metricsServer.Serve(metricsConns); err != nil && ctx.Err() == nil {
			a.log.Error("metrics port closed", telemetry.Err(err))
		}
	})
	select {
	case <-ctx.Done():
	case <-a.draining:
	}
	a.log.Info("stopping")
	cancel()
	_ = metricsServer.Close() // the process ends
	group.Wait()
	a.log.Info("stopped")
	_ = a.log.Sync() // the process ends
	return nil
}

// handleMessage records an entry's subscription. An agent that is not the planner replies with the
// address of the planner.
func (a *Agent) handleMessage(from netip.AddrPort, m gossip.Message) {
	if m.Subscribe == nil {
		return
	}
	now := time.Now()
	a.mu.Lock()
	a.subscribers[from] = subscriber{m.Subscribe.FailureDomain, now}
	if e := m.Subscribe.Engine; e != nil && e.Service == a.settings.Service && (a.engine == nil || e.Version >= a.engine.Version) {
		a.engine = e
	}
	planner, seenAt := a.planner, a.plannerSeenAt
	a.mu.Unlock()
	if !a.planning.Load() && planner != "" && now.Sub(seenAt) < plannerTimeout {
		a.socket.Send(gossip.Message{Planner: &gossip.Planner{Service: a.settings.Service, PeerAddress: planner}}, from)
	}
}

// subscriber is an entry that is sent digests.
type subscriber struct {
	failureDomain string
	subscribedAt  time.Time
}

// sendDigest sends the digest of a group to the entries with an active subscription. In a large
// fleet, some of them pass it on to the others.
func (a *Agent) sendDigest(d *gossip.Digest, readAt time.Time) {
	receivers, sequence := a.activeSubscribers(time.Now())
	age := max(time.Since(readAt).Milliseconds(), 1)
	for _, hop := range gossip.FanOut(receivers) {
		copied := *d
		copied.Sequence, copied.AgeMS, copied.Relay = sequence, age, hop.Relay
		a.socket.Send(gossip.Message{Digest: &copied}, hop.To)
	}
}

// activeSubscribers returns the entries whose subscription has not expired, with their failure
// domains, and the sequence number of the next digest. It removes the other entries.
func (a *Agent) activeSubscribers(now time.Time) (receivers map[netip.AddrPort]string, sequence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.digests++
	receivers = make(map[netip.AddrPort]string)
	for address, s := range a.subscribers {
		if now.Sub(s.subscribedAt) > subscriptionLifetime {
			delete(a.subscribers, address)
			continue
		}
		receivers[address] = s.failureDomain
	}
	return receivers, a.digests
}

// recordEngineResult logs when the engine becomes unreachable or reachable again.
func (a *Agent) recordEngineResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	changed := a.engineLost != (err != nil)
	a.engineLost = err != nil
	a.mu.Unlock()
	switch {
	case changed && err != nil:
		a.log.Warn("dependency lost", zap.String("dependency", "engine"), telemetry.Err(err))
	case changed:
		a.log.Info("dependency regained", zap.String("dependency", "engine"))
	}
}

// recordPlanner records the planner that calls.
func (a *Agent) recordPlanner(peer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if peer != a.planner {
		a.log.Info("planner changed", zap.String("planner", peer))
	}
	a.planner, a.plannerSeenAt, a.joinDelay = peer, time.Now(), joinDelay()
}

// recordOrder records that a planner is at work. During a switch it sends orders only.
func (a *Agent) recordOrder() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.plannerSeenAt = time.Now()
}

// statusRequest asks for a rank's state.
type statusRequest struct {
	// Planner is the peer address of the calling planner.
	Planner string `json:"planner"`
	// Window asks for the expert choices counted since the previous such request.
	Window bool `json:"window,omitempty"`
	// Map asks for the experts of the map in use.
	Map bool `json:"map,omitempty"`
}

// rankStatus is a rank's state.
type rankStatus struct {
	Report fleet.EngineReport `json:"report"`
	Window popularity.Window  `json:"window"`
	// Experts lists the rank's experts of the map in use by set.
	Experts [][]int `json:"experts,omitempty"`
}

// orderReply is a rank's reply to an order.
type orderReply struct {
	Verdict rankcontrol.Verdict `json:"verdict"`
}

func (a *Agent) methods() rpc.Methods {
	return rpc.Methods{
		methodStatus: rpc.Typed(func(ctx context.Context, _ *rpc.Conn, r statusRequest) (any, error) {
			a.recordPlanner(r.Planner)
			status, err := a.status(ctx, r)
			a.recordEngineResult(ctx, err)
			return status, err
		}),
		methodOrder: rpc.Typed(func(ctx context.Context, _ *rpc.Conn, o rankcontrol.Order) (any, error) {
			verdict, err := a.execute(ctx, o)
			if verdict != rankcontrol.Fenced {
				a.recordOrder()
			}
			a.log.Info("order", zap.String("operation", string(o.Operation)), zap.Int64("version", o.Version), zap.Int64("step", o.Step),
				zap.Int64("epoch", o.Epoch), zap.Int64("fence", o.Fence), zap.String("verdict", string(verdict)), telemetry.Err(err))
			return orderReply{verdict}, err
		}),
	}
}

// execute passes an order on to the local engine. An order to prepare is answered when the experts
// have been copied, or after prepareTimeout.
func (a *Agent) execute(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	if o.Operation == rankcontrol.Prepare {
		full, ok := a.fullMap(o)
		if !ok {
			return rankcontrol.UnknownBase, nil
		}
		o.Map = full
	}
	verdict, err := a.orderFenced(ctx, o)
	if o.Operation == rankcontrol.Prepare && verdict != rankcontrol.Fenced {
		a.keepMap(o)
	}
	if err == nil && o.Operation == rankcontrol.Prepare && verdict == rankcontrol.Accepted {
		a.awaitPrepared(ctx, o.Version)
	}
	return verdict, err
}

// fullMap returns the full map of an order to prepare. It returns false if the base is unknown or the
// changes do not fit it.
func (a *Agent) fullMap(o rankcontrol.Order) (rankcontrol.Map, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	full := o.Map
	if full == nil {
		base, known := a.maps[o.Base]
		if f := o.Formation; o.Base == 0 && f != nil && f.Valid() {
			base, known = evenplan.Uniform(f.Sets, f.Experts, f.Ranks), true
		}
		if !known {
			return nil, false
		}
		var err error
		if full, err = base.WithDelta(o.Changes); err != nil {
			a.log.Warn("the changes of an expert map do not fit their base; the full map is requested", zap.Int64("baseVersion", o.Base), telemetry.Err(err))
			return nil, false
		}
	}
	return full, true
}

// keepMap keeps the map of an order to prepare as the base of later changes, and its own base. An order
// that the rank refused as fenced off must not replace the maps of the present planner.
func (a *Agent) keepMap(o rankcontrol.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for version := range a.maps {
		if version != o.Base {
			delete(a.maps, version)
		}
	}
	a.maps[o.Version] = o.Map
}

// awaitPrepared waits until the engine has prepared a map or a later one, for up to prepareTimeout.
func (a *Agent) awaitPrepared(ctx context.Context, version int64) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	for ctx.Err() == nil {
		report, err := a.local.Report(ctx)
		if err != nil || report.Prepared >= version {
			return // the planner reads the rank's state in its next round
		}
		wait.For(ctx, preparePollInterval)
	}
}

// status reads the requested state from the local engine.
func (a *Agent) status(ctx context.Context, r statusRequest) (rankStatus, error) {
	s, err := readStatus(ctx, a.local, r)
	if err != nil || !r.Window {
		return s, err
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	counts, err := a.local.Counts(ctx)
	if err != nil {
		return s, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.Window = a.counter.Next(counts)
	return s, nil
}

// readStatus reads a rank's report and, if requested, its experts.
func readStatus(ctx context.Context, rank rankcontrol.Rank, r statusRequest) (rankStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	var s rankStatus
	var err error
	if s.Report, err = rank.Report(ctx); err == nil && r.Map {
		s.Experts, err = rank.Experts(ctx)
	}
	return s, err
}

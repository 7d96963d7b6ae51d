// Package rankagent is the process beside an engine: it reports the engine to
// the entries, carries out orders about its expert map, and, while it owns the
// election, plans the map of the whole group.
package rankagent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/gossip"
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
	// preparedTime bounds the wait for the copies of a map, preparedCheck is the
	// time between two looks: one expert takes 35 ms.
	preparedTime  = 800 * time.Millisecond
	preparedCheck = 20 * time.Millisecond
	// plannerSilence is how long a planner may be silent before the other agents
	// take part in the election.
	plannerSilence = 2500 * time.Millisecond
	// subscriptionLifetime is how long an entry gets reports after it asked.
	subscriptionLifetime = 3500 * time.Millisecond
	// localTimeout bounds a call to the engine beside the agent.
	localTimeout = 150 * time.Millisecond
	// orderTimeout bounds an order to the engine beside the agent. The planner's
	// bound is higher, so that it learns of a lost answer from the agent.
	orderTimeout = 30 * time.Millisecond
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

// Agent is one agent process.
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
	member  string

	mu          sync.Mutex
	subscribers map[netip.AddrPort]time.Time
	engineLost  bool
	// planner is the peer address of the planner that asked last, at heard: since the
	// start where none did.
	planner string
	heard   time.Time
	counter popularity.WindowTracker
	// maps holds the maps that were prepared last, by version.
	maps map[int64]rankcontrol.Map

	// plans is true while this agent plans.
	plans  atomic.Bool
	socket *gossip.Socket

	drainOnce sync.Once
	draining  chan struct{}
}

// New returns an agent process.
func New(s settings.Instance, d Decoder, shared sharedlog.Log, control func(address string) rankcontrol.Rank, log *zap.Logger, metrics *telemetry.Metrics) *Agent {
	return &Agent{
		settings: s, decoder: d, shared: shared, control: control, local: control(s.BackendAddress),
		log: log, metrics: metrics, scope: metrics.Scope,
		member:      s.Name + "/" + uuid.NewString(),
		subscribers: make(map[netip.AddrPort]time.Time),
		maps:        make(map[int64]rankcontrol.Map),
		heard:       time.Now(),
		draining:    make(chan struct{}),
	}
}

// Drain ends the process: it has no callers.
func (a *Agent) Drain() { a.drainOnce.Do(func() { close(a.draining) }) }

// Reload takes bounds that have changed: an agent uses none.
func (a *Agent) Reload(settings.Bounds) {}

// Run serves until Drain is called or ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.log.Info("starting", zap.String("engine", a.settings.BackendAddress), zap.String("service", a.settings.Service), zap.String("member", a.member))
	peer := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.PeerPort))
	socket, err := gossip.Open(ctx, peer, a.log)
	if err != nil {
		return err
	}
	listener, err := netconn.Listen(ctx, peer)
	if err != nil {
		return errors.Wrapf(err, "open the port for the planner at %s", peer)
	}
	metrics, err := netconn.Listen(ctx, net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.MetricsPort)))
	if err != nil {
		return errors.Wrap(err, "open the port for metrics")
	}
	metricsServer := &http.Server{Handler: a.metrics.Handler, ReadHeaderTimeout: localTimeout}
	var group sync.WaitGroup
	a.socket = socket
	group.Go(func() { socket.Run(ctx, a.takeMessage) })
	group.Go(func() { a.electAndPlan(ctx) })
	group.Go(func() {
		if err := rpc.NewServer(listener, a.scope, a.methods()).Run(ctx); err != nil {
			a.log.Error("the planner's port has closed", telemetry.Err(err))
		}
	})
	group.Go(func() {
		if err := metricsServer.Serve(metrics); err != nil && ctx.Err() == nil {
			a.log.Error("the metrics' port has closed", telemetry.Err(err))
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

// takeMessage takes an entry's subscription: the planner notes it, any other
// agent tells where the planner is.
func (a *Agent) takeMessage(from netip.AddrPort, m gossip.Message) {
	if m.Subscribe == nil {
		return
	}
	now := time.Now()
	a.mu.Lock()
	a.subscribers[from] = now
	planner, heard := a.planner, a.heard
	a.mu.Unlock()
	if !a.plans.Load() && planner != "" && now.Sub(heard) < plannerSilence {
		a.socket.Send(gossip.Message{Planner: &gossip.Planner{Service: a.settings.Service, PeerAddress: planner}}, from)
	}
}

// tellEntries sends the digest of a group to the entries that asked lately.
func (a *Agent) tellEntries(d *gossip.Digest) {
	if to := a.current(time.Now()); len(to) > 0 {
		a.socket.Send(gossip.Message{Digest: d}, to...)
	}
}

// current returns the entries that asked lately.
func (a *Agent) current(now time.Time) []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var to []netip.AddrPort
	for address, asked := range a.subscribers {
		if now.Sub(asked) > subscriptionLifetime {
			delete(a.subscribers, address)
			continue
		}
		to = append(to, address)
	}
	return to
}

// noteEngine logs when the engine is lost or regained.
func (a *Agent) noteEngine(ctx context.Context, err error) {
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

// notePlanner notes which planner asks.
func (a *Agent) notePlanner(peer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if peer != a.planner {
		a.log.Info("heard of the planner", zap.String("planner", peer))
	}
	a.planner, a.heard = peer, time.Now()
}

// statusRequest asks for a rank's state.
type statusRequest struct {
	// Planner is the peer address of the planner that asks.
	Planner string `json:"planner"`
	// Window asks for what was chosen since the planner last asked for it.
	Window bool `json:"window,omitempty"`
	// Map asks for the experts of the map in use.
	Map bool `json:"map,omitempty"`
}

// rankStatus is a rank's state.
type rankStatus struct {
	Report fleet.EngineReport `json:"report"`
	Window popularity.Window  `json:"window"`
	// Experts lists the experts of the map in use by set.
	Experts [][]int `json:"experts,omitempty"`
}

// orderReply is a rank's answer to an order.
type orderReply struct {
	Verdict rankcontrol.Verdict `json:"verdict"`
}

func (a *Agent) methods() rpc.Methods {
	return rpc.Methods{
		methodStatus: rpc.Typed(func(ctx context.Context, _ *rpc.Conn, r statusRequest) (any, error) {
			a.notePlanner(r.Planner)
			status, err := a.status(ctx, r)
			a.noteEngine(ctx, err)
			return status, err
		}),
		methodOrder: rpc.Typed(func(ctx context.Context, _ *rpc.Conn, o rankcontrol.Order) (any, error) {
			verdict, err := a.carryOut(ctx, o)
			a.log.Info("order", zap.String("operation", string(o.Operation)), zap.Int64("version", o.Version), zap.Int64("step", o.Step),
				zap.Int64("epoch", o.Epoch), zap.Int64("fence", o.Fence), zap.String("verdict", string(verdict)), telemetry.Err(err))
			return orderReply{verdict}, err
		}),
	}
}

// carryOut gives an order to the engine beside this agent. An order to prepare is
// answered when the copy is complete, or after preparedTime.
func (a *Agent) carryOut(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	if o.Operation == rankcontrol.Prepare {
		whole, ok := a.wholeMap(o)
		if !ok {
			return rankcontrol.UnknownBase, nil
		}
		o.Map = whole
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	verdict, err := a.local.Order(call, o)
	if err == nil && o.Operation == rankcontrol.Prepare && verdict == rankcontrol.Accepted {
		a.awaitPrepared(ctx, o.Version)
	}
	return verdict, err
}

// wholeMap returns the map of an order to prepare and remembers it as a base for
// later changes.
func (a *Agent) wholeMap(o rankcontrol.Order) (rankcontrol.Map, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	whole := o.Map
	if whole == nil {
		base, known := a.maps[o.Base]
		if f := o.Formation; o.Base == 0 && f != nil && f.Valid() {
			base, known = evenplan.Uniform(f.Sets, f.Experts, f.Ranks), true
		}
		if !known {
			return nil, false
		}
		var err error
		if whole, err = base.WithRows(o.Changes); err != nil {
			a.log.Error("the changes of a map do not fit their base", zap.Int64("base", o.Base), telemetry.Err(err))
			return nil, false
		}
	}
	for version := range a.maps {
		if version != o.Base {
			delete(a.maps, version)
		}
	}
	a.maps[o.Version] = whole
	return whole, true
}

// awaitPrepared waits until the engine has copied a map.
func (a *Agent) awaitPrepared(ctx context.Context, version int64) {
	ctx, cancel := context.WithTimeout(ctx, preparedTime)
	defer cancel()
	for ctx.Err() == nil {
		report, err := a.local.Report(ctx)
		if err != nil || report.Prepared == version {
			return // the planner's next look tells what is wrong
		}
		wait.For(ctx, preparedCheck)
	}
}

// status reads what a planner asks for from the engine beside this agent.
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

// readStatus reads a rank's report and, where it is asked for, its experts.
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

package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/peer/weightstore"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// rankInterval is how often the state of the rank is polled.
	rankInterval = 200 * time.Millisecond
	// rankRetryInterval is the polling interval while the engine does not answer as a rank of a
	// group.
	rankRetryInterval = 2 * time.Second
	// loadRetryPause is the pause after a failed load.
	loadRetryPause = time.Second
	// stallThreshold is how long the step must stay the same before the group counts as stalled
	// ("stalled" in logs, "held" in the status document).
	stallThreshold = 5 * time.Second
)

// expertMaps installs ordered expert maps at the rank next to the agent. The agent checks fencing
// numbers, so the rank need not.
type expertMaps struct {
	log     *zap.Logger
	scope   tally.Scope
	engine  *engine.Client
	weights *weightstore.Client
	pool    string

	mu    sync.Mutex
	fence *expertmap.Fence
	rank  engine.RankState
	// loadedMap is the last map that the agent installed at this incarnation of the rank, nil if
	// none. The rank certainly holds its weights.
	loadedMap *expertmap.Map
	// lastOrder is the last order that was accepted.
	lastOrder *agentlink.OrderMapRequest
	// stepChangedAt is when the rank's step was last seen to change.
	stepChangedAt time.Time
	stalled       bool
	wake          chan struct{}
}

// newExpertMaps returns nil if the backend server is not an engine or no weight store is
// configured. The methods of a nil expertMaps do nothing.
func newExpertMaps(s settings.Agent, log *zap.Logger, scope tally.Scope) *expertMaps {
	if s.Backend.Kind != settings.EngineBackend || s.WeightsURL == "" {
		return nil
	}
	return &expertMaps{
		log:     log,
		scope:   scope.SubScope("maps"),
		engine:  engine.New(s.Backend.URL),
		weights: weightstore.New(s.WeightsURL),
		pool:    s.Pool,
		fence:   expertmap.NewFence(false),
		wake:    make(chan struct{}, 1),
	}
}

// methods returns the control methods for expert maps.
func (m *expertMaps) methods() rpc.Methods {
	if m == nil {
		return nil
	}
	return rpc.Methods{
		agentlink.MethodRankState: rpc.Typed(func(context.Context, *rpc.Conn, struct{}) (any, error) { return m.rankState() }),
		agentlink.MethodPopularity: rpc.Typed(func(ctx context.Context, _ *rpc.Conn, _ struct{}) (any, error) {
			return m.engine.RankPopularity(ctx)
		}),
		agentlink.MethodExpertMap: rpc.Typed(func(ctx context.Context, _ *rpc.Conn, _ struct{}) (any, error) {
			return m.engine.RankMap(ctx)
		}),
		agentlink.MethodOrderMap: rpc.Typed(m.acceptOrder),
	}
}

// groupRank returns the group and the rank of the engine next to the agent.
func (m *expertMaps) groupRank() agentlink.GroupRank {
	if m == nil {
		return agentlink.GroupRank{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return agentlink.GroupRank{Group: m.rank.Group, Rank: m.rank.Rank, Ranks: m.rank.Ranks}
}

func (m *expertMaps) rankState() (engine.RankState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rank.Incarnation == "" {
		return m.rank, problem.New(problem.BackendUnreachable, "start the engine", "the state of the rank has not been read yet")
	}
	return m.rank, nil
}

// acceptOrder accepts an order for a map unless its fencing number is outdated.
func (m *expertMaps) acceptOrder(_ context.Context, _ *rpc.Conn, order agentlink.OrderMapRequest) (any, error) {
	if err := order.Map.Validate(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rank.Incarnation != "" && order.Map.Ranks != m.rank.Ranks {
		return nil, problem.New(problem.BadRequest, "order a map for the group's size",
			"the map is for %d ranks, the group has %d", order.Map.Ranks, m.rank.Ranks).WithOutcome(problem.NotRun)
	}
	if err := m.fence.Admit(order.Fencing); err != nil {
		m.scope.Counter("orders_fenced_off").Inc(1)
		return nil, err
	}
	m.scope.Counter("orders_taken").Inc(1)
	m.lastOrder = &order
	m.wakeLoader()
	return agentlink.OrderMapReply{Highest: m.fence.Highest()}, nil
}

func (m *expertMaps) wakeLoader() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run polls the rank and loads ordered maps until ctx is cancelled.
func (m *expertMaps) run(ctx context.Context) error {
	if m == nil {
		return nil
	}
	go m.loadOrders(ctx)
	for ctx.Err() == nil {
		state, err := m.engine.RankState(ctx)
		if err != nil {
			wait.For(ctx, rankRetryInterval)
			continue
		}
		m.observe(state)
		wait.For(ctx, rankInterval)
	}
	return nil
}

// observe stores the state of the rank. After a restart of the rank, the last ordered map is
// loaded again.
func (m *expertMaps) observe(state engine.RankState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	restarted := m.rank.Incarnation != state.Incarnation
	current := m.rank.Current
	m.updateStalled(state, restarted || m.rank.Step != state.Step, time.Now())
	m.rank = state
	m.fence.ObserveLoaded(state.Loaded)
	if restarted {
		m.loadedMap = nil
		m.log.Info("rank started", zap.String("group", state.Group), zap.Int("rank", state.Rank), zap.String("incarnation", string(state.Incarnation)))
		m.wakeLoader()
	} else if current != state.Current {
		m.log.Info("expert map in use", zap.String("map", state.Current.String()), zap.Int64("step", state.Step))
	}
	m.scope.Gauge("map_fencing").Update(float64(state.Current.Fencing))
	m.scope.Gauge("map_sequence").Update(float64(state.Current.Sequence))
	m.scope.Gauge("step").Update(float64(state.Step))
}

// updateStalled records and logs when the steps of the group stall and when they resume.
func (m *expertMaps) updateStalled(state engine.RankState, stepChanged bool, now time.Time) {
	if stepChanged {
		m.stepChangedAt = now
	}
	stalled := now.Sub(m.stepChangedAt) >= stallThreshold
	if stalled == m.stalled {
		return
	}
	m.stalled = stalled
	m.log.Info("group step stall changed", zap.Bool("stalled", stalled), zap.Int64("step", state.Step), zap.Ints("missingRanks", state.Missing))
	if stalled {
		m.scope.Counter("steps_held").Inc(1)
	}
}

// MapStatus is the state of expert maps at an agent, for operators.
type MapStatus struct {
	Rank engine.RankState `json:"rank"`
	// HighestFencing is the highest fencing number accepted; orders with a lower one are refused.
	HighestFencing int64 `json:"highestFencing"`
	// Ordered is the version of the map that was ordered last. Loading is true until the rank has
	// loaded it.
	Ordered expertmap.Version `json:"ordered"`
	Loading bool              `json:"loading"`
	// Held is true once the step of the rank has not changed for stallThreshold.
	Held bool `json:"held"`
}

func (m *expertMaps) serveStatus(w http.ResponseWriter, _ *http.Request) {
	if m == nil {
		problem.Write(w, problem.New(problem.UnknownRoute, "set weightsURL in the agent's settings", "expert maps are not configured on this agent"))
		return
	}
	_, _, loading := m.pendingOrder()
	m.mu.Lock()
	defer m.mu.Unlock()
	status := MapStatus{Rank: m.rank, HighestFencing: m.fence.Highest(), Loading: loading, Held: m.stalled}
	if m.lastOrder != nil {
		status.Ordered = m.lastOrder.Map.Version
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// loadOrders loads the map of the last order, with retries, until the rank has loaded it.
func (m *expertMaps) loadOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for ctx.Err() == nil {
			order, rank, ok := m.pendingOrder()
			if !ok {
				break
			}
			if err := m.loadOrder(ctx, order, rank); err != nil && ctx.Err() == nil {
				m.scope.Counter("loads_failed").Inc(1)
				wait.For(ctx, loadRetryPause)
			}
		}
	}
}

// pendingOrder returns the last order and the state of the rank, and true if the rank has not
// loaded the map.
func (m *expertMaps) pendingOrder() (agentlink.OrderMapRequest, engine.RankState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastOrder == nil || m.rank.Incarnation == "" {
		return agentlink.OrderMapRequest{}, m.rank, false
	}
	return *m.lastOrder, m.rank, expertmap.Newest(m.rank.Loaded).Compare(m.lastOrder.Map.Version) < 0
}

// loadOrder fetches the weights that the rank lacks and installs the map at the rank. It stops
// early if a newer order has been accepted.
func (m *expertMaps) loadOrder(ctx context.Context, order agentlink.OrderMapRequest, rank engine.RankState) error {
	placement, err := m.currentPlacement(ctx)
	if err != nil {
		return err
	}
	for _, e := range order.Map.MissingExperts(rank.Rank, placement.ExpertsOn(rank.Rank)) {
		n, err := m.weights.Fetch(ctx, m.pool, e.ObjectName())
		if err != nil {
			return err
		}
		m.scope.Counter("weight_bytes").Inc(n)
		if m.superseded(order) {
			return nil
		}
	}
	err = m.engine.InstallMap(ctx, engine.MapOrder{Fencing: order.Fencing, Incarnation: rank.Incarnation, Map: order.Map})
	if err != nil {
		return err
	}
	m.recordInstalled(order, rank)
	return nil
}

// currentPlacement returns the map whose weights the rank holds.
func (m *expertMaps) currentPlacement(ctx context.Context) (expertmap.Map, error) {
	m.mu.Lock()
	known := m.loadedMap
	m.mu.Unlock()
	if known != nil {
		return *known, nil
	}
	return m.engine.RankMap(ctx)
}

func (m *expertMaps) superseded(order agentlink.OrderMapRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastOrder.Map.Version != order.Map.Version
}

// recordInstalled records the map immediately, so that it is not loaded again before the next
// poll of the rank.
func (m *expertMaps) recordInstalled(order agentlink.OrderMapRequest, rank engine.RankState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rank.Incarnation != rank.Incarnation {
		return
	}
	m.loadedMap = &order.Map
	m.rank.Loaded = append(slices.Clone(m.rank.Loaded), order.Map.Version)
	m.scope.Counter("maps_loaded").Inc(1)
	m.log.Info("expert map loaded", zap.String("map", order.Map.Version.String()), zap.Int64("fencing", order.Fencing))
}

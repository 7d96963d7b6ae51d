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
	// rankInterval is how often the state of the rank is read.
	rankInterval = 200 * time.Millisecond
	// rankAbsentInterval is how often an engine is asked that does not answer
	// as a rank of a group.
	rankAbsentInterval = 2 * time.Second
	// loadRetryPause is the pause after a load that failed.
	loadRetryPause = time.Second
	// heldAfter is how long a step must last to be told as held.
	heldAfter = 5 * time.Second
)

// expertMaps brings ordered maps to the rank beside the agent. The rank need
// not check fencing numbers: the agent does.
type expertMaps struct {
	log     *zap.Logger
	scope   tally.Scope
	engine  *engine.Client
	weights *weightstore.Client
	pool    string

	mu    sync.Mutex
	fence *expertmap.Fence
	rank  engine.RankState
	// inUse is the placement whose weights the rank holds for certain.
	inUse *expertmap.Map
	order *agentlink.OrderMap
	// movedAt is when the step of the rank was seen to change.
	movedAt time.Time
	held    bool
	wake    chan struct{}
}

// newExpertMaps returns nil where the backend server is no engine or no
// weight store is set.
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

// methods returns the control methods of expert maps.
func (m *expertMaps) methods() rpc.Methods {
	if m == nil {
		return nil
	}
	return rpc.Methods{
		agentlink.MethodRankState: rpc.Typed(func(context.Context, *rpc.Conn, struct{}) (any, error) { return m.state() }),
		agentlink.MethodPopularity: rpc.Typed(func(ctx context.Context, _ *rpc.Conn, _ struct{}) (any, error) {
			return m.engine.RankPopularity(ctx)
		}),
		agentlink.MethodExpertMap: rpc.Typed(func(ctx context.Context, _ *rpc.Conn, _ struct{}) (any, error) {
			return m.engine.RankMap(ctx)
		}),
		agentlink.MethodOrderMap: rpc.Typed(m.take),
	}
}

// groupRank returns the rank that the agent stands before.
func (m *expertMaps) groupRank() agentlink.GroupRank {
	if m == nil {
		return agentlink.GroupRank{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return agentlink.GroupRank{Group: m.rank.Group, Rank: m.rank.Rank, Ranks: m.rank.Ranks}
}

func (m *expertMaps) state() (engine.RankState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rank.Incarnation == "" {
		return m.rank, problem.New(problem.BackendUnreachable, "start the engine", "the rank has not been seen yet")
	}
	return m.rank, nil
}

// take accepts an order for a map unless its fencing number is old.
func (m *expertMaps) take(_ context.Context, _ *rpc.Conn, order agentlink.OrderMap) (any, error) {
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
	m.order = &order
	m.signal()
	return agentlink.OrderMapReply{Highest: m.fence.Highest()}, nil
}

func (m *expertMaps) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run follows the rank and loads what is ordered until ctx ends.
func (m *expertMaps) run(ctx context.Context) error {
	if m == nil {
		return nil
	}
	go m.loadOrders(ctx)
	for ctx.Err() == nil {
		state, err := m.engine.RankState(ctx)
		if err != nil {
			wait.For(ctx, rankAbsentInterval)
			continue
		}
		m.observe(state)
		wait.For(ctx, rankInterval)
	}
	return nil
}

// observe keeps the state of the rank. A rank that has restarted gets the map
// that was ordered last again.
func (m *expertMaps) observe(state engine.RankState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	restarted := m.rank.Incarnation != state.Incarnation
	current := m.rank.Current
	m.noteStep(state, restarted || m.rank.Step != state.Step, time.Now())
	m.rank = state
	m.fence.ObserveLoaded(state.Loaded)
	if restarted {
		m.inUse = nil
		m.log.Info("rank started", zap.String("group", state.Group), zap.Int("rank", state.Rank), zap.String("incarnation", string(state.Incarnation)))
		m.signal()
	} else if current != state.Current {
		m.log.Info("expert map in use", zap.String("map", state.Current.String()), zap.Int64("step", state.Step))
	}
	m.scope.Gauge("map_fencing").Update(float64(state.Current.Fencing))
	m.scope.Gauge("map_sequence").Update(float64(state.Current.Sequence))
	m.scope.Gauge("step").Update(float64(state.Step))
}

// noteStep tells when the steps of the group are held and when they go on.
func (m *expertMaps) noteStep(state engine.RankState, moved bool, now time.Time) {
	if moved {
		m.movedAt = now
	}
	held := now.Sub(m.movedAt) >= heldAfter
	if held == m.held {
		return
	}
	m.held = held
	m.log.Info("steps of the group", zap.Bool("held", held), zap.Int64("step", state.Step), zap.Ints("missingRanks", state.Missing))
	if held {
		m.scope.Counter("steps_held").Inc(1)
	}
}

// MapStatus is what an agent tells operators of expert maps.
type MapStatus struct {
	Rank engine.RankState `json:"rank"`
	// HighestFencing is the number below which orders are refused.
	HighestFencing int64 `json:"highestFencing"`
	// Ordered is the map that was ordered last; Loading tells that the rank
	// lacks it still.
	Ordered expertmap.Version `json:"ordered"`
	Loading bool              `json:"loading"`
	// Held is true while the step of the rank does not change.
	Held bool `json:"held"`
}

// serveStatus tells operators the state of expert maps.
func (m *expertMaps) serveStatus(w http.ResponseWriter, _ *http.Request) {
	if m == nil {
		problem.Write(w, problem.New(problem.UnknownRoute, "set weightsURL in the agent's settings", "the agent handles no expert maps"))
		return
	}
	_, _, loading := m.due()
	m.mu.Lock()
	defer m.mu.Unlock()
	status := MapStatus{Rank: m.rank, HighestFencing: m.fence.Highest(), Loading: loading, Held: m.held}
	if m.order != nil {
		status.Ordered = m.order.Map.Version
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// loadOrders loads the newest order until the rank holds its map.
func (m *expertMaps) loadOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for ctx.Err() == nil {
			order, rank, ok := m.due()
			if !ok {
				break
			}
			if err := m.load(ctx, order, rank); err != nil && ctx.Err() == nil {
				m.scope.Counter("loads_failed").Inc(1)
				wait.For(ctx, loadRetryPause)
			}
		}
	}
}

// due returns the order whose map the rank lacks.
func (m *expertMaps) due() (agentlink.OrderMap, engine.RankState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.order == nil || m.rank.Incarnation == "" {
		return agentlink.OrderMap{}, m.rank, false
	}
	return *m.order, m.rank, expertmap.Newest(m.rank.Loaded).Compare(m.order.Map.Version) < 0
}

// load reads the weights that the rank lacks and tells the rank of the map. It
// gives up when a newer order has come.
func (m *expertMaps) load(ctx context.Context, order agentlink.OrderMap, rank engine.RankState) error {
	present, err := m.placement(ctx)
	if err != nil {
		return err
	}
	for _, e := range order.Map.MissingExperts(rank.Rank, present.ExpertsOn(rank.Rank)) {
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
	m.installed(order, rank)
	return nil
}

// placement returns the map whose weights the rank holds.
func (m *expertMaps) placement(ctx context.Context) (expertmap.Map, error) {
	m.mu.Lock()
	known := m.inUse
	m.mu.Unlock()
	if known != nil {
		return *known, nil
	}
	return m.engine.RankMap(ctx)
}

func (m *expertMaps) superseded(order agentlink.OrderMap) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.order.Map.Version != order.Map.Version
}

// installed notes the map at once, so that it is not loaded again before the
// next reading of the rank.
func (m *expertMaps) installed(order agentlink.OrderMap, rank engine.RankState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rank.Incarnation != rank.Incarnation {
		return
	}
	m.inUse = &order.Map
	m.rank.Loaded = append(slices.Clone(m.rank.Loaded), order.Map.Version)
	m.scope.Counter("maps_loaded").Inc(1)
	m.log.Info("expert map loaded", zap.String("map", order.Map.Version.String()), zap.Int64("fencing", order.Fencing))
}

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/configuration"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

const linkRetryPause = 300 * time.Millisecond

// replicas holds the agents that this entry may send attempts to, each with
// its control connection.
type replicas struct {
	log         *zap.Logger
	entry       string
	incarnation ident.Incarnation
	config      *configuration.Store
	scope       tally.Scope
	// claimed takes the offsets that agents have been given.
	claimed func(offset int64)
	// partsDue receives a value after an agent has connected.
	partsDue chan struct{}

	mu    sync.Mutex
	byKey map[string]*replica
}

// replica is one agent. Its fields are guarded by the lock of replicas.
type replica struct {
	instance instancelist.Instance
	stop     context.CancelFunc
	conn     *rpc.Conn
	status   agentlink.Status
	statusAt time.Time
	since    time.Time
	inFlight int
	failures int
	// partRevision is the revision of the pool that the agent has been sent
	// over the present connection.
	partRevision int64
}

func newReplicas(log *zap.Logger, entry string, incarnation ident.Incarnation, config *configuration.Store, scope tally.Scope, claimed func(offset int64)) *replicas {
	return &replicas{log: log, entry: entry, incarnation: incarnation, config: config, scope: scope, claimed: claimed, partsDue: make(chan struct{}, 1), byKey: make(map[string]*replica)}
}

// reconcile connects to agents that are new in the list and drops those that
// are gone from it.
func (rs *replicas) reconcile(ctx context.Context, agents []instancelist.Instance) {
	listed := make(map[string]instancelist.Instance, len(agents))
	for _, a := range agents {
		listed[a.Name] = a
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for name, r := range rs.byKey {
		now, ok := listed[name]
		if ok && sameAddresses(now, r.instance) {
			r.instance = now
			continue
		}
		r.stop()
		delete(rs.byKey, name)
	}
	for name, a := range listed {
		if _, ok := rs.byKey[name]; ok {
			continue
		}
		linkCtx, stop := context.WithCancel(ctx)
		r := &replica{instance: a, stop: stop}
		rs.byKey[name] = r
		go rs.keepLink(linkCtx, r)
	}
}

func sameAddresses(a, b instancelist.Instance) bool {
	return a.DataAddress == b.DataAddress && a.ControlAddress == b.ControlAddress && a.Pool == b.Pool
}

// keepLink holds the control connection to one agent until ctx ends.
func (rs *replicas) keepLink(ctx context.Context, r *replica) {
	for ctx.Err() == nil {
		if err := rs.link(ctx, r); err != nil {
			sleep(ctx, linkRetryPause)
		}
	}
}

// link connects once and returns when the connection has ended.
func (rs *replicas) link(ctx context.Context, r *replica) error {
	methods := rpc.Methods{agentlink.MethodStatus: rpc.Typed(
		func(_ context.Context, _ *rpc.Conn, status agentlink.Status) (any, error) {
			rs.storeStatus(r, status)
			return nil, nil
		})}
	conn, err := rpc.Dial(ctx, r.instance.ControlAddress, methods)
	if err != nil {
		return err
	}
	defer conn.Close()
	var status agentlink.Status
	if err := conn.Call(ctx, agentlink.MethodHello, agentlink.Hello{Entry: rs.entry, Incarnation: rs.incarnation}, &status); err != nil {
		return err
	}
	rs.storeStatus(r, status)
	rs.setConn(r, conn)
	defer rs.setConn(r, nil)
	rs.wakeParts()
	select {
	case <-ctx.Done():
	case <-conn.Done():
	}
	return nil
}

func (rs *replicas) setConn(r *replica, conn *rpc.Conn) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.conn = conn
	r.partRevision = unsentPart
	rs.log.Info("agent link", zap.String("agent", r.instance.Name), zap.Bool("up", conn != nil))
}

func (rs *replicas) storeStatus(r *replica, status agentlink.Status) {
	rs.claimed(status.ConfigOffset)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	if status.Incarnation != r.status.Incarnation {
		r.since = now
		r.failures = 0
	}
	r.status = status
	r.statusAt = now
}

// usable counts the connected agents that take work.
func (rs *replicas) usable() int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	n := 0
	for _, r := range rs.byKey {
		if r.conn != nil && r.status.BackendUp && !r.status.Draining {
			n++
		}
	}
	return n
}

// snapshot returns the candidates of a pool.
func (rs *replicas) snapshot(pool string, concurrency int) []routing.Replica {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []routing.Replica
	for _, r := range rs.byKey {
		if r.instance.Pool != pool || r.conn == nil {
			continue
		}
		out = append(out, routing.Replica{
			Name:          r.instance.Name,
			Incarnation:   r.status.Incarnation,
			FailureDomain: r.instance.FailureDomain,
			Concurrency:   concurrency,
			InFlight:      r.inFlight,
			Load:          r.status.Load,
			LoadAt:        r.statusAt,
			Since:         r.since,
			Leaving:       r.status.Draining || !r.status.BackendUp || r.instance.State == instancelist.Leaving,
			Failures:      r.failures,
		})
	}
	return out
}

// begin counts an attempt at a replica and returns its data address.
func (rs *replicas) begin(name string) (string, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byKey[name]
	if !ok {
		return "", false
	}
	r.inFlight++
	return r.instance.DataAddress, true
}

// end takes the attempt out of the count.
func (rs *replicas) end(name string, failed bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byKey[name]
	if !ok {
		return
	}
	r.inFlight--
	if failed {
		r.failures++
		return
	}
	r.failures = 0
}

// conn returns the control connection of an agent.
func (rs *replicas) conn(name string) (*rpc.Conn, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byKey[name]
	if !ok || r.conn == nil {
		return nil, false
	}
	return r.conn, true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ReplicaCount returns the number of agents that take work from this entry.
func (e *Entry) ReplicaCount() int { return e.replicas.usable() }

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/configuration"
	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/membership"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

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
	table *membership.Table
	// rows holds the rows of the list that the table knows, by name and
	// address.
	rows  map[rowKey]instancelist.Instance
	byKey map[string]*replica
}

// replica is one agent. Its fields are guarded by the lock of replicas.
type replica struct {
	instance instancelist.Instance
	// link is the present link or the attempt to open it, nil if there is none.
	link   *link
	conn   *rpc.Conn
	status agentlink.Status
	rtt    time.Duration
	load   routing.Load
	loadAt time.Time
	// inFlightAtLoad is what inFlight was at loadAt.
	inFlightAtLoad int
	since          time.Time
	inFlight       int
	failures       int
	failedAt       time.Time
	// partRevision is the revision of the pool that the agent has been sent
	// over the present link.
	partRevision int64
}

func newReplicas(log *zap.Logger, entry string, incarnation ident.Incarnation, config *configuration.Store, scope tally.Scope, claimed func(offset int64)) *replicas {
	return &replicas{
		log: log, entry: entry, incarnation: incarnation, config: config,
		scope: scope, claimed: claimed, partsDue: make(chan struct{}, 1),
		table: membership.New(membership.DefaultRules()), rows: make(map[rowKey]instancelist.Instance), byKey: make(map[string]*replica),
	}
}

type connectedReplica struct {
	conn *rpc.Conn
	pool string
}

func (rs *replicas) connected() []connectedReplica {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []connectedReplica
	for _, r := range rs.byKey {
		if r.conn != nil {
			out = append(out, connectedReplica{r.conn, r.instance.Pool})
		}
	}
	return out
}

// usable counts the agents that take work.
func (rs *replicas) usable() int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	n := 0
	for name := range rs.byKey {
		if rs.table.Eligible(now, name) {
			n++
		}
	}
	return n
}

// snapshot returns the candidates of a pool.
func (rs *replicas) snapshot(pool string, concurrency int) []routing.Replica {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	var out []routing.Replica
	for name, r := range rs.byKey {
		if r.instance.Pool != pool || r.conn == nil {
			continue
		}
		out = append(out, routing.Replica{
			Name:           name,
			Incarnation:    r.status.Incarnation,
			FailureDomain:  r.instance.FailureDomain,
			Concurrency:    concurrency,
			InFlight:       r.inFlight,
			Load:           r.load,
			LoadAt:         r.loadAt,
			InFlightAtLoad: r.inFlightAtLoad,
			RTT:            r.rtt,
			FirstSeen:      r.since,
			Draining:       !rs.table.Eligible(now, name),
			Failures:       r.failures,
			FailedAt:       r.failedAt,
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
		r.failedAt = time.Now()
		return
	}
	r.failures = 0
}

// heard takes the load that a frame of an answer carries.
func (rs *replicas) heard(to routing.Replica, load *frame.Load) {
	if load == nil {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	rs.table.HandleActivity(now, to.Name, to.Incarnation)
	if r, ok := rs.byKey[to.Name]; ok && r.status.Incarnation == to.Incarnation {
		r.takeLoad(now, routing.Load{Running: load.Running, Waiting: load.Waiting, StepMS: load.StepMS})
	}
}

// failed takes the agent out of the choice at once where the failure says that
// this incarnation takes no work again, or that the agent is out of reach.
func (rs *replicas) failed(ctx context.Context, at routing.Replica, err error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	switch {
	case problem.Is(err, problem.Draining), problem.Is(err, problem.WrongIncarnation):
		rs.table.HandleRefusal(at.Name, at.Incarnation)
	case problem.Is(err, problem.BackendUnreachable) && problem.Of(err).Outcome == problem.NotRun && ctx.Err() == nil:
		rs.apply(ctx, rs.table.HandleConnectFailure(time.Now(), at.Name, at.Incarnation))
	}
}

func (r *replica) takeLoad(now time.Time, load routing.Load) {
	r.load = load
	r.loadAt = now
	r.inFlightAtLoad = r.inFlight
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

// ReplicaCount returns the number of agents that take work from this entry.
func (e *Entry) ReplicaCount() int { return e.replicas.usable() }

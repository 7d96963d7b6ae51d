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

// replicas holds the agents that this entry may send attempts to, each with its control
// connection. It is safe for concurrent use.
type replicas struct {
	log         *zap.Logger
	entry       string
	incarnation ident.Incarnation
	config      *configuration.Store
	scope       tally.Scope
	// onConfigOffset is called with the configuration offsets that agents report.
	onConfigOffset func(offset int64)
	// configDue receives a value when an agent has connected.
	configDue chan struct{}

	mu    sync.Mutex
	table *membership.Table
	// rows holds the instance list rows that the table knows, by name and address.
	rows   map[rowKey]instancelist.Instance
	byName map[string]*replica
}

// replica is one agent. The lock of replicas guards its fields.
type replica struct {
	instance instancelist.Instance
	// link is the current link, open or being opened; nil if there is none.
	link   *link
	conn   *rpc.Conn
	status agentlink.Status
	rtt    time.Duration
	load   routing.Load
	loadAt time.Time
	// inFlightAtLoad is the value of inFlight at loadAt.
	inFlightAtLoad int
	firstSeen      time.Time
	inFlight       int
	failures       int
	failedAt       time.Time
	// configRevision is the revision of the pool configuration that the agent has accepted over the
	// current link, or noConfigAccepted.
	configRevision int64
}

func newReplicas(log *zap.Logger, entry string, incarnation ident.Incarnation, config *configuration.Store, scope tally.Scope, onConfigOffset func(offset int64)) *replicas {
	return &replicas{
		log: log, entry: entry, incarnation: incarnation, config: config,
		scope: scope, onConfigOffset: onConfigOffset, configDue: make(chan struct{}, 1),
		table: membership.New(membership.DefaultRules()), rows: make(map[rowKey]instancelist.Instance), byName: make(map[string]*replica),
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
	for _, r := range rs.byName {
		if r.conn != nil {
			out = append(out, connectedReplica{r.conn, r.instance.Pool})
		}
	}
	return out
}

// countUsable counts the agents that accept new work.
func (rs *replicas) countUsable() int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	n := 0
	for name := range rs.byName {
		if rs.table.Eligible(now, name) {
			n++
		}
	}
	return n
}

// snapshot returns the connected replicas of a pool as candidates for routing.
func (rs *replicas) snapshot(pool string, concurrency int) []routing.Replica {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	var out []routing.Replica
	for name, r := range rs.byName {
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
			FirstSeen:      r.firstSeen,
			Draining:       !rs.table.Eligible(now, name),
			Failures:       r.failures,
			FailedAt:       r.failedAt,
		})
	}
	return out
}

// beginAttempt counts an attempt at a replica as in flight and returns the replica's data
// address.
func (rs *replicas) beginAttempt(name string) (string, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byName[name]
	if !ok {
		return "", false
	}
	r.inFlight++
	return r.instance.DataAddress, true
}

// endAttempt ends an attempt and updates the count of consecutive failures.
func (rs *replicas) endAttempt(name string, failed bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byName[name]
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

// recordFrameLoad stores the load that a frame of an answer carries.
func (rs *replicas) recordFrameLoad(to routing.Replica, load *frame.Load) {
	if load == nil {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	rs.table.HandleActivity(now, to.Name, to.Incarnation)
	if r, ok := rs.byName[to.Name]; ok && r.status.Incarnation == to.Incarnation {
		r.updateLoad(now, routing.Load{Running: load.Running, Waiting: load.Waiting, StepMS: load.StepMS})
	}
}

// recordFailure makes the agent unusable at once if the error shows that its incarnation
// accepts no more work, or that no connection to it can be opened.
func (rs *replicas) recordFailure(ctx context.Context, at routing.Replica, err error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	switch {
	case problem.Is(err, problem.Draining), problem.Is(err, problem.WrongIncarnation):
		rs.table.HandleRefusal(at.Name, at.Incarnation)
	case problem.Is(err, problem.BackendUnreachable) && problem.Of(err).Outcome == problem.NotRun && ctx.Err() == nil:
		rs.apply(ctx, rs.table.HandleConnectFailure(time.Now(), at.Name, at.Incarnation))
	}
}

func (r *replica) updateLoad(now time.Time, load routing.Load) {
	r.load = load
	r.loadAt = now
	r.inFlightAtLoad = r.inFlight
}

// conn returns the control connection of an agent.
func (rs *replicas) conn(name string) (*rpc.Conn, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byName[name]
	if !ok || r.conn == nil {
		return nil, false
	}
	return r.conn, true
}

// ReplicaCount returns the number of agents that accept new work from this entry.
func (e *Entry) ReplicaCount() int { return e.replicas.countUsable() }

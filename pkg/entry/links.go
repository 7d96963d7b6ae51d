package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/membership"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

// advanceInterval is how often the membership table is asked what is due.
const advanceInterval = 50 * time.Millisecond

// rowKey names one row of the list: names may be listed twice.
type rowKey struct{ name, address string }

// link is one control connection to an agent, or the attempt to open it.
type link struct {
	instance instancelist.Instance
	stop     context.CancelFunc
}

func addressOf(i instancelist.Instance) string {
	return i.ControlAddress + " " + i.DataAddress + " " + i.Pool
}

// reconcile takes a reading of the list: the agents of this entry's subset of
// every pool, and those that other entries take.
func (rs *replicas) reconcile(ctx context.Context, mine, others []instancelist.Instance) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rows := make([]membership.Row, 0, len(mine))
	for _, i := range mine {
		rs.rows[rowKey{i.Name, addressOf(i)}] = i
		rows = append(rows, membership.Row{Name: i.Name, Address: addressOf(i), Leaving: i.State == instancelist.Leaving})
	}
	rs.apply(ctx, rs.table.ApplyList(time.Now(), rows, rand.Uint64()))
	for _, i := range others {
		rs.apply(ctx, rs.table.Drop(i.Name))
	}
	rs.table.SetLinkTimeout(membership.LinkTimeout(rs.table.Len()))
}

// keepLinks carries out what the table decides until ctx ends.
func (rs *replicas) keepLinks(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		rs.mu.Lock()
		rs.apply(ctx, rs.table.Advance(time.Now()))
		rs.mu.Unlock()
	}
}

// apply carries out actions. The caller holds the lock.
func (rs *replicas) apply(ctx context.Context, actions []membership.Action) {
	for _, a := range actions {
		switch a.Kind {
		case membership.Dial:
			rs.open(ctx, a)
		case membership.Close:
			rs.drop(a.Agent)
		case membership.Forget:
			rs.drop(a.Agent)
			delete(rs.byKey, a.Agent)
			delete(rs.rows, rowKey{a.Agent, a.Address})
		}
	}
}

func (rs *replicas) open(ctx context.Context, a membership.Action) {
	r, ok := rs.byKey[a.Agent]
	if !ok {
		r = &replica{}
		rs.byKey[a.Agent] = r
	}
	r.instance = rs.rows[rowKey{a.Agent, a.Address}]
	linkCtx, stop := context.WithCancel(ctx)
	l := &link{instance: r.instance, stop: stop}
	r.link = l
	go rs.hold(linkCtx, r, l)
}

func (rs *replicas) drop(name string) {
	r, ok := rs.byKey[name]
	if !ok || r.link == nil {
		return
	}
	r.link.stop()
	r.link = nil
	r.conn = nil
}

// hold opens the link and returns when it has ended.
func (rs *replicas) hold(ctx context.Context, r *replica, l *link) {
	defer l.stop()
	conn := rs.connect(ctx, r, l)
	if conn != nil {
		defer conn.Close()
		rs.wakeParts()
		select {
		case <-ctx.Done():
		case <-conn.Done():
		}
	}
	rs.ended(r, l)
}

// connect opens the link and introduces the entry, or returns nil.
func (rs *replicas) connect(ctx context.Context, r *replica, l *link) *rpc.Conn {
	methods := rpc.Methods{
		agentlink.MethodStatus: rpc.Typed(func(_ context.Context, _ *rpc.Conn, status agentlink.Status) (any, error) {
			rs.storeStatus(r, l, status)
			return nil, nil
		}),
		agentlink.MethodHeartbeat: rpc.Typed(func(_ context.Context, _ *rpc.Conn, heartbeat agentlink.Heartbeat) (any, error) {
			rs.storeHeartbeat(r, l, heartbeat)
			return nil, nil
		}),
	}
	conn, err := rpc.Dial(ctx, l.instance.ControlAddress, methods)
	if err != nil {
		return nil
	}
	hello := agentlink.Hello{Entry: rs.entry, Incarnation: rs.incarnation, HeartbeatMS: rs.heartbeatMS()}
	var status agentlink.Status
	asked := time.Now()
	if err := conn.Call(ctx, agentlink.MethodHello, hello, &status); err != nil {
		conn.Close()
		return nil
	}
	rs.claimed(status.ConfigOffset)
	if !rs.opened(r, l, conn, status, time.Since(asked)) {
		conn.Close()
		return nil
	}
	return conn
}

func (rs *replicas) heartbeatMS() int64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return membership.HeartbeatInterval(rs.table.Len()).Milliseconds()
}

// opened puts an open link in use, unless it has been given up meanwhile.
func (rs *replicas) opened(r *replica, l *link, conn *rpc.Conn, status agentlink.Status, rtt time.Duration) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.link != l {
		return false
	}
	r.conn = conn
	r.partRevision = unsentPart
	r.rtt = rtt
	rs.log.Info("agent link", zap.String("agent", l.instance.Name), zap.Bool("up", true))
	if status.Name != l.instance.Name {
		rs.log.Warn("another agent answers at the address", zap.String("listed", l.instance.Name), zap.String("answers", status.Name))
	}
	now := time.Now()
	rs.table.LinkUp(now, l.instance.Name, reportOf(status))
	r.takeStatus(now, status)
	return true
}

// ended notes the end of a link that has not been given up before.
func (rs *replicas) ended(r *replica, l *link) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.link != l {
		return
	}
	if r.conn != nil {
		rs.log.Info("agent link", zap.String("agent", l.instance.Name), zap.Bool("up", false))
	}
	r.link = nil
	r.conn = nil
	rs.table.LinkDown(time.Now(), l.instance.Name, rand.Uint64())
}

func (rs *replicas) storeStatus(r *replica, l *link, status agentlink.Status) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.link != l || r.conn == nil {
		return
	}
	now := time.Now()
	rs.table.HandleReport(now, l.instance.Name, reportOf(status))
	r.takeStatus(now, status)
}

// storeHeartbeat takes the short form of a status.
func (rs *replicas) storeHeartbeat(r *replica, l *link, heartbeat agentlink.Heartbeat) {
	rs.mu.Lock()
	status := r.status
	rs.mu.Unlock()
	status.Draining = heartbeat.Draining
	status.BackendUp = !heartbeat.BackendDown
	status.Load = routing.Load{Running: heartbeat.Running, Waiting: heartbeat.Waiting, StepMS: heartbeat.StepMS}
	rs.storeStatus(r, l, status)
}

func (r *replica) takeStatus(now time.Time, status agentlink.Status) {
	if status.Incarnation != r.status.Incarnation {
		r.since = now
		r.failures = 0
	}
	r.status = status
	r.takeLoad(now, status.Load)
}

func reportOf(s agentlink.Status) membership.Report {
	return membership.Report{Name: s.Name, Incarnation: s.Incarnation, Draining: s.Draining, BackendUp: s.BackendUp}
}

// AgentStatus is what an entry tells operators of one agent.
type AgentStatus struct {
	Name          string                 `json:"name"`
	Incarnation   ident.Incarnation      `json:"incarnation,omitempty"`
	FailureDomain string                 `json:"failureDomain"`
	Pool          string                 `json:"pool"`
	State         membership.Eligibility `json:"standing"`
	InFlight      int                    `json:"inFlight"`
	Load          routing.Load           `json:"load"`
	// LoadAgeMS is the age of the load in milliseconds, -1 if there is none.
	LoadAgeMS int64 `json:"loadAgeMS"`
}

// standings returns the agents that the entry knows, by name.
func (rs *replicas) standings() []AgentStatus {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	out := make([]AgentStatus, 0, len(rs.byKey))
	for name, r := range rs.byKey {
		age := int64(-1)
		if !r.loadAt.IsZero() {
			age = now.Sub(r.loadAt).Milliseconds()
		}
		out = append(out, AgentStatus{
			Name: name, Incarnation: r.status.Incarnation, FailureDomain: r.instance.FailureDomain, Pool: r.instance.Pool,
			State: rs.table.Eligibility(now, name), InFlight: r.inFlight, Load: r.load, LoadAgeMS: age,
		})
	}
	slices.SortFunc(out, func(a, b AgentStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

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

// advanceInterval is how often the membership table is advanced.
const advanceInterval = 50 * time.Millisecond

// rowKey identifies a row of the instance list, which may hold a name twice.
type rowKey struct{ name, address string }

// link is a control connection to an agent, open or being opened.
type link struct {
	instance instancelist.Instance
	cancel   context.CancelFunc
	// earlyStatus is a status that arrived before the reply to the hello was processed; nil if none
	// did. The agent sends a changed status only once.
	earlyStatus *agentlink.Status
}

// rowAddress identifies the addresses and the pool of a row.
func rowAddress(i instancelist.Instance) string {
	return i.ControlAddress + " " + i.DataAddress + " " + i.Pool
}

// reconcile applies a new instance list: mine are the agents of this entry's subset of every
// pool, and others those that are left to other entries.
func (rs *replicas) reconcile(ctx context.Context, mine, others []instancelist.Instance) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rows := make([]membership.Row, 0, len(mine))
	for _, i := range mine {
		rs.rows[rowKey{i.Name, rowAddress(i)}] = i
		rows = append(rows, membership.Row{Name: i.Name, Address: rowAddress(i), Leaving: i.State == instancelist.Leaving})
	}
	rs.apply(ctx, rs.table.ApplyList(time.Now(), rows, rand.Uint64()))
	for _, i := range others {
		rs.apply(ctx, rs.table.Drop(i.Name))
	}
	rs.table.SetLinkTimeout(membership.LinkTimeout(rs.table.Len()))
}

// keepLinks advances the membership table and applies its actions until ctx ends.
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

// apply executes actions of the membership table. The caller holds the lock.
func (rs *replicas) apply(ctx context.Context, actions []membership.Action) {
	for _, a := range actions {
		switch a.Kind {
		case membership.Dial:
			rs.openLink(ctx, a)
		case membership.Close:
			rs.closeLink(a.Agent)
		case membership.Forget:
			rs.closeLink(a.Agent)
			delete(rs.byName, a.Agent)
			delete(rs.rows, rowKey{a.Agent, a.Address})
		}
	}
}

func (rs *replicas) openLink(ctx context.Context, a membership.Action) {
	r, ok := rs.byName[a.Agent]
	if !ok {
		r = &replica{}
		rs.byName[a.Agent] = r
	}
	r.instance = rs.rows[rowKey{a.Agent, a.Address}]
	linkCtx, cancel := context.WithCancel(ctx)
	l := &link{instance: r.instance, cancel: cancel}
	r.link = l
	go rs.maintainLink(linkCtx, r, l)
}

func (rs *replicas) closeLink(name string) {
	r, ok := rs.byName[name]
	if !ok || r.link == nil {
		return
	}
	r.link.cancel()
	r.link = nil
	r.conn = nil
}

// maintainLink opens the link and returns when it has closed.
func (rs *replicas) maintainLink(ctx context.Context, r *replica, l *link) {
	defer l.cancel()
	conn := rs.connect(ctx, r, l)
	if conn != nil {
		defer conn.Close()
		rs.signalConfigDue()
		select {
		case <-ctx.Done():
		case <-conn.Done():
		}
	}
	rs.linkEnded(r, l)
}

// connect dials the agent and performs the hello handshake. It returns nil on failure.
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
	sentAt := time.Now()
	if err := conn.Call(ctx, agentlink.MethodHello, hello, &status); err != nil {
		conn.Close()
		return nil
	}
	rs.onConfigOffset(status.ConfigOffset)
	if !rs.linkOpened(r, l, conn, status, time.Since(sentAt)) {
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

// linkOpened registers an open link. It returns false if the link was replaced or closed in the
// meantime.
func (rs *replicas) linkOpened(r *replica, l *link, conn *rpc.Conn, status agentlink.Status, rtt time.Duration) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.link != l {
		return false
	}
	if l.earlyStatus != nil {
		status = *l.earlyStatus
	}
	r.conn = conn
	r.configRevision = noConfigAccepted
	r.rtt = rtt
	rs.log.Info("agent link state changed", zap.String("agent", l.instance.Name), zap.Bool("connected", true))
	if status.Name != l.instance.Name {
		rs.log.Warn("agent at the listed address reports another name", zap.String("listedName", l.instance.Name), zap.String("reportedName", status.Name))
	}
	now := time.Now()
	rs.table.LinkUp(now, l.instance.Name, membershipReport(status))
	r.updateStatus(now, status)
	return true
}

// linkEnded records the end of a link, unless the link was already replaced or closed.
func (rs *replicas) linkEnded(r *replica, l *link) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.link != l {
		return
	}
	if r.conn != nil {
		rs.log.Info("agent link state changed", zap.String("agent", l.instance.Name), zap.Bool("connected", false))
	}
	r.link = nil
	r.conn = nil
	rs.table.LinkDown(time.Now(), l.instance.Name, rand.Uint64())
}

// storeStatus stores a status that arrived on a link.
func (rs *replicas) storeStatus(r *replica, l *link, status agentlink.Status) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.link != l {
		return
	}
	if r.conn == nil {
		l.earlyStatus = &status
		return
	}
	rs.report(r, l, status)
}

// storeHeartbeat updates the status from a heartbeat, which carries only a part of it. One that arrives
// before the reply to the hello was processed tells less than that.
func (rs *replicas) storeHeartbeat(r *replica, l *link, heartbeat agentlink.Heartbeat) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.link != l || r.conn == nil {
		return
	}
	status := r.status
	status.Draining = heartbeat.Draining
	status.BackendUp = !heartbeat.BackendDown
	status.Load = routing.Load{Running: heartbeat.Running, Waiting: heartbeat.Waiting, StepMS: heartbeat.StepMS}
	rs.report(r, l, status)
}

// report passes a status of an open link to the membership and stores it. rs.mu is held.
func (rs *replicas) report(r *replica, l *link, status agentlink.Status) {
	now := time.Now()
	rs.table.HandleReport(now, l.instance.Name, membershipReport(status))
	r.updateStatus(now, status)
}

func (r *replica) updateStatus(now time.Time, status agentlink.Status) {
	if status.Incarnation != r.status.Incarnation {
		r.firstSeen = now
		r.failures = 0
	}
	r.status = status
	r.updateLoad(now, status.Load)
}

func membershipReport(s agentlink.Status) membership.Report {
	return membership.Report{Name: s.Name, Incarnation: s.Incarnation, Draining: s.Draining, BackendUp: s.BackendUp}
}

// AgentStatus is the state of one agent as shown to operators.
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

// agentStatuses returns the known agents, sorted by name.
func (rs *replicas) agentStatuses() []AgentStatus {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	out := make([]AgentStatus, 0, len(rs.byName))
	for name, r := range rs.byName {
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

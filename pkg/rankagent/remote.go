package rankagent

import (
	"context"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

const (
	// agentTimeout and agentTimeoutRank bound a call to another agent: the
	// answers of all ranks share the planner's link.
	agentTimeout     = 300 * time.Millisecond
	agentTimeoutRank = 10 * time.Millisecond
	// directTime is how long an agent that did not answer is passed over: its
	// engine is asked from here, which costs more.
	directTime = time.Second
)

// remoteRank controls a rank through the agent beside it, or straight where the
// agent does not answer. It implements rankcontrol.Rank.
type remoteRank struct {
	// life ends the connection.
	life context.Context
	// timeout bounds a call to the agent.
	timeout time.Duration
	// planner is this planner's peer address.
	planner string
	agent   string
	direct  rankcontrol.Rank

	mu   sync.Mutex
	conn *rpc.Conn
	// dialing is closed when the present dial has ended; nil where there is none.
	dialing chan struct{}
	// failed is when the agent last did not answer.
	failed time.Time
}

// connect returns a connection to the agent; nil while the agent is passed over.
// Only the first dial is waited for: an agent that stands still must not hold up
// the planner.
func (r *remoteRank) connect() *rpc.Conn {
	r.mu.Lock()
	if r.conn != nil {
		select {
		case <-r.conn.Done():
			r.conn = nil
		default:
			defer r.mu.Unlock()
			return r.conn
		}
	}
	first := r.failed.IsZero()
	if r.dialing == nil && (first || time.Since(r.failed) >= directTime) {
		r.dialing = make(chan struct{})
		go r.dial(r.dialing)
	}
	dialing := r.dialing
	r.mu.Unlock()
	if !first || dialing == nil {
		return nil
	}
	<-dialing
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn
}

func (r *remoteRank) dial(done chan struct{}) {
	conn, err := rpc.DialTimeout(r.life, r.timeout, r.agent, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed = time.Now()
	} else {
		r.conn = conn
	}
	r.dialing = nil
	close(done)
}

func (r *remoteRank) drop(conn *rpc.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = time.Now()
	if r.conn == conn {
		r.conn = nil
	}
	conn.Close()
}

func (r *remoteRank) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}

// call calls the agent. It reports false where the agent can't be asked; the
// error is the engine's.
func (r *remoteRank) call(ctx context.Context, method string, params, result any) (bool, error) {
	conn := r.connect()
	if conn == nil {
		return false, nil
	}
	call, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	err := conn.Call(call, method, params, result)
	if err == nil || !problem.Is(err, problem.Unavailable) {
		return true, err
	}
	if ctx.Err() != nil {
		return true, context.Cause(ctx)
	}
	r.drop(conn)
	return false, nil
}

// status reads the rank's state. Counts are never read from afar: that would
// stop the group.
func (r *remoteRank) status(ctx context.Context, request statusRequest) (rankStatus, error) {
	var s rankStatus
	request.Planner = r.planner
	if answered, err := r.call(ctx, methodStatus, request, &s); answered {
		return s, err
	}
	s, err := readStatus(ctx, r.direct, statusRequest{Map: request.Map})
	s.Report.Stale = true
	return s, err
}

// Report implements rankcontrol.Rank.
func (r *remoteRank) Report(ctx context.Context) (fleet.EngineReport, error) {
	s, err := r.status(ctx, statusRequest{})
	return s.Report, err
}

// Counts implements rankcontrol.Rank. A planner asks for windows instead.
func (r *remoteRank) Counts(ctx context.Context) (rankcontrol.Counts, error) {
	return r.direct.Counts(ctx)
}

// Experts implements rankcontrol.Rank.
func (r *remoteRank) Experts(ctx context.Context) ([][]int, error) {
	s, err := r.status(ctx, statusRequest{Map: true})
	return s.Experts, err
}

// Order implements rankcontrol.Rank. An agent that has prepared the base of a map
// gets the changes alone.
func (r *remoteRank) Order(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	var reply orderReply
	if len(o.Changes) > 0 {
		short := o
		short.Map = nil
		answered, err := r.call(ctx, methodOrder, short, &reply)
		if answered && (err != nil || reply.Verdict != rankcontrol.UnknownBase) {
			return reply.Verdict, err
		}
	}
	whole := o
	whole.Base, whole.Changes, whole.Formation = 0, nil, nil
	if answered, err := r.call(ctx, methodOrder, whole, &reply); answered {
		return reply.Verdict, err
	}
	return r.direct.Order(ctx, whole)
}

package rankagent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

const (
	// agentTimeout plus agentTimeoutPerRank for each rank bounds a call to another agent: the
	// answers of all ranks share the planner's link.
	agentTimeout        = 300 * time.Millisecond
	agentTimeoutPerRank = 10 * time.Millisecond
	// agentRetryDelay is how long an agent that did not answer is bypassed. Its engine is called
	// directly meanwhile, which costs more.
	agentRetryDelay = time.Second
)

// remoteRank controls a rank through its agent, or calls its engine directly while the agent does
// not answer. It implements rankcontrol.Rank.
type remoteRank struct {
	// ctx ends the connection.
	ctx context.Context
	// timeout bounds a call to the agent.
	timeout time.Duration
	// planner is the peer address of this planner.
	planner string
	agent   string
	direct  rankcontrol.Rank
	// fencedByAgent is true if the engine does not check fences, so that only its agent does. Orders
	// must not bypass the agent then.
	fencedByAgent bool

	mu   sync.Mutex
	conn *rpc.Conn
	// dialing is closed when the dial in progress has ended; nil if none is in progress.
	dialing chan struct{}
	// failedAt is when the agent last failed to answer.
	failedAt time.Time
}

// connect returns a connection to the agent, or nil while the agent is bypassed. It waits only for
// the first dial, so that an agent that hangs does not delay the planner.
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
	first := r.failedAt.IsZero()
	if r.dialing == nil && (first || time.Since(r.failedAt) >= agentRetryDelay) {
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
	conn, err := rpc.DialTimeout(r.ctx, r.timeout, r.agent, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failedAt = time.Now()
	} else {
		r.conn = conn
	}
	r.dialing = nil
	close(done)
}

// drop closes a connection on which a call failed. The agent is then bypassed for agentRetryDelay.
func (r *remoteRank) drop(conn *rpc.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = time.Now()
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

// call calls the agent within a timeout. It returns false if the agent cannot be reached; otherwise the error is the
// one that the agent returned, or the cause of the end of ctx.
func (r *remoteRank) call(ctx context.Context, timeout time.Duration, method string, params, result any) (bool, error) {
	conn := r.connect()
	if conn == nil {
		return false, nil
	}
	call, cancel := context.WithTimeout(ctx, timeout)
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

// status reads the rank's state. It never reads the expert counts from a remote engine, because
// that would stall the group.
func (r *remoteRank) status(ctx context.Context, request statusRequest) (rankStatus, error) {
	var s rankStatus
	request.Planner = r.planner
	if answered, err := r.call(ctx, r.timeout, methodStatus, request, &s); answered {
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

// Counts implements rankcontrol.Rank. The planner does not use it: it reads windows, which the
// agents compute from the counts.
func (r *remoteRank) Counts(ctx context.Context) (rankcontrol.Counts, error) {
	return r.direct.Counts(ctx)
}

// Experts implements rankcontrol.Rank.
func (r *remoteRank) Experts(ctx context.Context) ([][]int, error) {
	s, err := r.status(ctx, statusRequest{Map: true})
	return s.Experts, err
}

// Order implements rankcontrol.Rank. The agent is sent only the changes of a map at first, and the
// full map if it does not know the base or the encoding of the changes, as one of another release.
func (r *remoteRank) Order(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	var reply orderReply
	timeout := r.timeout
	if o.Operation == rankcontrol.Prepare {
		// The agent answers when the experts have been copied. Without the longer timeout, the
		// connection would be closed under the status calls meanwhile.
		timeout += prepareTimeout
	}
	if o.Changes != "" {
		delta := o
		delta.Map = nil
		answered, err := r.call(ctx, timeout, methodOrder, delta, &reply)
		unknown := err == nil && reply.Verdict == rankcontrol.UnknownBase || problem.Is(err, problem.BadRequest)
		if answered && !unknown {
			return reply.Verdict, err
		}
	}
	full := o
	full.Base, full.Changes, full.Formation = 0, "", nil
	if answered, err := r.call(ctx, timeout, methodOrder, full, &reply); answered {
		return reply.Verdict, err
	}
	if r.fencedByAgent {
		return "", errors.Newf("agent %s cannot be reached, and its engine does not check fences", r.agent)
	}
	return r.direct.Order(ctx, full)
}

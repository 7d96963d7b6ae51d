package agent

import (
	"context"
	"time"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

// entryLink is the control connection of one entry.
type entryLink struct {
	// interval is the heartbeat interval that the entry requested, at least loadInterval;
	// lastSent is when the last message was sent to it.
	interval time.Duration
	lastSent time.Time
}

// hello registers the entry's connection for status messages and heartbeats.
func (a *Agent) hello(_ context.Context, peer *rpc.Conn, hello agentlink.Hello) (any, error) {
	interval := max(loadInterval, time.Duration(hello.HeartbeatMS)*time.Millisecond)
	a.mu.Lock()
	a.links[peer] = &entryLink{interval: interval, lastSent: time.Now()}
	a.mu.Unlock()
	go func() {
		<-peer.Done()
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.links, peer)
	}()
	return a.status(), nil
}

// sendStatus sends the full status to every connected entry.
func (a *Agent) sendStatus() {
	status := a.status()
	for _, l := range a.linksDue(time.Now(), 0) {
		_ = l.Notify(context.Background(), agentlink.MethodStatus, status)
	}
}

// sendHeartbeats sends a heartbeat to every entry that is due for one.
func (a *Agent) sendHeartbeats(now time.Time) {
	due := a.linksDue(now, 1)
	if len(due) == 0 {
		return
	}
	heartbeat := a.heartbeat()
	for _, l := range due {
		_ = l.Notify(context.Background(), agentlink.MethodHeartbeat, heartbeat)
	}
}

// linksDue returns the links on which nothing was sent for the given number of their heartbeat
// intervals, and sets their lastSent to now.
func (a *Agent) linksDue(now time.Time, heartbeats time.Duration) []*rpc.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []*rpc.Conn
	for conn, l := range a.links {
		if now.Sub(l.lastSent) >= heartbeats*l.interval {
			l.lastSent = now
			due = append(due, conn)
		}
	}
	return due
}

func (a *Agent) heartbeat() agentlink.Heartbeat {
	phase := a.lifecycle.Phase()
	a.mu.Lock()
	defer a.mu.Unlock()
	return agentlink.Heartbeat{
		Running: a.load.Running, Waiting: a.load.Waiting, StepMS: a.load.StepMS,
		Draining: phase != drain.Serving, BackendDown: !a.backendUp,
	}
}

// frameLoad returns the load that answer frames carry.
func (a *Agent) frameLoad() *frame.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &frame.Load{Running: a.load.Running, Waiting: a.load.Waiting, StepMS: a.load.StepMS}
}

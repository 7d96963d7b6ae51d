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
	// heartbeat is how often the entry wants a heartbeat; sent is when it last got one.
	heartbeat time.Duration
	sent      time.Time
}

// hello registers the entry's connection for statuses and heartbeats.
func (a *Agent) hello(_ context.Context, peer *rpc.Conn, hello agentlink.Hello) (any, error) {
	heartbeat := max(loadInterval, time.Duration(hello.HeartbeatMS)*time.Millisecond)
	a.mu.Lock()
	a.links[peer] = &entryLink{heartbeat: heartbeat, sent: time.Now()}
	a.mu.Unlock()
	go func() {
		<-peer.Done()
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.links, peer)
	}()
	return a.status(), nil
}

// sendStatus tells every connected entry the whole status.
func (a *Agent) sendStatus() {
	status := a.status()
	for _, l := range a.linksDue(time.Now(), 0) {
		_ = l.Notify(context.Background(), agentlink.MethodStatus, status)
	}
}

// sendHeartbeats gives a heartbeat to every entry that is due for one.
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

// linksDue returns the links that have carried nothing for the given number of
// their heartbeats, and notes that they do now.
func (a *Agent) linksDue(now time.Time, heartbeats time.Duration) []*rpc.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []*rpc.Conn
	for conn, l := range a.links {
		if now.Sub(l.sent) >= heartbeats*l.heartbeat {
			l.sent = now
			due = append(due, conn)
		}
	}
	return due
}

func (a *Agent) heartbeat() agentlink.Heartbeat {
	phase := a.life.Phase()
	a.mu.Lock()
	defer a.mu.Unlock()
	return agentlink.Heartbeat{
		Running: a.load.Running, Waiting: a.load.Waiting, StepMS: a.load.StepMS,
		Draining: phase != drain.Serving, BackendDown: !a.backendUp,
	}
}

// frameLoad returns the load that the frames of answers carry.
func (a *Agent) frameLoad() *frame.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &frame.Load{Running: a.load.Running, Waiting: a.load.Waiting, StepMS: a.load.StepMS}
}

package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fescuehub/fescuehub/pkg/configuration"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/entrylink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// partInterval is how often parts that an agent did not take are sent
	// again.
	partInterval = time.Second
	// firstListPause separates looks for the first reading of the list.
	firstListPause = 20 * time.Millisecond
	// partsAtOnce bounds the agents that are sent their part at one time, so
	// that one that does not answer holds back no other.
	partsAtOnce = 64
)

// unsentPart is the revision of a pool whose part an agent has not been sent.
const unsentPart = -1

// followPeers links to the other entries of the instance list until ctx ends.
func (e *Entry) followPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		peers, known := e.members.otherEntries(e.settings.Name)
		if !known {
			wait.For(ctx, firstListPause)
			continue
		}
		e.mesh.Reconcile(ctx, peers)
		wait.For(ctx, listInterval)
	}
	return nil
}

// otherEntries returns the entries of the list but self. It returns false
// until the list has been read.
func (m *members) otherEntries(self string) ([]entrylink.Peer, bool) {
	var out []entrylink.Peer
	for _, i := range m.withRole(instancelist.Entry) {
		if i.Name != self && i.PeerAddress != "" {
			out = append(out, entrylink.Peer{Name: i.Name, Address: i.PeerAddress})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return out, m.list.Revision > 0
}

// liveEntries returns the names of the entries that are not leaving.
func (m *members) liveEntries() []string {
	var out []string
	for _, i := range m.withRole(instancelist.Entry) {
		if i.State == instancelist.Live {
			out = append(out, i.Name)
		}
	}
	return out
}

// sendParts hands each agent its pool's part of the configuration, when it has
// changed, until ctx ends.
func (rs *replicas) sendParts(ctx context.Context) error {
	ticker := time.NewTicker(partInterval)
	defer ticker.Stop()
	for {
		changed := rs.config.Changed()
		rs.sendDueParts(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-rs.partsDue:
		case <-ticker.C:
		}
	}
}

// wakeParts makes sendParts look for agents without their part.
func (rs *replicas) wakeParts() {
	select {
	case rs.partsDue <- struct{}{}:
	default:
	}
}

// sendDueParts sends their part to the agents that have not taken it.
func (rs *replicas) sendDueParts(ctx context.Context) {
	view := rs.config.View()
	if view.State.Offset < 0 {
		return
	}
	var group errgroup.Group
	group.SetLimit(partsAtOnce)
	for _, r := range rs.withoutPart(view) {
		group.Go(func() error {
			rs.sendPart(ctx, view, r)
			return nil
		})
	}
	_ = group.Wait()
}

// partReceiver is an agent that has not taken its part.
type partReceiver struct {
	replica *replica
	conn    *rpc.Conn
	pool    string
}

func (rs *replicas) withoutPart(view *configuration.View) []partReceiver {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []partReceiver
	for _, r := range rs.byKey {
		if r.conn != nil && r.partRevision != view.PoolRevision(r.instance.Pool) {
			out = append(out, partReceiver{r, r.conn, r.instance.Pool})
		}
	}
	return out
}

func (rs *replicas) sendPart(ctx context.Context, view *configuration.View, to partReceiver) {
	part := agentlink.PoolConfig{Offset: view.State.Offset}
	if p, ok := view.Pool(to.pool); ok {
		part.Pool = &p
	}
	var inForce agentlink.PoolConfig
	if err := to.conn.Call(ctx, agentlink.MethodConfigure, part, &inForce); err != nil {
		rs.scope.Counter("parts_failed").Inc(1)
		return
	}
	rs.scope.Counter("parts_sent").Inc(1)
	rs.claimed(inForce.Offset)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if to.replica.conn == to.conn {
		to.replica.partRevision = view.PoolRevision(to.pool)
	}
}

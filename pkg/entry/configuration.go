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
	// partRetryInterval is how often parts that an agent has not accepted are sent again.
	partRetryInterval = time.Second
	// firstListPollInterval is how often the entry checks whether the instance list has been
	// read for the first time.
	firstListPollInterval = 20 * time.Millisecond
	// maxConcurrentParts bounds the agents that are sent their part at the same time. One that
	// does not answer must not delay the others.
	maxConcurrentParts = 64
)

// unsentPart is the part revision of an agent that has been sent no part.
const unsentPart = -1

// followPeers keeps links to the other entries of the instance list until ctx ends.
func (e *Entry) followPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		peers, listRead := e.members.otherEntries(e.settings.Name)
		if !listRead {
			wait.For(ctx, firstListPollInterval)
			continue
		}
		e.mesh.Reconcile(ctx, peers)
		wait.For(ctx, listPollInterval)
	}
	return nil
}

// otherEntries returns the listed entries except self. It returns false until the list has been
// read.
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

// liveEntries returns the names of the entries that the list does not show as leaving.
func (m *members) liveEntries() []string {
	var out []string
	for _, i := range m.withRole(instancelist.Entry) {
		if i.State == instancelist.Live {
			out = append(out, i.Name)
		}
	}
	return out
}

// sendParts sends each agent its pool's part of the configuration, whenever it has changed or
// has not been accepted, until ctx ends.
func (rs *replicas) sendParts(ctx context.Context) error {
	ticker := time.NewTicker(partRetryInterval)
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

// signalPartsDue makes sendParts check for agents that lack their part.
func (rs *replicas) signalPartsDue() {
	select {
	case rs.partsDue <- struct{}{}:
	default:
	}
}

// sendDueParts sends the agents that lack it their part of the current configuration.
func (rs *replicas) sendDueParts(ctx context.Context) {
	view := rs.config.View()
	if view.State.Offset < 0 {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentParts)
	for _, r := range rs.missingPart(view) {
		group.Go(func() error {
			rs.sendPart(ctx, view, r)
			return nil
		})
	}
	_ = group.Wait()
}

// partReceiver is an agent that lacks the current part of its pool.
type partReceiver struct {
	replica *replica
	conn    *rpc.Conn
	pool    string
}

func (rs *replicas) missingPart(view *configuration.View) []partReceiver {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []partReceiver
	for _, r := range rs.byName {
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
	rs.onConfigOffset(inForce.Offset)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if to.replica.conn == to.conn {
		to.replica.partRevision = view.PoolRevision(to.pool)
	}
}

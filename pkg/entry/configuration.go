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
	// configRetryInterval is how often pool configurations that an agent has not accepted are sent
	// again.
	configRetryInterval = time.Second
	// firstListPollInterval is how often the entry checks whether the instance list has been
	// read for the first time.
	firstListPollInterval = 20 * time.Millisecond
	// maxConcurrentConfigs bounds the agents that are sent their configuration at the same time.
	// One that does not answer must not delay the others.
	maxConcurrentConfigs = 64
)

// noConfigAccepted is the configRevision of an agent that has accepted no configuration yet.
const noConfigAccepted = -1

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

// sendConfigs sends each agent the configuration of its pool, whenever it has changed or has not
// been accepted, until ctx ends.
func (rs *replicas) sendConfigs(ctx context.Context) error {
	ticker := time.NewTicker(configRetryInterval)
	defer ticker.Stop()
	for {
		changed := rs.config.Changed()
		rs.sendDueConfigs(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-rs.configDue:
		case <-ticker.C:
		}
	}
}

// signalConfigDue makes sendConfigs check for agents that lack the configuration of their pool.
func (rs *replicas) signalConfigDue() {
	select {
	case rs.configDue <- struct{}{}:
	default:
	}
}

// sendDueConfigs sends the current configuration of their pool to the agents that lack it.
func (rs *replicas) sendDueConfigs(ctx context.Context) {
	view := rs.config.View()
	if view.State.Offset < 0 {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentConfigs)
	for _, r := range rs.receiversDue(view) {
		group.Go(func() error {
			rs.sendConfig(ctx, view, r)
			return nil
		})
	}
	_ = group.Wait()
}

// configReceiver is an agent that lacks the current configuration of its pool.
type configReceiver struct {
	replica *replica
	conn    *rpc.Conn
	pool    string
}

func (rs *replicas) receiversDue(view *configuration.View) []configReceiver {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []configReceiver
	for _, r := range rs.byName {
		if r.conn != nil && r.configRevision != view.PoolRevision(r.instance.Pool) {
			out = append(out, configReceiver{r, r.conn, r.instance.Pool})
		}
	}
	return out
}

func (rs *replicas) sendConfig(ctx context.Context, view *configuration.View, to configReceiver) {
	config := agentlink.PoolConfig{Offset: view.State.Offset}
	if p, ok := view.Pool(to.pool); ok {
		config.Pool = &p
	}
	var inForce agentlink.PoolConfig
	if err := to.conn.Call(ctx, agentlink.MethodConfigure, config, &inForce); err != nil {
		rs.scope.Counter("parts_failed").Inc(1)
		return
	}
	rs.scope.Counter("parts_sent").Inc(1)
	rs.onConfigOffset(inForce.Offset)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if to.replica.conn == to.conn {
		to.replica.configRevision = view.PoolRevision(to.pool)
	}
}

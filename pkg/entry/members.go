package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
)

const listInterval = time.Second

// members follows the instance list.
type members struct {
	log      *zap.Logger
	client   *instancelist.Client
	replicas *replicas

	mu   sync.Mutex
	list instancelist.List
}

func newMembers(log *zap.Logger, client *instancelist.Client, replicas *replicas) *members {
	return &members{log: log, client: client, replicas: replicas}
}

// run polls the list until ctx ends. While the list does not answer, the last
// reading stays in use.
func (m *members) run(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	reachable := true
	for {
		list, err := m.client.Read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if (err == nil) != reachable {
			reachable = err == nil
			m.log.Info("instance list state", zap.Bool("reachable", reachable), zap.Error(err))
		}
		if err == nil {
			m.store(ctx, list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (m *members) store(ctx context.Context, list instancelist.List) {
	m.mu.Lock()
	m.list = list
	m.mu.Unlock()
	m.replicas.reconcile(ctx, m.withRole(instancelist.Agent))
}

func (m *members) withRole(role instancelist.Role) []instancelist.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []instancelist.Instance
	for _, i := range m.list.Instances {
		if i.Role == role {
			out = append(out, i)
		}
	}
	return out
}

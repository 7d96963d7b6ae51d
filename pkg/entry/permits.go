package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

const (
	// permitBlockSize is the number of permits that an entry requests at once.
	permitBlockSize = 16
	// permitBlockLifetime is how long an entry uses a block.
	permitBlockLifetime = time.Minute
	// permitCallTimeout bounds the call that requests a block.
	permitCallTimeout = 500 * time.Millisecond
	// permitsPerAnswer is the number of permits in an address answer.
	permitsPerAnswer = 8
)

// permitLifetime is how long a caller may use a permit of an address answer. It allows for the
// age of the block and 30 s of transit time.
const permitLifetime = writeonce.KeyLifetime - permitBlockLifetime - 30*time.Second

// permits caches a block of permits of each agent. It is safe for concurrent use.
type permits struct {
	replicas *replicas

	mu     sync.Mutex
	blocks map[ident.Incarnation]cachedPermits
}

// cachedPermits is a block of permits of one agent and the number of them that have been used.
type cachedPermits struct {
	block     agentlink.PermitBlock
	used      int
	fetchedAt time.Time
}

func newPermits(rs *replicas) *permits {
	return &permits{replicas: rs, blocks: make(map[ident.Incarnation]cachedPermits)}
}

// get returns a permit of the replica, from the cache or a new block, or false if the replica
// issues none.
func (ps *permits) get(ctx context.Context, replica routing.Replica) (writeonce.Key, bool) {
	if key, ok := ps.fromCache(replica.Incarnation, time.Now()); ok {
		return key, true
	}
	conn, ok := ps.replicas.conn(replica.Name)
	if !ok {
		return writeonce.Key{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, permitCallTimeout)
	defer cancel()
	var block agentlink.PermitBlock
	err := conn.Call(ctx, agentlink.MethodPermits, agentlink.PermitRequest{Count: permitBlockSize}, &block)
	if err != nil || block.Incarnation != replica.Incarnation || block.Count < 1 {
		return writeonce.Key{}, false
	}
	now := time.Now()
	ps.mu.Lock()
	ps.dropExpired(now)
	ps.blocks[block.Incarnation] = cachedPermits{block: block, fetchedAt: now}
	ps.mu.Unlock()
	return ps.fromCache(block.Incarnation, now)
}

func (ps *permits) fromCache(agent ident.Incarnation, now time.Time) (writeonce.Key, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	cached := ps.blocks[agent]
	if cached.used >= cached.block.Count || now.Sub(cached.fetchedAt) > permitBlockLifetime {
		return writeonce.Key{}, false
	}
	serial := cached.block.First + uint64(cached.used)
	cached.used++
	ps.blocks[agent] = cached
	return writeonce.NewPermit(agent, time.Duration(cached.block.IssuedMS)*time.Millisecond, serial), true
}

// dropExpired removes expired blocks. The caller holds the lock.
func (ps *permits) dropExpired(now time.Time) {
	for agent, cached := range ps.blocks {
		if now.Sub(cached.fetchedAt) > permitBlockLifetime {
			delete(ps.blocks, agent)
		}
	}
}

// permitsFor returns permits for unrepeatable calls of a route, each from a different agent as
// far as there are enough.
func (e *Entry) permitsFor(ctx context.Context, routeName string) ([]string, error) {
	_, pool, err := e.config.View().Route(routeName)
	if err != nil {
		return nil, err
	}
	var out []string
	var tried []string
	for len(out) < permitsPerAnswer {
		replica, ok := e.chooseReplica(&exchange{pool: pool}, tried)
		if !ok {
			break
		}
		tried = append(tried, replica.Name)
		if key, ok := e.permits.get(ctx, replica); ok {
			out = append(out, key.String())
		}
	}
	return out, nil
}

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
	// permitBlockSize is how many permits an entry takes at once.
	permitBlockSize = 16
	// permitBlockAge is how long an entry keeps a block.
	permitBlockAge = time.Minute
	// permitCallTimeout bounds the call for a block.
	permitCallTimeout = 500 * time.Millisecond
	// permitsPerAnswer is the number of permits in an address answer.
	permitsPerAnswer = 8
)

// permitLifetime is how long a caller may use a permit of an answer.
const permitLifetime = writeonce.KeyLifetime - permitBlockAge - 30*time.Second

// permits holds a block of permits of each agent that the entry hands out
// permits of.
type permits struct {
	replicas *replicas

	mu     sync.Mutex
	blocks map[ident.Incarnation]permitStock
}

type permitStock struct {
	block agentlink.PermitBlock
	used  int
	taken time.Time
}

func newPermits(rs *replicas) *permits {
	return &permits{replicas: rs, blocks: make(map[ident.Incarnation]permitStock)}
}

// take returns a permit of the replica, or false where it gives none.
func (ps *permits) take(ctx context.Context, replica routing.Replica) (writeonce.Key, bool) {
	if key, ok := ps.fromStock(replica.Incarnation, time.Now()); ok {
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
	ps.dropOld(now)
	ps.blocks[block.Incarnation] = permitStock{block: block, taken: now}
	ps.mu.Unlock()
	return ps.fromStock(block.Incarnation, now)
}

func (ps *permits) fromStock(agent ident.Incarnation, now time.Time) (writeonce.Key, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	stock := ps.blocks[agent]
	if stock.used >= stock.block.Count || now.Sub(stock.taken) > permitBlockAge {
		return writeonce.Key{}, false
	}
	serial := stock.block.First + uint64(stock.used)
	stock.used++
	ps.blocks[agent] = stock
	return writeonce.NewPermit(agent, time.Duration(stock.block.IssuedMS)*time.Millisecond, serial), true
}

// dropOld forgets blocks that are no longer used. The caller holds the lock.
func (ps *permits) dropOld(now time.Time) {
	for agent, stock := range ps.blocks {
		if now.Sub(stock.taken) > permitBlockAge {
			delete(ps.blocks, agent)
		}
	}
}

// permitsFor returns permits for unrepeatable calls of a route, spread over
// its agents.
func (e *Entry) permitsFor(ctx context.Context, routeName string) ([]string, error) {
	_, pool, err := e.config.View().Route(routeName)
	if err != nil {
		return nil, err
	}
	var out []string
	var tried []string
	for len(out) < permitsPerAnswer {
		replica, ok := e.choose(&exchange{pool: pool}, tried)
		if !ok {
			break
		}
		tried = append(tried, replica.Name)
		if key, ok := e.permits.take(ctx, replica); ok {
			out = append(out, key.String())
		}
	}
	return out, nil
}

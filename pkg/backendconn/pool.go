// Package backendconn sends requests to backend servers over pooled HTTP/1.1 connections. Unlike
// net/http it reports whether a request can have reached the server, and it never reuses a
// connection whose state is uncertain.
package backendconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/fescuehub/fescuehub/pkg/netconn"
)

const (
	// maxIdlePerServer bounds the idle connections to one server. It is the number of requests that
	// one entry has in flight at a server under peak load.
	maxIdlePerServer = 16
	// defaultIdleTimeout is how long a connection is reused if the server does not state its
	// keep-alive timeout.
	defaultIdleTimeout = time.Second
	// idleMargin is subtracted from the server's keep-alive timeout, because the server's
	// close may already be in transit when the connection is used again.
	idleMargin = 700 * time.Millisecond
)

// Pools holds the idle connections to all backend servers. It is safe for concurrent use.
type Pools struct {
	mu sync.Mutex
	// idle holds the idle connections by server, the most recently used one last.
	idle map[string][]*conn
	dial func(ctx context.Context, address string) (net.Conn, error)
	// endChecks holds the checks whether a server has ended that are in progress.
	endChecks singleflight.Group
}

// NewPools returns empty pools.
func NewPools() *Pools {
	return &Pools{idle: make(map[string][]*conn), dial: netconn.Dial}
}

// CloseServer closes the idle connections to a server.
func (p *Pools) CloseServer(server string) {
	p.mu.Lock()
	conns := p.idle[server]
	delete(p.idle, server)
	p.mu.Unlock()
	closeAll(conns)
}

// CloseIdle closes the connections whose idle timeout has passed.
func (p *Pools) CloseIdle(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for server, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[server] = kept
		if len(kept) == 0 {
			delete(p.idle, server)
		}
	}
	p.mu.Unlock()
	closeAll(old)
}

// get returns a usable idle connection that is not excluded, or nil if there is none.
func (p *Pools) get(server string, now time.Time, excluded []ConnectionID) *conn {
	for {
		c := p.pop(server, excluded)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && netconn.Usable(c.nc) {
			return c
		}
		_ = c.nc.Close()
	}
}

// pop removes the most recently used idle connection that is not excluded and returns it, nil if there is none.
func (p *Pools) pop(server string, excluded []ConnectionID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[server]
	for i, c := range slices.Backward(conns) {
		if !slices.Contains(excluded, c.id) {
			p.idle[server] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pools) put(c *conn) {
	p.mu.Lock()
	full := len(p.idle[c.server]) >= maxIdlePerServer
	if !full {
		p.idle[c.server] = append(p.idle[c.server], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.nc.Close()
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.nc.Close()
	}
}

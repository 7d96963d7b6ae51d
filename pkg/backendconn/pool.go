// Package backendconn carries requests to backend servers over HTTP/1.1
// connections of its own: it knows whether a request can have arrived, and never
// uses a connection again whose state is in doubt.
package backendconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/netconn"
)

const (
	// maxIdle bounds the idle connections to one server: what one entry has in
	// flight at one server on a heavy day.
	maxIdle = 16
	// defaultIdle is how long a connection is reused where the server does not
	// say how long it keeps it.
	defaultIdle = time.Second
	// idleMargin is taken off the time that a server states: the close may be
	// on its way.
	idleMargin = 700 * time.Millisecond
)

// Pools holds the idle connections to all backend servers. It is safe for
// concurrent use.
type Pools struct {
	mu sync.Mutex
	// idle holds the connections of a server, the last used one at the end.
	idle map[string][]*conn
	dial func(ctx context.Context, address string) (net.Conn, error)
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

// CloseIdle closes the connections that have been idle for too long.
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

// take returns an idle connection that is still good.
func (p *Pools) take(server string, now time.Time) *conn {
	for {
		c := p.pop(server)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && netconn.Usable(c.nc) {
			return c
		}
		_ = c.nc.Close()
	}
}

func (p *Pools) pop(server string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[server]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[server] = conns[:len(conns)-1]
	return c
}

func (p *Pools) put(c *conn) {
	p.mu.Lock()
	full := len(p.idle[c.server]) >= maxIdle
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

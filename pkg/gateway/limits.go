package gateway

import (
	"net/http"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/httpserver"
)

const (
	// defaultIdleTimeout bounds how long an idle caller connection is kept, and
	// defaultHeaderTimeout how long the head of a request may take to arrive, until a
	// configuration sets limits. They are four and three times the operators' usual limits.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	// idleTimeoutMargin is added to the configured idle timeout: a caller may already use a longer
	// timeout that this entry does not apply yet. The margin allows for the time that a
	// configuration takes to come into force.
	idleTimeoutMargin = 2 * time.Second
)

// limits returns the limits of the current configuration, with defaults for those that it does
// not set.
func (g *Gateway) limits() fleet.Limits {
	l := fleet.Limits{}
	if table := g.table.Load(); table != nil {
		l = table.Limits
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// connLimits returns the limits of the callers' connections.
func (g *Gateway) connLimits() httpserver.ConnLimits {
	l := g.limits()
	return httpserver.ConnLimits{HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout + idleTimeoutMargin}
}

// connBounds returns the bounds of a listener with a number of connections.
func (g *Gateway) connBounds(maxConns int) httpserver.Bounds {
	return httpserver.Bounds{MaxConns: maxConns, Memory: g.memory, Scope: g.scope}
}

// headerBytes returns the size of a request's method, target, host, and header names and
// values.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

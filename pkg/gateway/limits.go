package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
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

// callerListener accepts connections that are closed according to the limits in force.
type callerListener struct {
	net.Listener
	limits func() fleet.Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: c, limits: l.limits, phase: idle, phaseStart: time.Now()}
	conn.timer = time.AfterFunc(conn.phaseTimeout(), conn.onTimeout)
	return conn, nil
}

// phase is the state of a caller's connection.
type phase int

const (
	// An idle connection has no request, a reading one has received part of a request head, and
	// a serving one is bounded by its request's deadline.
	idle phase = iota
	reading
	serving
)

// callerConn is a caller's connection. It is closed when it has been idle, or a request head has
// been incomplete, for longer than the limit in force.
type callerConn struct {
	net.Conn
	limits func() fleet.Limits

	mu         sync.Mutex
	phase      phase
	phaseStart time.Time
	timer      *time.Timer
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.phase == idle {
			c.setPhase(reading)
		}
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the sending side. http.Server does so before it closes a connection with
// unread bytes, so that a TCP reset does not discard the response.
func (c *callerConn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// trackConnState is a ConnState hook of http.Server, which calls it when a request head has
// been read and when the response has been sent.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.setPhase(serving)
	case http.StateIdle:
		c.setPhase(idle)
	case http.StateClosed, http.StateHijacked:
		c.timer.Stop()
	}
}

// setPhase starts a phase and its timer. The caller holds c.mu.
func (c *callerConn) setPhase(p phase) {
	c.phase, c.phaseStart = p, time.Now()
	c.timer.Stop()
	if p != serving {
		c.timer.Reset(c.phaseTimeout())
	}
}

// phaseTimeout returns how long the current phase may last.
func (c *callerConn) phaseTimeout() time.Duration {
	if c.phase == reading {
		return c.limits().HeaderTimeout
	}
	return c.limits().IdleTimeout + idleTimeoutMargin
}

// onTimeout closes the connection, unless its phase or the limit has changed since the timer
// was set.
func (c *callerConn) onTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return
	}
	if remaining := c.phaseTimeout() - time.Since(c.phaseStart); remaining > 0 {
		c.timer.Reset(remaining)
		return
	}
	_ = c.Close() // no request is in flight on it
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

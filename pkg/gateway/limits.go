package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

const (
	// defaultIdleTimeout is how long an idle connection of a caller is kept, and callerHeader
	// how long the head of a request may take, until a configuration bounds them: four
	// and three times the operators' usual limits.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	// idleTimeoutMargin is added to the operators' idle limit: a caller may know of a higher one
	// before this entry does, by the time in which a configuration comes into force.
	idleTimeoutMargin = 2 * time.Second
)

// limits returns the limits of the configuration in force, with the entry's own where
// it sets none.
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

// callerListener bounds the connections that it accepts by the limits in force.
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
	cc := &callerConn{Conn: c, limits: l.limits, phase: idle, phaseStart: time.Now()}
	cc.timer = time.AfterFunc(cc.phaseTimeout(), cc.onTimeout)
	return cc, nil
}

// phase is what a caller's connection does.
type phase int

const (
	// idle connections have no request, reading ones a part of its head; serving ones
	// are bounded by their request.
	idle phase = iota
	reading
	serving
)

// callerConn is a caller's connection. It is closed where the caller stays idle, or
// takes for the head of a request, longer than the limit in force.
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

// CloseWrite ends what is sent: http.Server does so before it closes a connection with
// unread bytes, so that its answer arrives.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// trackConnState is a hook of http.Server, which calls it when the head of a request has
// been read and when its answer is out.
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

// setPhase begins a phase; c.mu is held.
func (c *callerConn) setPhase(p phase) {
	c.phase, c.phaseStart = p, time.Now()
	c.timer.Stop()
	if p != serving {
		c.timer.Reset(c.phaseTimeout())
	}
}

// phaseTimeout returns how long the present phase may last.
func (c *callerConn) phaseTimeout() time.Duration {
	if c.phase == reading {
		return c.limits().HeaderTimeout
	}
	return c.limits().IdleTimeout + idleTimeoutMargin
}

// onTimeout closes the connection unless its phase, or the limit, has changed.
func (c *callerConn) onTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return
	}
	if left := c.phaseTimeout() - time.Since(c.phaseStart); left > 0 {
		c.timer.Reset(left)
		return
	}
	_ = c.Close() // no request is under way on it
}

// headerBytes counts the names and values of a request's headers.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

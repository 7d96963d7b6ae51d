package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

const (
	// callerIdle is how long an idle connection of a caller is kept, and callerHeader
	// how long the head of a request may take, until a configuration bounds them: four
	// and three times the operators' usual limits.
	callerIdle   = 60 * time.Second
	callerHeader = 10 * time.Second
	// idleSlack is added to the operators' idle limit: a caller may know of a higher one
	// before this entry does, by the time in which a configuration comes into force.
	idleSlack = 2 * time.Second
)

// limits returns the limits of the configuration in force, with the entry's own where
// it sets none.
func (g *Gateway) limits() fleet.Limits {
	l := fleet.Limits{}
	if table := g.table.Load(); table != nil {
		l = table.Limits
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = maxBody
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = callerHeader
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = callerIdle
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
	cc := &callerConn{Conn: c, limits: l.limits, phase: idle, since: time.Now()}
	cc.timer = time.AfterFunc(cc.limit(), cc.over)
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

	mu    sync.Mutex
	phase phase
	since time.Time
	timer *time.Timer
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.phase == idle {
			c.enter(reading)
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

// noteState is a hook of http.Server, which calls it when the head of a request has
// been read and when its answer is out.
func noteState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.enter(serving)
	case http.StateIdle:
		c.enter(idle)
	case http.StateClosed, http.StateHijacked:
		c.timer.Stop()
	}
}

// enter begins a phase; c.mu is held.
func (c *callerConn) enter(p phase) {
	c.phase, c.since = p, time.Now()
	c.timer.Stop()
	if p != serving {
		c.timer.Reset(c.limit())
	}
}

// limit returns how long the present phase may last.
func (c *callerConn) limit() time.Duration {
	if c.phase == reading {
		return c.limits().HeaderTimeout
	}
	return c.limits().IdleTimeout + idleSlack
}

// over closes the connection unless its phase, or the limit, has changed.
func (c *callerConn) over() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return
	}
	if left := c.limit() - time.Since(c.since); left > 0 {
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

package httpserver

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/membudget"
	"github.com/fescuehub/fescuehub/pkg/netconn"
)

const (
	// acceptGrace is how long StopAccepting still accepts connections.
	acceptGrace = 50 * time.Millisecond
	// newConnTimeout is how long a new connection counts as busy without having sent a byte.
	newConnTimeout = time.Second
)

// ConnLimits bound the connections of a Listener.
type ConnLimits struct {
	// HeaderTimeout is how long the head of a request may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may have no request.
	IdleTimeout time.Duration
}

// Listener accepts connections that are closed according to limits that may change while they are
// open. It also knows which connections are busy, so that a server can stop without cutting off a
// request: http.Server.Shutdown drops a request whose head it has just read.
//
// ConnState must be the hook of the http.Server that serves the listener.
type Listener struct {
	net.Listener
	limits func() ConnLimits
	// bounds are set before the first connection is accepted.
	bounds Bounds

	// stopped is closed once no more connections are accepted.
	stopped  chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
	// accepted counts the connections that were accepted.
	accepted int
}

// NewListener returns a listener whose connections are bound by the limits that limits returns.
func NewListener(l net.Listener, limits func() ConnLimits) *Listener {
	return &Listener{Listener: l, limits: limits, conns: make(map[*conn]struct{}), stopped: make(chan struct{})}
}

// Accept implements net.Listener. The error is net.ErrClosed once the listener has stopped.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The listener stops. The deadline has ended the wait, but connections may be queued.
			nc, err = netconn.AcceptQueued(l.Listener)
		}
		if err != nil {
			l.stopOnce.Do(func() { close(l.stopped) })
			return nil, err
		}
		if !l.makeRoom() {
			l.bounds.onRefused()
			_ = nc.Close() // nothing was read from it
			continue
		}
		c := &conn{Conn: nc, listener: l, phase: fresh, phaseStart: time.Now()}
		c.startTimer()
		l.add(c)
		return c, nil
	}
}

func (l *Listener) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.accepted++
}

// StopAccepting makes Accept return net.ErrClosed after acceptGrace, once the connections that the
// kernel has queued by then have been accepted. http.Server closes the listener then. The accepted
// connections stay open.
func (l *Listener) StopAccepting() {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || d.SetDeadline(time.Now().Add(acceptGrace)) != nil {
		_ = l.Listener.Close() // an error means that it is already closed
	}
}

// waitStopped waits until no more connections are accepted, or until twice acceptGrace if no server
// accepts them.
func (l *Listener) waitStopped() {
	select {
	case <-l.stopped:
	case <-time.After(2 * acceptGrace):
	}
}

// CloseIdle closes the connections that have no request, and reports how many others there are. A
// connection on which data has arrived is about to have a request, and is kept.
func (l *Listener) CloseIdle() (busy int) {
	for _, c := range l.snapshot() {
		if c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

func (l *Listener) snapshot() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// ConnState is a hook of http.Server, which calls it when it has read the head of a request and when
// it has sent the response.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(serving)
	case http.StateIdle:
		c.setPhase(idle)
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
		c.timer.Stop()
		c.releaseHead()
	}
}

// phase is the state of a connection.
type phase int

const (
	// A fresh connection has sent nothing yet, an idle one has no request after an earlier one, a
	// reading one has received part of the head of a request, and a serving one is bounded by the
	// deadline of its request.
	fresh phase = iota
	idle
	reading
	serving
)

// conn is a connection of a Listener. It is closed when it has had no request, or when the head of a
// request has been incomplete, for longer than the limit in force.
type conn struct {
	net.Conn
	listener *Listener

	mu         sync.Mutex
	phase      phase
	phaseStart time.Time
	timer      *time.Timer
	// closed is true once the listener has closed the connection. What arrives later is not read, so that no
	// request runs whose response cannot be sent.
	closed bool
	// head holds the bytes that the head of a request takes while it arrives; nil in the other phases.
	head *membudget.Claim
	// writingSince is when the write in progress began; not set if there is none.
	writingSince netconn.Instant
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if refused := c.received(p[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// received records that data has arrived. The error means that the connection is closed instead.
func (c *conn) received(data []byte) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	if c.phase == idle || c.phase == fresh {
		c.startPhase(reading)
		if memory := c.listener.bounds.Memory; memory != nil {
			c.head = memory.Receive(c.phaseStart, c.giveWay)
		}
	}
	head := c.head
	c.mu.Unlock()
	if head == nil || c.listener.bounds.claimHead(head, data) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close()
	return errHeadMemory
}

// giveWay closes the connection while the head of a request arrives.
func (c *conn) giveWay(reason membudget.Reason) {
	c.listener.bounds.onEvicted(reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == reading {
		c.close()
	}
}

// close closes the connection, on which no request is in flight. The caller holds c.mu.
func (c *conn) close() {
	c.closed = true
	c.timer.Stop()
	_ = c.Conn.Close()
}

// releaseHead returns the bytes of the head of a request, whose handler has begun or which is not read any more.
func (c *conn) releaseHead() {
	c.mu.Lock()
	head := c.head
	c.head = nil
	c.mu.Unlock()
	if head != nil {
		head.Release()
	}
}

// CloseWrite closes the sending side. http.Server does so before it closes a connection with
// unread bytes, so that a TCP reset does not discard the response.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// http.Server half-closes a connection only if it has a CloseWrite method.
var _ interface{ CloseWrite() error } = (*conn)(nil)

// closeIfIdle closes the connection if it has no request, and reports whether it is busy.
func (c *conn) closeIfIdle() (busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == reading, c.phase == serving:
		return true
	case c.phase == fresh && time.Since(c.phaseStart) < newConnTimeout, netconn.HasData(c.Conn):
		return true
	}
	c.close()
	return false
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	c.startPhase(p)
	c.mu.Unlock()
	c.releaseHead()
}

// startPhase starts a phase and its timer. The caller holds c.mu.
func (c *conn) startPhase(p phase) {
	c.phase, c.phaseStart = p, time.Now()
	c.timer.Stop()
	if p != serving {
		c.timer.Reset(c.phaseTimeout())
	}
}

// startTimer starts the timer of a new connection. The timer may fire before it is stored, so it waits for mu.
func (c *conn) startTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(c.phaseTimeout(), c.onTimeout)
}

// phaseTimeout returns how long the current phase may last.
func (c *conn) phaseTimeout() time.Duration {
	if c.phase == reading {
		return c.listener.limits().HeaderTimeout
	}
	return c.listener.limits().IdleTimeout
}

// onTimeout closes the connection, unless its phase or the limit has changed since the timer was set.
func (c *conn) onTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return
	}
	if remaining := c.phaseTimeout() - time.Since(c.phaseStart); remaining > 0 {
		c.timer.Reset(remaining)
		return
	}
	c.close()
}

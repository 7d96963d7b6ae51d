package httpserver

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/membudget"
	"github.com/fescuehub/fescuehub/pkg/netconn"
)

const (
	// writePiece is written at a time, and writeProgressTimeout is the time within which a peer must take it. It is
	// longer than the operators' idle time-out of 15 s.
	writePiece           = 16 << 10
	writeProgressTimeout = 20 * time.Second
	// minWriteStall is the time for which a peer must have taken no piece of a response before its connection may be
	// closed for another one. The operators' callers leave a stream that pauses for 2 s.
	minWriteStall = 2 * time.Second
	// fieldBytes is the memory of one header field while a request is served, besides its text: its entry, with the
	// slice of its values, in the header of the request and in two copies for a backend server. textCopies is the
	// number of copies of its text.
	fieldBytes = 640
	textCopies = 4
	// evictionWait is how long a request waits for the memory of one that gives way.
	evictionWait, evictionPoll = 100 * time.Millisecond, 5 * time.Millisecond
	// RequestHeadBytes is the largest head of a request on the wire, in bytes: with the shortest fields, of one letter
	// and four bytes for the separators, the operators' limit of 16,384 bytes of text is 81,920 bytes.
	RequestHeadBytes = 128 << 10
	// internalHeadBytes, internalHeaderTimeout, internalIdleTimeout and internalReadTimeout bound the requests to
	// ports without bodies.
	internalHeadBytes     = 32 << 10
	internalHeaderTimeout = 10 * time.Second
	internalIdleTimeout   = 60 * time.Second
	internalReadTimeout   = 15 * time.Second
)

var errHeadMemory = errors.New("no memory is left for the head of a request")

// Bounds are the shared resources that the connections of a Listener may use.
type Bounds struct {
	// MaxConns bounds the open connections, because each needs a descriptor; 0 means that there is no bound.
	MaxConns int
	// Memory holds the heads of requests while they arrive, and is nil without a bound.
	Memory *membudget.Budget
	// Scope counts what is refused and closed; nil if nothing is counted.
	Scope tally.Scope
}

// SetBounds bounds the connections that are accepted from now on. It must be called before Accept.
func (l *Listener) SetBounds(b Bounds) { l.bounds = b }

func (b Bounds) count(name string) {
	if b.Scope != nil {
		b.Scope.Counter(name).Inc(1)
	}
}

func (b Bounds) onRefused() { b.count("connections_refused_descriptors") }

func (b Bounds) onEvicted(reason membudget.Reason) {
	if reason == membudget.Descriptors {
		b.count("connections_evicted_descriptors")
		return
	}
	b.count("connections_evicted_memory")
}

// makeRoom reports whether another connection may be opened. At MaxConns it closes the connection without a request
// that has waited for the longest time, or one whose request has stalled while it arrives.
func (l *Listener) makeRoom() bool {
	l.mu.Lock()
	full := l.bounds.MaxConns > 0 && len(l.conns) >= l.bounds.MaxConns
	l.mu.Unlock()
	if !full {
		return true
	}
	if l.evictWaiting() {
		l.bounds.onEvicted(membudget.Descriptors)
		return true
	}
	return l.bounds.Memory != nil && l.bounds.Memory.EvictStalled(time.Now(), membudget.Descriptors)
}

// evictWaiting closes a connection without a request: of those that have sent no head, or a part of one, for
// membudget.MinStall the oldest, if there is none the one that has been idle for the longest time, and at last one
// whose peer does not read its response.
func (l *Listener) evictWaiting() bool {
	for range 3 { // the connection that was chosen may have got a request meanwhile
		var victim *conn
		var rank int
		var since time.Time
		for _, c := range l.snapshot() {
			r, at := c.waiting()
			if r > rank || r == rank && r > 0 && at.Before(since) {
				victim, rank, since = c, r, at
			}
		}
		if victim == nil {
			return false
		}
		if victim.evict() {
			l.remove(victim)
			return true
		}
	}
	return false
}

// waiting returns how readily the connection is closed for another one, 0 if it is not, and since when it waits.
func (c *conn) waiting() (rank int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, time.Time{}
	case c.phase == serving:
		if blocked := c.writeBlockedSince(); !blocked.IsZero() {
			return 1, blocked
		}
		return 0, time.Time{}
	case c.phase != idle && time.Since(c.phaseStart) >= membudget.MinStall:
		return 4, c.phaseStart
	case c.phase == idle:
		return 3, c.phaseStart
	}
	return 2, c.phaseStart
}

// writeBlockedSince returns since when the peer has taken nothing of a response, if that is for at least
// minWriteStall, and the zero time otherwise.
func (c *conn) writeBlockedSince() time.Time {
	since := c.writingSince.Get()
	if since.IsZero() || time.Since(since) < minWriteStall {
		return time.Time{}
	}
	return since
}

// evict closes the connection unless it has got a request meanwhile, or its peer reads again.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return false
	case c.phase == serving:
		if c.writeBlockedSince().IsZero() {
			return false
		}
	case c.phase != reading && netconn.HasData(c.Conn):
		return false
	}
	c.close()
	return true
}

// claimHead claims the memory of a part of a head.
func (b Bounds) claimHead(head *membudget.Claim, data []byte) bool {
	now := time.Now()
	head.Received(now, len(data))
	return Claim(b.Memory, head, headCost(bytes.Count(data, []byte("\n")), len(data)))
}

func headCost(fields, text int) int64 { return int64(fields)*fieldBytes + int64(text)*textCopies }

// HeaderCost returns the bytes that the header of a request takes while the request is served.
func HeaderCost(h http.Header) int64 {
	fields, text := 0, 0
	for name, values := range h {
		fields += len(values)
		for _, value := range values {
			text += len(name) + len(value)
		}
	}
	return headCost(fields, text)
}

// Claim grows a claim by n bytes. If there is no room, it makes a stalled claim give way and waits shortly for its
// bytes.
func Claim(memory *membudget.Budget, c *membudget.Claim, n int64) bool {
	for deadline := time.Now().Add(evictionWait); ; time.Sleep(evictionPoll) {
		if c.Grow(n) {
			return true
		}
		if now := time.Now(); now.After(deadline) || !memory.EvictStalled(now, membudget.Memory) {
			return false
		}
	}
}

// Write implements net.Conn. A peer that takes no piece of the data within writeProgressTimeout loses the connection.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+writePiece, len(p))]
		now := time.Now()
		if err := c.Conn.SetWriteDeadline(now.Add(writeProgressTimeout)); err != nil {
			return written, err
		}
		c.writingSince.Set(now)
		n, err := c.Conn.Write(piece)
		c.writingSince.Clear()
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.listener.bounds.count("connections_closed_no_progress")
		}
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

type connKey struct{}

// WithConn is a hook of http.Server (ConnContext): it adds the connection to the contexts of its requests.
func WithConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// CloseConn closes the connection of a request at once, if the server has the hook WithConn.
func CloseConn(ctx context.Context) {
	if nc, ok := ctx.Value(connKey{}).(net.Conn); ok {
		_ = nc.Close() // it may be closed already
	}
}

// Closed reports whether the listener closed the connection of a request before its handler began.
func Closed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// NewInternal returns a server, and the listener that it must serve, for a port whose requests have no bodies: a
// connection whose request announces one is closed after the response.
func NewInternal(listener net.Listener, b Bounds, handler http.Handler) (*http.Server, *Listener) {
	limits := ConnLimits{HeaderTimeout: internalHeaderTimeout, IdleTimeout: internalIdleTimeout}
	l := NewListener(listener, func() ConnLimits { return limits })
	l.SetBounds(b)
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Body != http.NoBody {
				w.Header().Set("Connection", "close")
				// http.Server waits for a part of the body otherwise. The error is ignored: connections support a deadline.
				_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			}
			handler.ServeHTTP(w, r)
		}),
		ReadTimeout: internalReadTimeout, IdleTimeout: internalIdleTimeout, MaxHeaderBytes: internalHeadBytes, ConnState: l.ConnState,
	}, l
}

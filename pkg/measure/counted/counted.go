// Package counted counts the bytes of connections, both ways, for measurements.
package counted

import (
	"net"
	"sync/atomic"
)

// Listener counts the bytes of all connections that it accepts.
type Listener struct {
	net.Listener
	bytes *atomic.Int64
}

// New returns a listener that counts into bytes.
func New(l net.Listener, bytes *atomic.Int64) *Listener {
	return &Listener{Listener: l, bytes: bytes}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, bytes: l.bytes}, nil
}

type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	// Counted before the other side can have them.
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Package counted provides a listener that counts the bytes of its connections in both directions.
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

// New returns a listener that adds the bytes of its connections to bytes.
func New(l net.Listener, bytes *atomic.Int64) *Listener {
	return &Listener{Listener: l, bytes: bytes}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	// The bytes are counted before the peer can read them.
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

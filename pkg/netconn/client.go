package netconn

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// clientConn is a connection on which requests are sent and responses are read, also at the same time. The kernel
// reports the failure of a connection once: if a write gets the error, reads return io.EOF, as they do after the peer
// has closed its side in order. Read of a clientConn returns the error in both cases.
type clientConn struct {
	net.Conn

	mu sync.Mutex
	// writing is the number of writes in progress.
	writing int
	// writeErr is the first error of a write.
	writeErr error
}

// NewClient returns a connection that shares the errors of writes with reads. A read that returns io.EOF means that
// the peer has closed its side of the connection in order, and that no write has failed.
func NewClient(nc net.Conn) net.Conn {
	if _, ok := nc.(*clientConn); ok {
		return nc
	}
	return &clientConn{Conn: nc}
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.mu.Unlock()
	return n, err
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failure := c.failure(); failure != nil {
			err = errors.Wrap(failure, "the connection failed while data was written to it")
		}
	}
	return n, err
}

// failure returns the error that a write has got, or that the write in progress will get; nil if there is none.
func (c *clientConn) failure() error {
	c.mu.Lock()
	err, writing := c.writeErr, c.writing > 0
	c.mu.Unlock()
	if err == nil && writing && Failed(c.Conn) {
		return syscall.ECONNRESET
	}
	return err
}

// Failed reports whether a TCP connection has been reset, has timed out or is closed on this side. After the peer has
// closed its side in order, the connection is still open for writes and has not failed.
func Failed(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	failed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		failed = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || failed
}

// SyscallConn implements syscall.Conn.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("a connection of type %T has no descriptor", c.Conn)
	}
	return sc.SyscallConn()
}

// SetLinger sets what Close does with data that has not been delivered, as net.TCPConn does.
func (c *clientConn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(int) error })
	if !ok {
		return errors.Newf("a connection of type %T has no linger option", c.Conn)
	}
	return l.SetLinger(seconds)
}

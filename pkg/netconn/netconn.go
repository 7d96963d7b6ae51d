// Package netconn opens TCP connections that detect an unresponsive peer within a few seconds.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout limits the time to open a connection. The kernel resends a lost SYN packet only
	// after a second; trying another server is faster.
	DialTimeout = 700 * time.Millisecond
	// userTimeout limits how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
)

// keepAlive detects an unresponsive peer within three seconds on an idle connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// If the kernel does not support the option, the keep-alive probes still detect an
		// unresponsive peer.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Dial opens a connection within DialTimeout, as NewClient returns it. The connection detects an unresponsive peer.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return NewClient(nc), nil
}

// Listen opens a listener whose connections detect an unresponsive peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return c.Listen(ctx, "tcp", address)
}

// Usable reports whether an idle connection is still open and has no data to read. The peer has no
// reason to send data on an idle connection, so a connection with data must not be reused.
func Usable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), buf[:])
		usable = err == syscall.EAGAIN
		return true
	})
	return err == nil && usable
}

// Abort closes a connection with a TCP reset. It discards data that has not been delivered yet, so
// that an abandoned request does not reach its server later.
func Abort(nc net.Conn) {
	if l, ok := nc.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0) // an already closed connection needs no reset
	}
	_ = nc.Close()
}

// HasData reports whether data has arrived on a connection and was not read yet.
func HasData(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	hasData := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		hasData = err == nil && n > 0
	})
	return err == nil && hasData
}

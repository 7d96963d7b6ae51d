// Package netconn opens TCP connections that notice a peer that has fallen
// silent.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the opening of a connection. A lost opening packet is
	// sent again after a second; another server is faster.
	DialTimeout = 700 * time.Millisecond
	// userTimeout bounds how long sent bytes stay unacknowledged.
	userTimeout = 2 * time.Second
)

// keepAlive finds a silent peer within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// A kernel without the option still has the keep-alive probes.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Dial opens a connection within DialTimeout.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: control}
	return d.DialContext(ctx, "tcp", address)
}

// Listen opens a listener whose connections notice a silent peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
	return c.Listen(ctx, "tcp", address)
}

// Usable reports whether an idle connection is open and has nothing to read:
// a peer has no reason to send anything on it.
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
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		usable = err == syscall.EAGAIN
		return true
	})
	return err == nil && usable
}

// Abort resets a connection: what was sent and has not arrived is dropped, so
// that a request that was given up does not reach its server later.
func Abort(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // a connection that is closed already needs none
	}
	_ = nc.Close()
}

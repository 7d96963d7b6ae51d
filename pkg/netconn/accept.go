package netconn

import (
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// AcceptQueued accepts a connection that the kernel has queued at a listener, without waiting for
// one. The error is net.ErrClosed if there is none. Connections that are queued when a listener is
// closed are reset.
func AcceptQueued(l net.Listener) (net.Conn, error) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, net.ErrClosed
	}
	accepted := -1
	err = raw.Control(func(fd uintptr) {
		if n, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err == nil {
			accepted = n
		}
	})
	if err != nil || accepted < 0 {
		return nil, net.ErrClosed
	}
	file := os.NewFile(uintptr(accepted), "accepted connection")
	defer file.Close() // FileConn duplicates the descriptor
	c, err := net.FileConn(file)
	return c, errors.Wrap(err, "open an accepted connection")
}

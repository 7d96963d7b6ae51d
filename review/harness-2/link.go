//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the network in front of one replica: it passes on bytes and closes until its machine is gone. After that no
// packet that opens a connection is answered.
type link struct {
	listener *net.TCPListener
	to       string
	address  string

	mu     sync.Mutex
	queued []net.Conn
}

func newLink(host, to string) (*link, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l.(*net.TCPListener), to: to, address: l.Addr().String()}
	go k.run()
	return k, nil
}

func (k *link) run() {
	for {
		from, err := k.listener.Accept()
		if err != nil {
			return // the machine is gone
		}
		to, err := net.Dial("tcp", k.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		go pass(from, to)
		go pass(to, from)
	}
}

// pass copies what arrives on one connection, and its end, to the other one.
func pass(from, to net.Conn) {
	_, _ = io.Copy(to, from) // an error ends the connection as well
	if tc, ok := to.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
}

// cut makes the kernel drop the packets that open connections: nothing is accepted any more, and the queue of new
// connections is full. What is open stays open.
func (k *link) cut() error {
	if err := k.listener.SetDeadline(time.Now()); err != nil {
		return err
	}
	raw, err := k.listener.SyscallConn()
	if err != nil {
		return err
	}
	var shorten error
	if err := raw.Control(func(fd uintptr) { shorten = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	if shorten != nil {
		return shorten
	}
	for range 8 {
		nc, err := net.DialTimeout("tcp", k.address, 100*time.Millisecond)
		if err != nil {
			return nil // the queue is full
		}
		k.mu.Lock()
		k.queued = append(k.queued, nc)
		k.mu.Unlock()
	}
	return syscall.EAGAIN
}

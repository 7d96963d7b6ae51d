package netconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/netconn"
)

// dialPeer returns a client's connection and the side of its peer.
func dialPeer(t *testing.T) (client net.Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err = netconn.Dial(context.Background(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return client, accepted.(*net.TCPConn)
}

// writeBehind writes more than the buffers of a connection hold, and returns a channel for the error.
func writeBehind(c net.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 16<<20))
		written <- err
	}()
	return written
}

// TestReadReportsFailureOfWrite guards against a connection that ends in order for its reader although it failed: the
// write that is in progress gets the only report of the failure.
func TestReadReportsFailureOfWrite(t *testing.T) {
	for name, c := range map[string]struct {
		fail func(peer *net.TCPConn)
		want error
		runs int
	}{
		"reset":                    {func(peer *net.TCPConn) { _ = peer.SetLinger(0); _ = peer.Close() }, syscall.ECONNRESET, 50},
		"closed with bytes unread": {func(peer *net.TCPConn) { _ = peer.Close() }, syscall.ECONNRESET, 50},
		"peer does not read":       {func(*net.TCPConn) {}, syscall.ETIMEDOUT, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range c.runs {
				client, peer := dialPeer(t)
				written := writeBehind(client)
				if _, err := io.WriteString(peer, "part"); err != nil {
					t.Fatal(err)
				}
				for !netconn.HasData(peer) {
					time.Sleep(time.Millisecond)
				}
				c.fail(peer)
				data, err := io.ReadAll(client)
				if err == nil || string(data) != "part" {
					t.Errorf("read %q and %v, want %q and an error", data, err, "part")
				}
				if err := errors.Join(err, <-written); !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
			}
		})
	}
}

// TestReadEndsInOrderDuringWrite guards against answers that count as broken, or are held back, because their peer has
// ended its side in order and not read what is still being written to it.
func TestReadEndsInOrderDuringWrite(t *testing.T) {
	for range 50 {
		client, peer := dialPeer(t)
		written := writeBehind(client)
		if _, err := io.WriteString(peer, "whole"); err != nil {
			t.Fatal(err)
		}
		if err := peer.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if data, err := io.ReadAll(client); err != nil || string(data) != "whole" {
			t.Errorf("read %q and %v, want %q without an error", data, err, "whole")
		}
		select {
		case err := <-written:
			t.Errorf("the write ended with %v; its peer has not read it", err)
		default:
		}
		if _, err := io.CopyN(io.Discard, peer, 16<<20); err != nil {
			t.Errorf("the peer read %v", err)
		}
		if err := <-written; err != nil {
			t.Errorf("the write ended with %v", err)
		}
	}
}

// TestAbortedConnectionIsReset guards against connections of clients that Abort closes without a reset.
func TestAbortedConnectionIsReset(t *testing.T) {
	client, peer := dialPeer(t)
	if !netconn.Usable(client) {
		t.Error("an idle connection is not usable")
	}
	netconn.Abort(client)
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer read %v, want a connection reset", err)
	}
}

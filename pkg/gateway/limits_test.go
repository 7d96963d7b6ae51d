package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// limitedServer serves requests under limits that a test may change.
func limitedServer(t *testing.T, l fleet.Limits) (string, *atomic.Pointer[fleet.Limits]) {
	t.Helper()
	var limits atomic.Pointer[fleet.Limits]
	limits.Store(&l)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{ConnState: trackConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond) // longer than the limit of a head
		fmt.Fprint(w, "whole")
	})}
	go func() { _ = s.Serve(callerListener{listener, func() fleet.Limits { return *limits.Load() }}) }()
	t.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String(), &limits
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// closedWithin reports whether the peer closes a connection within a time.
func closedWithin(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestCallersAreBoundByTheConfiguration: a head that does not come ends its connection;
// a request that takes longer than a head may does not; an idle connection is kept for
// the limit in force, also one that was raised meanwhile.
func TestCallersAreBoundByTheConfiguration(t *testing.T) {
	address, limits := limitedServer(t, fleet.Limits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
	slow := dial(t, address)
	fmt.Fprint(slow, "GET / HTTP/1.1\r\nHos")
	if !closedWithin(t, slow, time.Second) {
		t.Error("a head that does not come keeps its connection")
	}
	served := dial(t, address)
	fmt.Fprint(served, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(served), nil)
	if err != nil {
		t.Fatal("a request that takes long is cut: ", err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != "whole" {
		t.Fatal(string(body), err)
	}
	idleConn := dial(t, address)
	limits.Store(&fleet.Limits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 1500 * time.Millisecond})
	if closedWithin(t, idleConn, idleTimeoutMargin+500*time.Millisecond) {
		t.Error("an idle connection is closed before the limit that was raised meanwhile")
	}
	if !closedWithin(t, idleConn, 2*time.Second) {
		t.Error("an idle connection is kept beyond its limit")
	}
}

// http.Server half-closes a connection only where it can.
var _ interface{ CloseWrite() error } = (*callerConn)(nil)

// TestAnswerBeforeTheBodyArrives: an answer to a request whose body was not read must
// not be lost by a reset.
func TestAnswerBeforeTheBodyArrives(t *testing.T) {
	address, _ := limitedServer(t, fleet.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second})
	for n := range 5 {
		c := dial(t, address)
		body := make([]byte, 4<<20)
		go func() {
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(body))
			_, _ = c.Write(body) // the server stops reading
		}()
		time.Sleep(500 * time.Millisecond) // the answer is out and the connection is closed
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("try %d: %v", n, err)
		}
		if text, err := io.ReadAll(res.Body); err != nil || string(text) != "whole" {
			t.Fatalf("try %d: %q %v", n, text, err)
		}
	}
}

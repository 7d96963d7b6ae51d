package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// limitedServer serves requests under limits that the test can change.
func limitedServer(t *testing.T, l ConnLimits) (string, *atomic.Pointer[ConnLimits]) {
	t.Helper()
	var limits atomic.Pointer[ConnLimits]
	limits.Store(&l)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := NewListener(listener, func() ConnLimits { return *limits.Load() })
	s := &http.Server{ConnState: conns.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond) // longer than the header timeout
		fmt.Fprint(w, "whole")
	})}
	go func() { _ = s.Serve(conns) }()
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

// closedWithin reports whether the peer closes the connection within the given time.
func closedWithin(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestCallerConnectionLimitsFollowConfiguration: a connection with an incomplete request head is
// closed after the header timeout; a request that runs longer than the header timeout is not
// aborted; an idle connection is kept for the limit in force, also after it was raised.
func TestCallerConnectionLimitsFollowConfiguration(t *testing.T) {
	address, limits := limitedServer(t, ConnLimits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
	slow := dial(t, address)
	fmt.Fprint(slow, "GET / HTTP/1.1\r\nHos")
	if !closedWithin(t, slow, time.Second) {
		t.Error("a connection with an incomplete request head stays open beyond the header timeout")
	}
	served := dial(t, address)
	fmt.Fprint(served, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(served), nil)
	if err != nil {
		t.Fatal("a request that runs longer than the header timeout is aborted: ", err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != "whole" {
		t.Fatal(string(body), err)
	}
	idleConn := dial(t, address)
	limits.Store(&ConnLimits{HeaderTimeout: 150 * time.Millisecond, IdleTimeout: 1500 * time.Millisecond})
	if closedWithin(t, idleConn, 1200*time.Millisecond) {
		t.Error("an idle connection is closed before its raised limit")
	}
	if !closedWithin(t, idleConn, 2*time.Second) {
		t.Error("an idle connection is kept beyond its limit")
	}
}

// TestResponseSurvivesUnreadBody guards against a TCP reset that discards the response to a request
// whose body was not read. It happens when the server closes the connection while unread bytes
// arrive.
func TestResponseSurvivesUnreadBody(t *testing.T) {
	address, _ := limitedServer(t, ConnLimits{HeaderTimeout: time.Second, IdleTimeout: time.Second})
	for n := range 5 {
		c := dial(t, address)
		body := make([]byte, 4<<20)
		go func() {
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(body))
			_, _ = c.Write(body) // the server stops reading
		}()
		time.Sleep(500 * time.Millisecond) // the response has been sent and the connection closed
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("attempt %d: %v", n, err)
		}
		if text, err := io.ReadAll(res.Body); err != nil || string(text) != "whole" {
			t.Fatalf("attempt %d: %q %v", n, text, err)
		}
	}
}

// TestShutdownCutsNoAcceptedRequest guards against requests that are cut off without an answer at a
// shutdown, because they were accepted or read just before it. http.Server.Shutdown does so. Each
// connection carries one request, so there must be as many answers as accepted connections.
func TestShutdownCutsNoAcceptedRequest(t *testing.T) {
	for round := range 5 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := New(listener, tally.NoopScope, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") }))
		ended := make(chan error, 1)
		go func() { ended <- server.Run() }()
		var answered atomic.Int64
		var callers sync.WaitGroup
		for range 16 {
			callers.Go(func() {
				for {
					c, err := net.Dial("tcp", listener.Addr().String())
					if err != nil {
						return // the server no longer listens
					}
					fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					if _, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
						answered.Add(1)
					}
					_ = c.Close()
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		callers.Wait()
		if n := int(answered.Load()); n != server.conns.accepted || n == 0 {
			t.Errorf("round %d: %d answers on %d accepted connections, want one on each", round, n, server.conns.accepted)
		}
	}
}

// TestTimerThatFiresAtOnce guards against a connection's timer that fires before Accept has stored it, which the race
// detector reports and which would end the process.
func TestTimerThatFiresAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	// The timer is set to fire at once, and finds a limit that has been raised.
	var limit atomic.Int64
	conns := NewListener(listener, func() ConnLimits {
		return ConnLimits{HeaderTimeout: time.Hour, IdleTimeout: time.Duration(limit.Swap(int64(time.Hour)))}
	})
	for range 500 {
		limit.Store(0)
		dial(t, listener.Addr().String())
		c, err := conns.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conns.ConnState(c, http.StateClosed)
	}
}

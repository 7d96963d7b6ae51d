package backendconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/backendconn"
)

// TestCancelledRequestIsReset: a server that is stalled while the request is cancelled must read a
// reset, not the end of a request that it would still answer.
func TestCancelledRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		time.Sleep(150 * time.Millisecond)
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = backendconn.NewPools().Start(ctx, "s", l.Addr().String(), &backendconn.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	var e *backendconn.Error
	if !errors.As(err, &e) || e.NotSent {
		t.Fatalf("got %v, want an error of a request that may have reached the server", err)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server read %v, want a connection reset", err)
	}
}

// TestCloseDoesNotWaitForBody guards against a request that is held beyond its deadline because the clean-up of a response
// that nobody reads waits for the rest of its body.
func TestCloseDoesNotWaitForBody(t *testing.T) {
	const limit = 200 * time.Millisecond
	for name, c := range map[string]struct {
		response string
		reused   bool
	}{
		"length":             {"HTTP/1.1 503 X\r\nContent-Length: 5\r\n\r\n", false},
		"part of the length": {"HTTP/1.1 503 X\r\nContent-Length: 5\r\n\r\nab", false},
		"chunks":             {"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"no length":          {"HTTP/1.1 200 X\r\n\r\n", false},
		"empty":              {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true},
		"empty chunks":       {"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, c.response)
				_, _ = io.Copy(io.Discard, conn) // ends when the client closes the connection
			}()
			pools := backendconn.NewPools()
			response, err := pools.Start(context.Background(), "s", l.Addr().String(), &backendconn.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			response.Close()
			if took := time.Since(began); took > limit {
				t.Errorf("Close returned after %v, want at most %v", took, limit)
			}
			select {
			case <-closed:
				if c.reused {
					t.Error("the connection of a complete response was closed")
				}
			case <-time.After(limit):
				if !c.reused {
					t.Error("the connection of an incomplete response is still open")
				}
				pools.CloseServer("s")
			}
		})
	}
}

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

package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestCloseIdleRunsNoUnansweredRequest guards against requests that a server reads and runs although it has just
// closed their idle connection: callers send on kept connections in the moment in which a stop closes them. Each
// request that ran must be answered.
func TestCloseIdleRunsNoUnansweredRequest(t *testing.T) {
	const rounds, callers = 100, 50
	var ran, answered atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := NewListener(listener, func() ConnLimits { return ConnLimits{time.Minute, time.Minute} })
	s := &http.Server{ConnState: conns.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		fmt.Fprint(w, "whole")
	})}
	go func() { _ = s.Serve(conns) }() // returns when the test closes the server
	defer s.Close()
	exchange := func(c net.Conn, reader *bufio.Reader) {
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if text, err := io.ReadAll(res.Body); err == nil && string(text) == "whole" {
			answered.Add(1)
		}
	}
	for range rounds {
		var opened, done sync.WaitGroup
		start := make(chan struct{})
		opened.Add(callers)
		for range callers {
			done.Go(func() {
				c, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Error(err)
					opened.Done()
					return
				}
				defer c.Close()
				reader := bufio.NewReader(c)
				exchange(c, reader)
				opened.Done()
				<-start
				exchange(c, reader)
			})
		}
		opened.Wait()
		close(start)
		conns.CloseIdle()
		done.Wait()
	}
	if ran.Load() != answered.Load() {
		t.Errorf("%d requests ran, %d were answered", ran.Load(), answered.Load())
	}
}

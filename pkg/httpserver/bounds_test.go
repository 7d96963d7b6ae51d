package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/membudget"
)

// boundedServer serves requests under bounds: at /long a response of 8 MB, elsewhere a short one.
func boundedServer(t *testing.T, b Bounds) (string, *Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := NewListener(listener, func() ConnLimits { return ConnLimits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute} })
	conns.SetBounds(b)
	s := &http.Server{ConnState: conns.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			_, _ = w.Write(make([]byte, 8<<20)) // a caller that is closed gets no response
			return
		}
		fmt.Fprint(w, "whole")
	})}
	go func() { _ = s.Serve(conns) }() // returns when the test closes the server
	t.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String(), conns
}

func answered(c net.Conn) bool {
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

// TestFullListenerClosesStalledConnection guards against connections without requests that keep ordinary callers
// out: at the bound a stalled connection is closed before one that is kept after its request.
func TestFullListenerClosesStalledConnection(t *testing.T) {
	address, _ := boundedServer(t, Bounds{MaxConns: 3})
	kept := dial(t, address)
	if !answered(kept) {
		t.Fatal("a caller below the bound is not answered")
	}
	stalled := dial(t, address)
	fmt.Fprint(stalled, "GET / HTTP/1.1\r\nHos")
	silent := dial(t, address)
	time.Sleep(membudget.MinStall + 100*time.Millisecond)
	for range 2 {
		if !answered(dial(t, address)) {
			t.Fatal("a new caller is not answered")
		}
	}
	if !closedWithin(t, stalled, time.Second) || !closedWithin(t, silent, time.Second) {
		t.Error("a stalled connection stays open")
	}
	if !answered(kept) {
		t.Error("an idle connection is closed while others stall")
	}
}

// TestFullListenerClosesUnreadResponse guards against callers that do not read their responses and keep others out
// for writeProgressTimeout.
func TestFullListenerClosesUnreadResponse(t *testing.T) {
	address, _ := boundedServer(t, Bounds{MaxConns: 1})
	unread := dial(t, address)
	fmt.Fprint(unread, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(200 * time.Millisecond)
	if answered(dial(t, address)) {
		t.Error("a response is cut off whose caller has not read for less than minWriteStall")
	}
	time.Sleep(minWriteStall)
	if !answered(dial(t, address)) {
		t.Error("a caller that does not read keeps another one out")
	}
}

// TestHeadsStayWithinMemory guards against heads of many short fields that take a hundred times their size before the
// limits of a configuration are applied: 16 heads of 8,000 fields at a budget for one of them.
func TestHeadsStayWithinMemory(t *testing.T) {
	memory := membudget.New(headCost(9000, 60_000))
	address, _ := boundedServer(t, Bounds{Memory: memory})
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("ab:\r\n", 8000)
	var group sync.WaitGroup
	for range 16 {
		c := dial(t, address)
		group.Go(func() { _, _ = io.WriteString(c, head) }) // the connection may be closed
	}
	group.Wait()
	if !answered(dial(t, address)) {
		t.Error("an ordinary caller is not answered")
	}
	for deadline := time.Now().Add(3 * time.Second); memory.Used() > headCost(8100, 60_000); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held", memory.Used())
		}
	}
}

// TestClosedConnectionReadsNothing guards against a request that arrives while its idle connection is being closed,
// and would run although its response cannot be sent.
func TestClosedConnectionReadsNothing(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	c := &conn{Conn: here, listener: NewListener(nil, func() ConnLimits { return ConnLimits{time.Minute, time.Minute} }), phase: idle, phaseStart: time.Now()}
	c.startTimer()
	c.closed = true // the listener has decided to close it
	go func() { _, _ = there.Write([]byte("GET")) }()
	if n, err := c.Read(make([]byte, 16)); n > 0 || err == nil {
		t.Errorf("%d bytes were read, error %v", n, err)
	}
}

// BenchmarkEvictWaiting measures the choice of the connection that is closed for a new one, while all are served.
func BenchmarkEvictWaiting(b *testing.B) {
	for _, count := range []int{10, 100, 300, 1200} {
		b.Run(fmt.Sprintf("conns=%d", count), func(b *testing.B) {
			l := NewListener(nil, func() ConnLimits { return ConnLimits{} })
			for range count {
				l.conns[&conn{listener: l, phase: serving}] = struct{}{}
			}
			b.ReportAllocs()
			for b.Loop() {
				l.evictWaiting()
			}
		})
	}
}

package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// crash ends a backend: it closes the listener and the connection.
func (b *backend) crash(c *net.TCPConn, _ *http.Request, _ int) bool {
	_ = b.listener.Close()
	return false
}

// failFirst returns two backends. The one that gets the first request responds to it with the reply that
// first returns for it, all other requests get the reply then.
func failFirst(t *testing.T, first func(own *backend) reply, then reply) (a, b *backend) {
	t.Helper()
	var once sync.Once
	respond := func(own **backend) reply {
		return func(conn *net.TCPConn, r *http.Request, n int) bool {
			answer := then
			once.Do(func() { answer = first(*own) })
			return answer(conn, r, n)
		}
	}
	a = newBackend(t, respond(&a))
	b = newBackend(t, respond(&b))
	return a, b
}

// end returns how a backend ends a response: it closes the connection, and ends itself unless it survives.
func (b *backend) end(survives bool) reply {
	if survives {
		return closeConn
	}
	return b.crash
}

// TestEndOfServerUnderRequestIsReported guards against requests that end one server after the other
// without a trace of what they have in common: each end must be reported, with the parts of the prompt if the
// server had not answered three events. Nothing must be reported if the server still runs.
func TestEndOfServerUnderRequestIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		text          string
		survives      bool
		wantReport    bool
		wantParts     int
		responseBegun bool
	}{
		"ended without a response":     {"", false, true, 2, false},
		"ended after the headers":      {streamHead("Transfer-Encoding: chunked\r\n"), false, true, 2, true},
		"ended within the first event": {streamHead("") + "id: 1\nda", false, true, 2, true},
		"ended after two events":       {streamHead("Transfer-Encoding: chunked\r\n") + chunk(event(1)+event(2)), false, true, 2, true},
		"ended after three events":     {streamHead("Transfer-Encoding: chunked\r\n") + chunk(event(1)+event(2)+event(3)), false, true, 0, true},
		"closed the connection only":   {"", true, false, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var b *backend
			b = newBackend(t, func(conn *net.TCPConn, r *http.Request, n int) bool {
				return writeRaw(c.text, b.end(c.survives))(conn, r, n)
			})
			s := newTestRelay(t, route(fleet.Streaming), fleet.Service{}, 94, b.server("a"))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, _, _, _ = s.send(ctx, "1", "aa", "bb") // the outcome is not what is checked
			s.mu.Lock()
			defer s.mu.Unlock()
			if got := len(s.ended) == 1; got != c.wantReport {
				t.Fatalf("%d reports of an ended server, want one: %v", len(s.ended), c.wantReport)
			}
			if c.wantReport && (len(s.ended[0].SharedParts) != c.wantParts || s.ended[0].Fingerprint == "" || s.ended[0].RequestID != "1" || s.ended[0].ResponseBegun != c.responseBegun) {
				t.Errorf("reported %+v, want request 1 with its fingerprint, %d shared parts and ResponseBegun %v", s.ended[0], c.wantParts, c.responseBegun)
			}
		})
	}
}

// chunk encodes text as one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestEndOfSlowServerIsReported guards against the end of an engine that is overlooked because its group was
// slow before: after an outage all engines read the prompts of many requests at once, and nothing is
// answered for longer than the time after which a group counts as stalled.
func TestEndOfSlowServerIsReported(t *testing.T) {
	var b *backend
	b = newBackend(t, func(conn *net.TCPConn, r *http.Request, n int) bool {
		time.Sleep(800 * time.Millisecond)
		return b.crash(conn, r, n)
	})
	server := b.server("a")
	server.Group = "g"
	s := newTestRelay(t, route(fleet.Streaming), fleet.Service{Engine: &fleet.Engine{Slots: 12}}, 94, server)
	var group sync.WaitGroup
	for n := range 3 {
		group.Go(func() {
			_, _, _, _ = s.send(context.Background(), strconv.Itoa(n), "aa", "bb") // the outcome is not what is checked
		})
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ended) == 0 {
		t.Error("no report of the server that ended under three requests")
	}
}

// TestResponseWithoutFramingEndsWithItsServer guards against a response that has neither a length nor chunks
// and that passes for whole when its server ends: where the server still runs the response is whole, where
// it has ended the rest is fetched from another server or the caller sees that the response is broken off.
func TestResponseWithoutFramingEndsWithItsServer(t *testing.T) {
	events := event(1) + event(2) + event(3)
	for name, c := range map[string]struct {
		kind      fleet.Kind
		resumable bool
		head      string
		body      string
		survives  bool
		// want is the whole response; empty if the caller has to see an error.
		want      string
		wantSends int
	}{
		"stream, server runs":                    {fleet.Streaming, false, streamHead(""), events, true, events, 1},
		"stream of HTTP/1.0, server runs":        {fleet.Streaming, false, "HTTP/1.0 200 X\r\nId: ID\r\nSeal: first\r\n\r\n", events, true, events, 1},
		"stream, server ended":                   {fleet.Streaming, false, streamHead(""), event(1) + event(2), false, "", 1},
		"resumable stream, server ended":         {fleet.Streaming, true, streamHead(""), event(1) + event(2), false, events, 2},
		"stream ends inside an event":            {fleet.Streaming, false, streamHead(""), event(1) + "id: 2\nda", true, "", 1},
		"resumable stream ends inside an event":  {fleet.Streaming, true, streamHead(""), event(1) + "id: 2\nda", true, events, 2},
		"stream without an event, server ended":  {fleet.Streaming, true, streamHead(""), "", false, events, 2},
		"stream without an event, server runs":   {fleet.Streaming, true, streamHead(""), "", true, events, 2},
		"plain response, server runs":            {fleet.Safe, false, streamHead(""), "whole", true, "whole", 1},
		"plain response, server ended":           {fleet.Safe, false, streamHead(""), "who", false, "whole", 2},
		"unrepeatable response, server ended":    {fleet.Unsafe, false, streamHead(""), "who", false, "", 1},
		"long plain response, server ended":      {fleet.Safe, false, streamHead(""), strings.Repeat("x", 300<<10), false, "", 1},
		"long plain response, server still runs": {fleet.Safe, false, streamHead(""), strings.Repeat("x", 300<<10), true, strings.Repeat("x", 300<<10), 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := func(own *backend) reply { return writeRaw(c.head+c.body, own.end(c.survives)) }
			a, b := failFirst(t, first, func(conn *net.TCPConn, r *http.Request, n int) bool {
				rest := "whole"
				if c.kind == fleet.Streaming {
					last, _ := strconv.Atoi(r.Header.Get("Last")) // 0 if the stream is not resumed
					rest = strings.Join([]string{event(1), event(2), event(3)}[last:], "")
				}
				return respondWith(200, "Seal: second\r\n", rest)(conn, r, n)
			})
			r := route(c.kind)
			r.Resumable = c.resumable
			s := newTestRelay(t, r, fleet.Service{}, 94, a.server("a"), b.server("b"))
			status, body, _, err := s.send(context.Background(), "1")
			if c.want == "" && err == nil && status == 200 {
				t.Errorf("got status 200 and %d bytes without an error; the response is not whole", len(body))
			}
			if c.want != "" && (err != nil || status != 200 || body != c.want) {
				t.Errorf("got status %d, %d bytes, error %v; want the whole response of %d bytes", status, len(body), err, len(c.want))
			}
			sentA, _ := a.count()
			sentB, _ := b.count()
			if sentA+sentB != c.wantSends {
				t.Errorf("%d servers got the request, want %d", sentA+sentB, c.wantSends)
			}
		})
	}
}

// TestEndOfPlainServerIsReported guards against servers without prompts that end one after the other under one
// request without a trace: the end must be reported with a fingerprint that is the same when the request
// comes again, whether it may be repeated or not.
func TestEndOfPlainServerIsReported(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Unsafe} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			var a, b *backend
			a = newBackend(t, func(c *net.TCPConn, r *http.Request, n int) bool { return a.crash(c, r, n) })
			b = newBackend(t, func(c *net.TCPConn, r *http.Request, n int) bool { return b.crash(c, r, n) })
			s := newTestRelay(t, route(kind), fleet.Service{}, 94, a.server("a"), b.server("b"))
			for n := range 2 {
				_, _, _, _ = s.send(context.Background(), strconv.Itoa(n)) // the outcome is not what is checked
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.ended) != 2 || s.ended[0].Fingerprint == "" || s.ended[0].Fingerprint != s.ended[1].Fingerprint {
				t.Errorf("reports of ended servers: %+v; want two with the same fingerprint", s.ended)
			}
		})
	}
}

// TestErrorAfterBeginOfStreamIsNotForwarded guards against the text or the head of an error in the middle of a
// stream, and against a stream that ends as if it were complete, when a stream has begun and broken off and the
// next server answers with an error.
func TestErrorAfterBeginOfStreamIsNotForwarded(t *testing.T) {
	for name, then := range map[string]reply{
		"server error":                 respondWith(500, "Seal: second\r\n", "internal error\n\n"),
		"server error without a seal":  respondWith(502, "", "bad gateway\n\n"),
		"not found":                    respondWith(404, "Seal: second\r\n", "no such stream\n\n"),
		"redirect":                     respondWith(302, "Seal: second\r\nLocation: /x\r\n", "moved\n\n"),
		"refused":                      respondWith(503, "Not-Run: 1\r\n", "full\n\n"),
		"too many requests":            respondWith(429, "", "slow down\n\n"),
		"success without a seal":       respondWith(200, "", event(3)),
		"text in place of events":      respondWith(200, "Seal: second\r\nContent-Type: text/plain\r\n", "failed\n\n"),
		"empty document":               respondWith(200, "Seal: second\r\nContent-Type: application/json\r\n", ""),
		"no content":                   writeRaw("HTTP/1.1 204 X\r\nId: ID\r\nSeal: second\r\n\r\n", closeConn),
		"error without a length":       writeRaw("HTTP/1.1 500 X\r\nId: ID\r\nSeal: second\r\n\r\nfailed\n\n", closeConn),
		"bytes that are no response":   writeRaw("failed\r\n\r\n", closeConn),
		"two heads":                    writeRaw("HTTP/1.1 200 X\r\nId: ID\r\nSeal: second\r\nContent-Type: text/event-stream\r\n\r\nHTTP/1.1 500 X\r\n\r\nfailed", closeConn),
		"an error event without an ID": respondWith(200, "Seal: second\r\nContent-Type: text/event-stream\r\n", "event: error\ndata: failed\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			head := streamHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
			first := func(*backend) reply { return writeRaw(head+chunk(event(1)+event(2)), closeConn) }
			a, b := failFirst(t, first, then)
			r := route(fleet.Streaming)
			r.Resumable = true
			s := newTestRelay(t, r, fleet.Service{}, 94, a.server("a"), b.server("b"))
			status, body, _, err := s.send(context.Background(), "1")
			if begin := event(1) + event(2); status != 200 || body != begin {
				t.Errorf("got status %d and %q, want the two events that had come", status, body)
			}
			if err == nil {
				t.Error("the stream ended as if it were complete")
			}
		})
	}
}

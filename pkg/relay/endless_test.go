package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// sendEndlessly writes the start of a response, with ID replaced by the request's ID, and then chunks
// of bytes until the peer closes the connection.
func sendEndlessly(start, chunk string, pause time.Duration) reply {
	return func(c *net.TCPConn, r *http.Request, _ int) bool {
		_, err := fmt.Fprint(c, strings.ReplaceAll(start, "ID", r.Header.Get("Id")))
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(c, chunk)
		}
		return false
	}
}

const okHead = "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n"

// endlessResponses are responses without an end. Each takes all the time and memory that its reader
// allows.
var endlessResponses = map[string]reply{
	"status line":            sendEndlessly("", strings.Repeat("x", 4096), 0),
	"header":                 sendEndlessly(okHead+"H: ", strings.Repeat("x", 4096), 0),
	"headers":                sendEndlessly(okHead, strings.Repeat("H: x\r\n", 512), 0),
	"trickled head":          sendEndlessly(okHead+"H: ", "x", 30*time.Millisecond),
	"informational heads":    sendEndlessly("", "HTTP/1.1 100 X\r\n\r\n", 0),
	"another's response":     sendEndlessly("HTTP/1.1 200 X\r\nId: other\r\nContent-Length: 100000000000\r\n\r\n", strings.Repeat("x", 4096), 0),
	"chunk size":             sendEndlessly(okHead+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096), 0),
	"trailer":                sendEndlessly(okHead+"Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("H: x\r\n", 512), 0),
	"body of a failure":      sendEndlessly("HTTP/1.1 500 X\r\nId: ID\r\n\r\n", strings.Repeat("x", 4096), 0),
	"body without signature": sendEndlessly("HTTP/1.1 200 X\r\nId: ID\r\n\r\n", strings.Repeat("x", 4096), 0),
}

// TestEndlessResponsesAreGivenUp guards against a server in trouble that sends bytes without end: a
// request that may be repeated is served by another server well before its deadline, and any other
// ends; the connection is closed, and the memory that the responses take is bounded.
func TestEndlessResponsesAreGivenUp(t *testing.T) {
	for name, respond := range endlessResponses {
		for _, kind := range []fleet.Kind{fleet.Safe, fleet.Unsafe} {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				if kind == fleet.Unsafe && name == "body of a failure" {
					t.Skip("the failure is passed on as it arrives: TestEndlessBodyIsPassedOnWithinLimits")
				}
				t.Parallel()
				troubled, sound := newBackend(t, respond), newBackend(t, complete)
				r := route(kind)
				r.Timeout = 8 * time.Second
				s := newTestRelay(t, r, fleet.Service{}, 1000, troubled.server("a"), sound.server("b"))
				s.balancer.Begin(time.Now(), "b", 0) // the first request goes to the troubled server
				s.balancer.Begin(time.Now(), "b", 0)
				began := time.Now()
				status, text, _, err := s.send(context.Background(), "r")
				took := time.Since(began)
				if kind == fleet.Safe && (err != nil || status != 200 || text != "whole") {
					t.Errorf("status %d, %.40q, %v; want the complete response of the sound server", status, text, err)
				}
				if kind == fleet.Unsafe && err == nil && status != 502 {
					t.Errorf("status %d; want 502, because the request may have run", status)
				}
				if took > 4*time.Second {
					t.Errorf("took %v, want at most 4s", took)
				}
				select {
				case <-troubled.closed:
				case <-time.After(2 * time.Second):
					t.Error("the connection of the troubled server is still open")
				}
				if requests, _ := troubled.count(); requests != 1 {
					t.Errorf("the troubled server got %d requests, want 1", requests)
				}
			})
		}
	}
}

// sendAndDiscard sends a request and discards the body of the response. It returns the error of the
// response.
func (s *testRelay) sendAndDiscard(ctx context.Context, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+"/p", strings.NewReader("body"))
	if err != nil {
		return err
	}
	req.Header.Set("Id", id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// TestEndlessResponsesTakeBoundedMemory sends many requests at a time to a server that sends bytes
// without end, and checks the growth of the heap while they run.
func TestEndlessResponsesTakeBoundedMemory(t *testing.T) {
	const (
		callers   = 60
		maxGrowth = 150 << 20 // a small instance has 184 MB
	)
	streamHead := "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, respond := range map[string]reply{
		"event": sendEndlessly(streamHead+"id: 1\ndata: ", strings.Repeat("x", 4096), 0),
		"head":  sendEndlessly(okHead+"H: ", strings.Repeat("x", 4096), 0),
		"body":  sendEndlessly("HTTP/1.1 500 X\r\nId: ID\r\n\r\n", strings.Repeat("x", 4096), 0),
	} {
		troubled := newBackend(t, respond)
		kind := fleet.Unsafe
		if name == "event" {
			kind = fleet.Streaming
		}
		s := newTestRelay(t, route(kind), fleet.Service{}, 1000, troubled.server("a"))
		runtime.GC()
		var before, now runtime.MemStats
		runtime.ReadMemStats(&before)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		for n := range callers {
			go func() {
				defer func() { done <- struct{}{} }()
				_ = s.sendAndDiscard(ctx, fmt.Sprint("r", n)) // any outcome is allowed
			}()
		}
		highest := uint64(0)
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			runtime.ReadMemStats(&now)
			highest = max(highest, now.HeapAlloc)
		}
		cancel()
		for range callers {
			<-done
		}
		if highest > before.HeapAlloc+maxGrowth {
			t.Errorf("%s: the heap grew by %d MiB with %d requests, want at most %d MiB", name, (highest-before.HeapAlloc)>>20, callers, maxGrowth>>20)
		}
	}
}

// TestStalledStreamsEnd guards against streams that stay open for as long as the route allows while
// no event arrives: neither a byte now and then nor comments keep them open.
func TestStalledStreamsEnd(t *testing.T) {
	for name, chunk := range map[string]string{"bytes": "x", "comments": ": still here\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, sendEndlessly(streamHead("")+event(1), chunk, 50*time.Millisecond))
			r := route(fleet.Streaming)
			r.Timeout = time.Minute
			s := newTestRelay(t, r, fleet.Service{}, 94, a.server("a"))
			began := time.Now()
			_, text, _, err := s.send(context.Background(), "1")
			if err == nil {
				t.Errorf("the stalled stream ended as complete with %.40q", text)
			}
			if took := time.Since(began); took > 6*time.Second {
				t.Errorf("the stalled stream ended after %v, want at most 6s", took)
			}
		})
	}
}

// TestSlowSoundStreamIsNotCut guards against a stream that is cut although its server sends events,
// each slowly and later than callers usually accept.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	t.Parallel()
	const events = 4
	a := newBackend(t, func(c *net.TCPConn, r *http.Request, _ int) bool {
		fmt.Fprint(c, strings.ReplaceAll(streamHead(""), "ID", r.Header.Get("Id")))
		for id := 1; id <= events; id++ {
			for _, b := range event(id) {
				time.Sleep(100 * time.Millisecond)
				fmt.Fprint(c, string(b))
			}
			time.Sleep(1500 * time.Millisecond)
		}
		return false
	})
	r := route(fleet.Streaming)
	r.Timeout = time.Minute
	s := newTestRelay(t, r, fleet.Service{}, 94, a.server("a"))
	status, text, _, err := s.send(context.Background(), "1")
	if err != nil || status != 200 || strings.Count(text, "data:") != events {
		t.Errorf("status %d, %q, %v; want all %d events", status, text, err, events)
	}
}

// TestEndlessBodyIsPassedOnWithinLimits checks that a failure with an endless body, which is passed on
// as it arrives, ends with the request and does not look complete.
func TestEndlessBodyIsPassedOnWithinLimits(t *testing.T) {
	a := newBackend(t, endlessResponses["body of a failure"])
	r := route(fleet.Unsafe)
	r.Timeout = time.Second
	s := newTestRelay(t, r, fleet.Service{}, 94, a.server("a"))
	began := time.Now()
	err := s.sendAndDiscard(context.Background(), "1")
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want a body that ends early", err)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("took %v, want at most 2s", took)
	}
}

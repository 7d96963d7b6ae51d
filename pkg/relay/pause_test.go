package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

func pausing(retryAfter string) reply {
	return respondWith(503, "Not-Run: 1\r\nRetry-After: "+retryAfter+"\r\n", "")
}

// TestServerPauseIsHonoured guards against requests to a server that has answered 503 with a
// Retry-After: at most two reach it from half a second after the answer until the time is over. Until
// then another server serves all of them, and afterwards the server is used again.
func TestServerPauseIsHonoured(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Unsafe} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			const pause = 1500 * time.Millisecond
			var mu sync.Mutex
			var arrivals []time.Time
			overloaded := newBackend(t, func(c *net.TCPConn, r *http.Request, n int) bool {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				if n == 0 {
					return pausing("1.5")(c, r, n)
				}
				return complete(c, r, n)
			})
			sound := newBackend(t, complete)
			s := newTestRelay(t, route(kind), fleet.Service{}, 1000, overloaded.server("a"), sound.server("b"))
			began := time.Now()
			for n := 0; time.Since(began) < 4*time.Second; n++ {
				if status, _, _, err := s.send(context.Background(), fmt.Sprint("r", n)); err != nil || status != 200 {
					t.Fatalf("request %d: status %d, %v", n, status, err)
				}
				time.Sleep(5 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			if len(arrivals) < 2 {
				t.Fatal("the server is not used again after its pause")
			}
			early := 0
			for _, at := range arrivals[1:] {
				if since := at.Sub(arrivals[0]); since > 500*time.Millisecond && since < pause {
					early++
				}
			}
			if early > 2 {
				t.Errorf("%d requests reached the server within its pause, want at most 2", early)
			}
		})
	}
}

// TestAllServersPaused checks that a request is refused at once when all servers of its service have
// asked for a pause, and that its caller is told to come back after the first of the pauses.
func TestAllServersPaused(t *testing.T) {
	a, b := newBackend(t, pausing("3")), newBackend(t, pausing("2"))
	s := newTestRelay(t, route(fleet.Safe), fleet.Service{}, 1000, a.server("a"), b.server("b"))
	for n := range 5 {
		began := time.Now()
		status, _, header, err := s.send(context.Background(), fmt.Sprint("r", n))
		if err != nil || status != 503 {
			t.Fatalf("status %d, %v; want 503", status, err)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("the request was refused after %v, want at once", took)
		}
		if after, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || after < 1.9 || after > 3.6 {
			t.Errorf("Retry-After %q, want about the 2 to 2.5 s of the shorter pause, and a spread", header.Get("Retry-After"))
		}
	}
	if requests, _ := a.count(); requests != 1 {
		t.Errorf("server a got %d requests, want 1", requests)
	}
}

// TestMalformedRetryAfterIsIgnored checks that a malformed Retry-After pauses nothing and is reported
// with its value, and that an excessive one is reduced.
func TestMalformedRetryAfterIsIgnored(t *testing.T) {
	for _, c := range []struct {
		value             string
		paused, isIgnored bool
	}{
		{"soon", false, true}, {"-1", false, true}, {"NaN", false, true}, {"Wed, 21 Oct 2026 07:28:00 GMT", false, true},
		{"0", false, false}, {"", false, false}, {"1e9", true, true}, {"+Inf", true, true}, {" 0.9 ", true, false},
	} {
		a := newBackend(t, pausing(c.value))
		s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, a.server("a"))
		if _, _, _, err := s.send(context.Background(), "r"); err != nil {
			t.Fatal(err)
		}
		if paused := !s.balancer.Accepts(time.Now(), a.server("a")); paused != c.paused {
			t.Errorf("Retry-After %q: paused %v, want %v", c.value, paused, c.paused)
		}
		s.mu.Lock()
		if isIgnored := slices.Contains(s.ignored, c.value); isIgnored != c.isIgnored {
			t.Errorf("Retry-After %q: reported %q, want a report: %v", c.value, s.ignored, c.isIgnored)
		}
		s.mu.Unlock()
	}
}

// TestLeavingServerIsReported checks that a complete response of a server that is leaving is passed
// on, and that the server is reported.
func TestLeavingServerIsReported(t *testing.T) {
	for status, respond := range map[int]reply{
		200: respondWith(200, "Seal: s\r\nLeaving: 1\r\n", "whole"),
		503: respondWith(503, "Not-Run: 1\r\nLeaving: 1\r\n", ""),
	} {
		a := newBackend(t, respond)
		s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, a.server("a"))
		if got, _, _, err := s.send(context.Background(), "r"); err != nil || got != status {
			t.Errorf("status %d, %v; want %d", got, err, status)
		}
		s.mu.Lock()
		if len(s.leaving) == 0 || s.leaving[0] != "a" {
			t.Errorf("reported %q as leaving, want a", s.leaving)
		}
		s.mu.Unlock()
	}
}

package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// limitCold makes servers cold for a time. The entry has known for a second that it is the only one.
func (s *testRelay) limitCold(left time.Duration, servers ...fleet.Server) {
	l := coldstart.New("front", coldstart.Bounds{})
	l.SetServices([]fleet.Service{{Name: "s", ColdPerSecond: 4}})
	l.EntriesRead(time.Now().Add(-time.Second))
	for _, server := range servers {
		server.WarmupLeft = left
		l.Announce(time.Now(), server)
	}
	s.balancer.LimitCold(l)
}

// TestAllAttemptsAtColdServersCount guards against repeats that pass by the limit of a cold server: half of the
// requests fail at the other server first, and are repeated.
func TestAllAttemptsAtColdServersCount(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Unsafe} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			cold := newBackend(t, complete)
			warm := newBackend(t, func(c *net.TCPConn, r *http.Request, n int) bool {
				if n%2 == 1 {
					return notRun(c, r, n)
				}
				return complete(c, r, n)
			})
			s := newTestRelay(t, route(kind), fleet.Service{}, 1000, cold.server("a"), warm.server("b"))
			s.limitCold(2*time.Second, cold.server("a"))
			began := time.Now()
			for n := 0; time.Since(began) < 1500*time.Millisecond; n++ {
				if _, _, _, err := s.send(context.Background(), fmt.Sprint("r", n)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if n, _ := cold.count(); n < 4 || n > 8 {
				t.Errorf("%d requests reached the cold server in 1.5 s, want 4 to 8 with 4 a second", n)
			}
			time.Sleep(time.Until(began.Add(4 * time.Second)))
			for n := range 60 {
				if _, _, _, err := s.send(context.Background(), fmt.Sprint("later", n)); err != nil {
					t.Fatal(err)
				}
			}
			if n, _ := cold.count(); n < 20 {
				t.Errorf("%d requests reached the server, want more after its cold state", n)
			}
		})
	}
}

// TestAllServersCold guards against requests that are held, or told to come back at a wrong time, when this entry has
// used its shares of all servers.
func TestAllServersCold(t *testing.T) {
	a, b := newBackend(t, complete), newBackend(t, complete)
	s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, a.server("a"), b.server("b"))
	s.limitCold(30*time.Second, a.server("a"), b.server("b"))
	for n := range 12 {
		began := time.Now()
		status, body, header, err := s.send(context.Background(), fmt.Sprint("r", n))
		if err != nil {
			t.Fatal(err)
		}
		if n < 8 {
			if status != 200 {
				t.Errorf("request %d: status %d, want 200 within the shares", n, status)
			}
			continue
		}
		if status != 503 || time.Since(began) > 200*time.Millisecond || !strings.Contains(body, "cold servers is used at 2 of 2") {
			t.Errorf("request %d: status %d after %v, %q; want 503 at once with the reason", n, status, time.Since(began), body)
		}
		if after, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || after < 1 || after > 1.6 {
			t.Errorf("Retry-After %q, want the second until a request is admitted, and a spread", header.Get("Retry-After"))
		}
	}
}

// TestSimultaneousRequestsShareTheAllowance guards against requests that choose a cold server at the same moment and
// all reach it: each takes its allowance right before it is sent.
func TestSimultaneousRequestsShareTheAllowance(t *testing.T) {
	cold := newBackend(t, complete)
	s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, cold.server("a"))
	s.limitCold(30*time.Second, cold.server("a"))
	var group sync.WaitGroup
	var served, refused atomic.Int32
	for n := range 40 {
		group.Go(func() {
			status, _, _, err := s.send(context.Background(), fmt.Sprint("r", n))
			switch {
			case err != nil:
				t.Error(err)
			case status == 200:
				served.Add(1)
			case status == 503:
				refused.Add(1)
			}
		})
	}
	group.Wait()
	if n, _ := cold.count(); n != 4 || served.Load() != 4 || refused.Load() != 36 {
		t.Errorf("%d requests reached the server, %d were answered and %d refused; want 4, 4 and 36", n, served.Load(), refused.Load())
	}
}

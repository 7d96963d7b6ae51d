package relay_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// TestStoppingProcessRefusesAtOnce guards against requests that are sent, or held, by a process that may end
// before they do: one that arrives, one that waits for its group, and one that would be tried again.
func TestStoppingProcessRefusesAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		broken bool
		// stopAfter is the time from the request to the stop; 0 means that it comes before it.
		stopAfter time.Duration
		first     reply
		// status and attempts are the expected result.
		status, attempts int
	}{
		"arrives late":    {false, 0, complete, http.StatusServiceUnavailable, 0},
		"waits for group": {true, 200 * time.Millisecond, complete, http.StatusServiceUnavailable, 0},
		"tried again":     {false, 100 * time.Millisecond, delayed(200*time.Millisecond, resetConn), http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, c.first)
			r := route(fleet.Streaming)
			r.Resumable, r.TargetLatency, r.Timeout = true, 400*time.Millisecond, 8*time.Second
			s := newTestRelay(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 12}}, 94, a.server("a"))
			state := fleet.GroupOpen
			if c.broken {
				state = fleet.GroupBroken
			}
			s.balancer.UpdateGroup(time.Now(), "s", "", state, []balance.EngineLoad{{Address: a.server("a").Address}})
			if c.stopAfter == 0 {
				s.admission.closed.Store(true)
			}
			time.AfterFunc(c.stopAfter, func() { s.admission.closed.Store(true) })
			began := time.Now()
			status, _, header, err := s.send(context.Background(), "1")
			if err != nil || status != c.status {
				t.Errorf("got status %d, error %v; want %d", status, err, c.status)
			}
			if status == http.StatusServiceUnavailable && header.Get("Retry-After") != "0.02" {
				t.Errorf("refused with Retry-After %q, want 0.02", header.Get("Retry-After"))
			}
			if took := time.Since(began); took > c.stopAfter+400*time.Millisecond {
				t.Errorf("ended after %v; the process stopped after %v", took, c.stopAfter)
			}
			if sent, _ := a.count(); sent != c.attempts {
				t.Errorf("%d attempts were sent, want %d", sent, c.attempts)
			}
		})
	}
}

// delayed returns a reply that waits first.
func delayed(by time.Duration, then reply) reply {
	return func(c *net.TCPConn, r *http.Request, n int) bool {
		time.Sleep(by)
		return then(c, r, n)
	}
}

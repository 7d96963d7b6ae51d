package relay_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// zoned returns a backend's server in the failure domain of its ID.
func (b *backend) zoned(id string) fleet.Server {
	s := b.server(id)
	s.Zone = id
	return s
}

func evacuated(domains ...string) map[string]bool {
	set := make(map[string]bool)
	for _, d := range domains {
		set[d] = true
	}
	return set
}

// TestFurtherAttemptsLeaveEvacuatedDomains guards against repeats and resumed streams at servers whose domain was
// evacuated while the first attempt ran: the only server in service must get the next one.
func TestFurtherAttemptsLeaveEvacuatedDomains(t *testing.T) {
	for name, c := range map[string]struct {
		kind  fleet.Kind
		first reply
		rest  string
		want  string
	}{
		"repeat":         {fleet.Safe, resetConn, "whole", "whole"},
		"refusal":        {fleet.Unsafe, notRun, "whole", "whole"},
		"resumed stream": {fleet.Streaming, writeRaw(streamHead("")+event(1), resetConn), event(2) + event(3), event(1) + event(2) + event(3)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			var s *testRelay
			inService := ""
			respond := func(own, other, third string) reply {
				return func(conn *net.TCPConn, r *http.Request, n int) bool {
					answer := respondWith(200, "Seal: second\r\n", c.rest)
					once.Do(func() {
						s.balancer.SetEvacuated(evacuated(own, other))
						inService, answer = third, c.first
					})
					return answer(conn, r, n)
				}
			}
			backends := map[string]*backend{
				"a": newBackend(t, respond("a", "b", "c")), "b": newBackend(t, respond("b", "c", "a")), "c": newBackend(t, respond("c", "a", "b")),
			}
			r := route(c.kind)
			r.Resumable = true
			s = newTestRelay(t, r, fleet.Service{}, 94, backends["a"].zoned("a"), backends["b"].zoned("b"), backends["c"].zoned("c"))
			status, body, _, err := s.send(context.Background(), "1")
			if err != nil || status != 200 || body != c.want {
				t.Errorf("got status %d, body %q, error %v; want the whole response", status, body, err)
			}
			total := 0
			for _, b := range backends {
				n, _ := b.count()
				total += n
			}
			if n, _ := backends[inService].count(); n != 1 || total != 2 {
				t.Errorf("%d of %d attempts went to the domain in service, want the second of 2", n, total)
			}
		})
	}
}

// TestRunningRequestsOutlastEvacuation guards against requests that are broken off because the domain of their server
// is evacuated, and against a response that passes for whole because its server ended with the domain.
func TestRunningRequestsOutlastEvacuation(t *testing.T) {
	events := event(1) + event(2) + event(3)
	for name, c := range map[string]struct {
		kind     fleet.Kind
		begin    string
		rest     string
		survives bool
		whole    bool
	}{
		"stream":                   {fleet.Streaming, event(1), event(2) + event(3), true, true},
		"plain response":           {fleet.Unsafe, "wh", "ole", true, true},
		"stream cut short":         {fleet.Streaming, event(1), event(2), false, false},
		"plain response cut short": {fleet.Unsafe, "wh", "o", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *testRelay
			var b *backend
			b = newBackend(t, writeRaw(streamHead("")+c.begin, func(conn *net.TCPConn, r *http.Request, n int) bool {
				s.balancer.SetEvacuated(evacuated("a"))
				return writeRaw(c.rest, b.end(c.survives))(conn, r, n)
			}))
			s = newTestRelay(t, route(c.kind), fleet.Service{}, 94, b.zoned("a"))
			status, body, _, err := s.send(context.Background(), "1")
			want := "whole"
			if c.kind == fleet.Streaming {
				want = events
			}
			if c.whole && (err != nil || status != 200 || body != want) {
				t.Errorf("got status %d, body %q, error %v; want the whole response", status, body, err)
			}
			if !c.whole && err == nil && status == 200 {
				t.Errorf("got status 200 and %q without an error, although the server ended before the response was whole", body)
			}
		})
	}
}

// TestPermitDoesNotOutweighEvacuation guards against a request that is sent to a server of an evacuated domain because
// it had asked for a permit there before.
func TestPermitDoesNotOutweighEvacuation(t *testing.T) {
	limited, sound := newBackend(t, complete), newBackend(t, complete)
	s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 94, limited.zoned("a"))
	s.limits.SetEntries(time.Now(), []string{"granter"}, 1)
	granter := ratelimit.New("granter")
	statement := ratelimit.Statement{Server: "a", Limited: true, Rate: 100, Sent: time.Now(), Received: time.Now()}
	s.limits.Observe(statement)
	granter.Observe(statement)
	<-s.limits.Wake() // the statement is told
	s.limits.Advance(time.Now())
	time.Sleep(100 * time.Millisecond) // the bucket fills
	go func() {
		<-s.limits.Wake()
		asks := s.limits.Advance(time.Now()).Asks["granter"]
		s.balancer.SetServers([]fleet.Server{limited.zoned("a"), sound.zoned("b")})
		s.balancer.SetEvacuated(evacuated("a"))
		if asks != nil {
			s.limits.Merge(time.Now(), "granter", granter.Merge(time.Now(), "", *asks))
		}
	}()
	if status, _, _, err := s.send(context.Background(), "1"); err != nil || status != 200 {
		t.Errorf("status %d, %v; want 200 from the domain in service", status, err)
	}
	s.mu.Lock()
	waitedFor := s.reports[0].WaitedFor
	s.mu.Unlock()
	if waitedFor != "rate-limit-permit" {
		t.Errorf("the request waited for %q, want a permit; the test does not show anything", waitedFor)
	}
	if n, _ := limited.count(); n > 0 {
		t.Errorf("%d requests reached the evacuated domain", n)
	}
}

// TestRequestsAreRefusedAtOnceIfAllDomainsAreEvacuated guards against requests that are held although no server is
// left: new ones, those that wait for the retry budget, and late ones.
func TestRequestsAreRefusedAtOnceIfAllDomainsAreEvacuated(t *testing.T) {
	engine := fleet.Service{Engine: &fleet.Engine{Slots: 1}}
	late := route(fleet.Streaming)
	late.TargetLatency = time.Millisecond
	for name, c := range map[string]struct {
		route      fleet.Route
		service    fleet.Service
		before     bool
		wantStatus int
	}{
		"new request":                  {route(fleet.Unsafe), fleet.Service{}, true, 503},
		"late request to an engine":    {late, engine, true, 503},
		"waiting for the retry budget": {route(fleet.Streaming), engine, false, 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, notRun)
			s := newTestRelay(t, c.route, c.service, 0, b.zoned("a"))
			began := time.Now()
			if c.before {
				service := c.service
				service.Name = "s"
				if service.Engine != nil && !s.balancer.AcquireLateSlot(time.Now(), &service) {
					t.Fatal("no late slot is free at first")
				}
				s.balancer.SetEvacuated(evacuated("a"))
			} else {
				time.AfterFunc(300*time.Millisecond, func() { s.balancer.SetEvacuated(evacuated("a")) })
			}
			status, body, header, err := s.send(context.Background(), "1")
			if err != nil || status != c.wantStatus || !strings.Contains(body, "all 1 backend servers are in evacuated failure domains: a") {
				t.Errorf("got status %d, body %q, error %v; want a refusal that names the domain", status, body, err)
			}
			if after, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || after <= 0 {
				t.Errorf("Retry-After %q, want seconds", header.Get("Retry-After"))
			}
			if took := time.Since(began); took > 800*time.Millisecond {
				t.Errorf("refused after %v, want at once", took)
			}
			if n, _ := b.count(); c.before && n > 0 {
				t.Errorf("%d requests reached the evacuated domain", n)
			}
		})
	}
}

// TestWholeResponseOfServerThatLeavesEvacuatedDomain guards against a response without a length that is whole and is
// thrown away, because its server drained after the evacuation and ended as planned.
func TestWholeResponseOfServerThatLeavesEvacuatedDomain(t *testing.T) {
	for name, c := range map[string]struct {
		leaves bool
		status int
	}{"ended as planned": {true, 200}, "crashed": {false, 502}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *testRelay
			var b *backend
			b = newBackend(t, func(conn *net.TCPConn, r *http.Request, n int) bool {
				s.balancer.SetEvacuated(evacuated("a"))
				if c.leaves {
					s.balancer.SetServers(nil)
				}
				b.listener.Close()
				return writeRaw("HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n\r\nwhole", closeConn)(conn, r, n)
			})
			s = newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 94, b.zoned("a"))
			status, body, _, err := s.send(context.Background(), "1")
			if err != nil || status != c.status || c.status == 200 && body != "whole" {
				t.Errorf("got status %d, body %q, error %v; want status %d", status, body, err, c.status)
			}
		})
	}
}

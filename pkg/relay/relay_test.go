package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/backendconn"
	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
	"github.com/fescuehub/fescuehub/pkg/relay"
	"github.com/fescuehub/fescuehub/pkg/retrybudget"
)

// testCodec is a relay.Codec with short test headers.
type testCodec struct{}

func (testCodec) EncodeAttempt(h http.Header, a relay.AttemptHeaders) {
	h.Set("Server", a.ServerID)
	h.Set("Left", strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set("Priority", strconv.Itoa(a.Priority))
	if a.LastEventID != "" {
		h.Set("Last", a.LastEventID)
	}
}

func (testCodec) DecodeResponse(status int, h http.Header) relay.ResponseHeaders {
	return relay.ResponseHeaders{
		RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "" || status == 421, WrongServer: status == 421,
		GroupFault: h.Get("Fault") != "", Leaving: h.Get("Leaving") != "", RetryAfter: h.Get("Retry-After"), RateLimit: h.Get("Limit"),
	}
}

// backend is a backend server that writes scripted responses to raw connections.
type backend struct {
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	conns    int
	closed   chan struct{}
}

// reply responds to the nth request of a server, counted from 0. It returns false to close the
// connection.
type reply func(c *net.TCPConn, r *http.Request, n int) bool

func newBackend(t testing.TB, respond reply) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{listener: l, closed: make(chan struct{}, 64)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			b.mu.Unlock()
			go b.serve(c.(*net.TCPConn), respond)
		}
	}()
	return b
}

func (b *backend) serve(c *net.TCPConn, respond reply) {
	defer func() {
		_ = c.Close()
		b.closed <- struct{}{}
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b.mu.Lock()
		n := len(b.requests)
		b.requests = append(b.requests, r)
		b.mu.Unlock()
		if !respond(c, r, n) {
			return
		}
	}
}

func (b *backend) count() (requests, conns int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests), b.conns
}

func (b *backend) server(id string) fleet.Server {
	return fleet.Server{ID: id, Service: "s", Address: b.listener.Addr().String()}
}

func respondWith(status int, headers, body string) reply {
	return func(c *net.TCPConn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), headers, len(body), body)
		return true
	}
}

var (
	complete = respondWith(200, "Seal: s\r\n", "whole")
	notRun   = respondWith(503, "Not-Run: 1\r\n", "")
)

func resetConn(c *net.TCPConn, _ *http.Request, _ int) bool {
	_ = c.SetLinger(0)
	return false
}

// writeRaw writes text, with ID replaced by the request's ID, and then calls then to reset or close
// the connection.
func writeRaw(text string, then reply) reply {
	return func(c *net.TCPConn, r *http.Request, n int) bool {
		fmt.Fprint(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		time.Sleep(20 * time.Millisecond) // a reset discards bytes that have not arrived
		return then(c, r, n)
	}
}

func closeConn(*net.TCPConn, *http.Request, int) bool { return false }

// testRelay is a relay with its balancer behind an HTTP server.
type testRelay struct {
	front     *httptest.Server
	balancer  *balance.Balancer
	prompts   *quarantine.Tracker
	limits    *ratelimit.Limiter
	admission testAdmission
	mu        sync.Mutex
	reports   []relay.Report
	// leaving and ignored record the calls of Leaving, and of RetryAfterIgnored and RateLimitIgnored.
	leaving, ignored []string
	// ended records the calls of Ended.
	ended []relay.ServerEnd
	relay *relay.Relay
}

// testAdmission is a relay.Admission that admits every attempt until it is closed.
type testAdmission struct{ closed atomic.Bool }

// AdmitsAttempt implements relay.Admission.
func (a *testAdmission) AdmitsAttempt(time.Time) bool { return !a.closed.Load() }

// Misdirected implements relay.ServerObserver.
func (s *testRelay) Misdirected(string) {}

// Leaving implements relay.ServerObserver.
func (s *testRelay) Leaving(server string, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, server)
}

// Ended implements relay.ServerObserver.
func (s *testRelay) Ended(_ fleet.Server, end relay.ServerEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, end)
}

// RetryAfterIgnored implements relay.ServerObserver.
func (s *testRelay) RetryAfterIgnored(_, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignored = append(s.ignored, value)
}

// RateLimitIgnored implements relay.ServerObserver.
func (s *testRelay) RateLimitIgnored(_ string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignored = append(s.ignored, err.Error())
}

// testMaxEventBytes is the largest event that a test relay passes on.
const testMaxEventBytes = 256 << 10

func newTestRelay(t testing.TB, route fleet.Route, service fleet.Service, floor float64, servers ...fleet.Server) *testRelay {
	t.Helper()
	limits := ratelimit.New("")
	s := &testRelay{balancer: balance.New(limits), limits: limits}
	s.balancer.SetServers(servers)
	budget := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Floor: floor, Window: 10 * time.Second}, time.Now())
	s.prompts = quarantine.New(rand.Float64)
	r := relay.New(testCodec{}, backendconn.NewPools(), s.balancer, budget, s.prompts, limits, &s.admission, s, testMaxEventBytes)
	s.relay = r
	service.Name = "s"
	s.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body) // test clients send complete bodies
		q := &relay.Request{
			CallerHeaders: relay.CallerHeaders{ID: req.Header.Get("Id"), LastEventID: req.Header.Get("Last"), SharedParts: req.Header["Part"]}, Route: &route, Service: &service,
			Method: req.Method, Target: req.RequestURI, Host: "h", Header: relay.EndToEndHeaders(req.Header), Body: body, Arrived: time.Now(),
		}
		q.Priority, _ = strconv.Atoi(req.Header.Get("Urgency")) // 0 without the header
		report := r.Serve(req.Context(), w, q)
		s.mu.Lock()
		s.reports = append(s.reports, report)
		s.mu.Unlock()
		if report.Aborted {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.front.Close)
	return s
}

func (s *testRelay) send(ctx context.Context, id string, parts ...string) (int, string, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+"/p", strings.NewReader("body"))
	if err != nil {
		return 0, "", nil, err
	}
	req.Header.Set("Id", id)
	req.Header["Part"] = parts
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), res.Header, err
}

func route(kind fleet.Kind) fleet.Route {
	return fleet.Route{Name: "r", Kind: kind, Timeout: 2 * time.Second, MaxAttempts: 2}
}

// TestRetryDependsOnRouteKindAndOutcome: one of two servers fails the first attempt, and the other
// returns a good response. An unsafe request may be retried only if it has certainly not run.
func TestRetryDependsOnRouteKindAndOutcome(t *testing.T) {
	faults := []struct {
		name    string
		respond reply
		// ran is true if the request may have run.
		ran bool
	}{
		{"refused", notRun, false},
		{"wrong server", respondWith(421, "", ""), false},
		{"reset", resetConn, true},
		{"closed", closeConn, true},
		{"malformed response", writeRaw("what is this\r\n\r\n", closeConn), true},
		{"no signature", respondWith(200, "", "whole"), true},
		{"encoded body", respondWith(200, "Seal: s\r\nContent-Encoding: br\r\n", "whole"), true},
		{"truncated", writeRaw("HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 9\r\n\r\nwho", closeConn), true},
		{"reset without length", writeRaw("HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n\r\nwho", resetConn), true},
		{"response to another request", writeRaw("HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 5\r\n\r\nother", closeConn), true},
	}
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Unsafe} {
		for _, f := range faults {
			t.Run(string(kind)+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				// The first server that gets the request fails, whichever of the two it is.
				var once sync.Once
				respond := func(c *net.TCPConn, r *http.Request, n int) bool {
					faulty := false
					once.Do(func() { faulty = true })
					if faulty {
						return f.respond(c, r, n)
					}
					return complete(c, r, n)
				}
				a, b := newBackend(t, respond), newBackend(t, respond)
				s := newTestRelay(t, route(kind), fleet.Service{}, 94, a.server("a"), b.server("b"))
				status, body, _, err := s.send(context.Background(), "1")
				if err != nil {
					t.Fatal(err)
				}
				sentA, _ := a.count()
				sentB, _ := b.count()
				repeats := kind == fleet.Safe || !f.ran
				if repeats && (status != 200 || body != "whole" || sentA+sentB != 2) {
					t.Errorf("got %d %q after %d sends; the request may be repeated", status, body, sentA+sentB)
				}
				if !repeats && (status != 502 || sentA+sentB != 1) {
					t.Errorf("got %d after %d sends; want 502 after 1, since the request may have run", status, sentA+sentB)
				}
			})
		}
	}
}

// TestNotRunIsRefused: a request that no server ran is refused with 503 and Retry-After, well
// before the caller's timeout, with and without retry budget left.
func TestNotRunIsRefused(t *testing.T) {
	a, b := newBackend(t, notRun), newBackend(t, notRun)
	for _, floor := range []float64{2, 94} { // without and with retry budget left
		s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, floor, a.server("a"), b.server("b"))
		began := time.Now()
		status, _, header, err := s.send(context.Background(), "1")
		if err != nil || status != 503 || header.Get("Retry-After") == "" {
			t.Fatal(status, header, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("refused after %v, close to the timeout of 2 s", took)
		}
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", id, id) }

func streamHead(extra string) string {
	return "HTTP/1.1 200 X\r\nId: ID\r\nSeal: first\r\nContent-Type: text/event-stream\r\n" + extra + "\r\n"
}

// TestStreamIsResumedOnce: a stream is reset within an event and resumed at another server. The
// caller gets each event once, in order, with the signature of the first response.
func TestStreamIsResumedOnce(t *testing.T) {
	respond := func(c *net.TCPConn, r *http.Request, n int) bool {
		if r.Header.Get("Last") == "" {
			return writeRaw(streamHead("")+event(1)+event(2)+"id: 3\ndat", resetConn)(c, r, n)
		}
		rest := event(3) + event(4)
		return respondWith(200, "Seal: second\r\n", rest)(c, r, n)
	}
	a, b := newBackend(t, respond), newBackend(t, respond)
	route := route(fleet.Streaming)
	route.Resumable = true
	s := newTestRelay(t, route, fleet.Service{}, 94, a.server("a"), b.server("b"))
	status, body, header, err := s.send(context.Background(), "1")
	if want := event(1) + event(2) + event(3) + event(4); err != nil || status != 200 || body != want || header.Get("Seal") != "first" {
		t.Fatalf("got status %d, body %q, signature %q, error %v; want each event once and the first signature", status, body, header.Get("Seal"), err)
	}
}

// TestUnresumableStreamIsAborted checks that the caller sees an error when a stream that cannot be
// resumed is reset.
func TestUnresumableStreamIsAborted(t *testing.T) {
	a := newBackend(t, writeRaw(streamHead("")+event(1)+"id: 2\n", resetConn))
	b := newBackend(t, writeRaw(streamHead("")+event(1)+"id: 2\n", resetConn))
	s := newTestRelay(t, route(fleet.Streaming), fleet.Service{}, 94, a.server("a"), b.server("b"))
	status, body, _, err := s.send(context.Background(), "1")
	sentA, _ := a.count()
	sentB, _ := b.count()
	if err == nil || status != 0 && body != event(1) || sentA+sentB != 1 {
		t.Fatalf("got status %d, body %q, error %v after %d sends; want an error after 1", status, body, err, sentA+sentB)
	}
}

// TestResumedStreamWithGapIsAborted checks that events after a gap in a resumed stream are not
// passed on.
func TestResumedStreamWithGapIsAborted(t *testing.T) {
	respond := func(c *net.TCPConn, r *http.Request, n int) bool {
		if r.Header.Get("Last") == "" {
			return writeRaw(streamHead("")+event(1), resetConn)(c, r, n)
		}
		return respondWith(200, "Seal: s\r\n", event(3))(c, r, n)
	}
	a, b := newBackend(t, respond), newBackend(t, respond)
	route := route(fleet.Streaming)
	route.Resumable = true
	s := newTestRelay(t, route, fleet.Service{}, 94, a.server("a"), b.server("b"))
	if _, body, _, err := s.send(context.Background(), "1"); err == nil || strings.Contains(body, "x3") {
		t.Fatalf("got body %q, error %v; want an error and no event after the gap", body, err)
	}
}

// TestExtraBytesPreventReuse checks that a connection is not reused if bytes follow a response:
// the next request would read them as its own response.
func TestExtraBytesPreventReuse(t *testing.T) {
	extra := func(c *net.TCPConn, r *http.Request, n int) bool {
		complete(c, r, n)
		fmt.Fprint(c, "HTTP/1.1 200 X\r\nSeal: s\r\nContent-Length: 5\r\n\r\nextra")
		return true
	}
	a := newBackend(t, extra)
	s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 94, a.server("a"))
	for n := range 4 {
		status, body, _, err := s.send(context.Background(), strconv.Itoa(n))
		if err != nil || status != 200 || body != "whole" {
			t.Fatal(status, body, err)
		}
		time.Sleep(10 * time.Millisecond) // let the extra bytes arrive
	}
	if requests, conns := a.count(); conns != requests {
		t.Errorf("%d requests on %d connections, want a new connection for each", requests, conns)
	}
}

// TestLateSecondCopyIsNotPassedOn guards against a caller that gets the answer to another request: a
// server sends second copies of an answer late, when the connection is in use again, also to a request
// of another caller. The answers tell the request that they belong to.
func TestLateSecondCopyIsNotPassedOn(t *testing.T) {
	answer := func(r *http.Request) string {
		id := r.Header.Get("Id")
		return fmt.Sprintf("HTTP/1.1 200 X\r\nId: %s\r\nSeal: s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\nto %s", id, len(id)+3, id)
	}
	for copies := 1; copies <= 3; copies++ {
		var mu sync.Mutex
		last := make(map[*net.TCPConn]string)
		a := newBackend(t, func(c *net.TCPConn, r *http.Request, _ int) bool {
			mu.Lock()
			late := strings.Repeat(last[c], copies)
			last[c] = answer(r)
			mu.Unlock()
			fmt.Fprint(c, late)
			time.Sleep(5 * time.Millisecond)
			fmt.Fprint(c, answer(r))
			return true
		})
		s := newTestRelay(t, route(fleet.Safe), fleet.Service{}, 1000, a.server("a"))
		for n := range 20 {
			id := fmt.Sprintf("request-%d", n)
			status, body, _, err := s.send(context.Background(), id)
			if err == nil && status == 200 && body != "to "+id {
				t.Fatalf("%d copies: %s got %q", copies, id, body)
			}
			if copies == 1 && (err != nil || status != 200) {
				t.Errorf("%d copies: %s got status %d, %v; want its own answer", copies, id, status, err)
			}
		}
	}
}

// TestConnectionsAreReused checks that a connection is kept after a complete response.
func TestConnectionsAreReused(t *testing.T) {
	a := newBackend(t, respondWith(200, "Seal: s\r\nKeep-Alive: timeout=10\r\n", "whole"))
	s := newTestRelay(t, route(fleet.Safe), fleet.Service{}, 94, a.server("a"))
	for n := range 5 {
		if status, _, _, err := s.send(context.Background(), strconv.Itoa(n)); err != nil || status != 200 {
			t.Fatal(status, err)
		}
	}
	if _, conns := a.count(); conns != 1 {
		t.Errorf("%d connections for 5 requests, want 1", conns)
	}
}

// TestCallerDisconnectCancelsAttempt checks that the backend server's connection is closed within
// half a second after the caller disconnects.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	a := newBackend(t, func(*net.TCPConn, *http.Request, int) bool { time.Sleep(50 * time.Millisecond); return true })
	s := newTestRelay(t, route(fleet.Safe), fleet.Service{}, 94, a.server("a"))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, _, _, err := s.send(ctx, "1"); err == nil {
		t.Fatal("got a response after the caller's timeout")
	}
	select {
	case <-a.closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the server's connection is still open half a second later")
	}
}

// TestRouteTimeoutReturns504 checks that a request to a server that never responds gets 504 at the
// route's timeout.
func TestRouteTimeoutReturns504(t *testing.T) {
	a := newBackend(t, func(*net.TCPConn, *http.Request, int) bool { return true })
	r := route(fleet.Unsafe)
	r.Timeout = 200 * time.Millisecond
	s := newTestRelay(t, r, fleet.Service{}, 94, a.server("a"))
	began := time.Now()
	status, _, _, err := s.send(context.Background(), "1")
	if took := time.Since(began); err != nil || status != 504 || took > 700*time.Millisecond {
		t.Fatal(status, err, took)
	}
}

// TestRequestBeyondCallerTimeoutIsRefused checks that a request whose first event would arrive after
// its caller has disconnected is refused immediately with Retry-After, and is not sent.
func TestRequestBeyondCallerTimeoutIsRefused(t *testing.T) {
	a := newBackend(t, complete)
	r := route(fleet.Streaming)
	r.TargetLatency, r.Timeout = 400*time.Millisecond, 8*time.Second
	s := newTestRelay(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 12}}, 94, a.server("a"))
	s.balancer.UpdateGroup(time.Now(), "s", "", fleet.GroupOpen, []balance.EngineLoad{{Address: a.server("a").Address, Running: 12, Waiting: 24}})
	began := time.Now()
	status, _, header, err := s.send(context.Background(), "1")
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, error %v; want 503 with Retry-After", status, header.Get("Retry-After"), err)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("refused after %v, want at most 200 ms", took)
	}
	if sent, _ := a.count(); sent != 0 {
		t.Error("the request was sent to the backend server")
	}
}

// TestBrokenGroupIsWaitedFor: a group is broken for 700 ms under load. Requests wait for it instead
// of being sent to servers that refuse them.
func TestBrokenGroupIsWaitedFor(t *testing.T) {
	opens := time.Now().Add(700 * time.Millisecond)
	respond := func(c *net.TCPConn, r *http.Request, n int) bool {
		if time.Now().Before(opens) {
			return respondWith(503, "Not-Run: 1\r\nFault: x\r\n", "")(c, r, n)
		}
		return respondWith(200, "Seal: s\r\nContent-Type: text/event-stream\r\n", event(1))(c, r, n)
	}
	a, b := newBackend(t, respond), newBackend(t, respond)
	r := route(fleet.Streaming)
	r.Timeout = 8 * time.Second
	s := newTestRelay(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 12}}, 94, a.server("a"), b.server("b"))
	var all sync.WaitGroup
	for n := range 40 {
		all.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			if status, _, _, err := s.send(context.Background(), strconv.Itoa(n)); err != nil || status != 200 {
				t.Error(status, err)
			}
		})
	}
	all.Wait()
	sentA, _ := a.count()
	sentB, _ := b.count()
	if sentA+sentB > 60 {
		t.Errorf("%d sends for 40 requests, want at most 60", sentA+sentB)
	}
}

// TestLateRequestsYieldToNewOnes: after an outage, 30 requests have waited for the group until they
// are late, and new ones arrive. A new request is sent immediately. Most late ones wait, but are
// sent at the latest one second before their callers disconnect. The late ones have the lowest priority
// at the engine.
func TestLateRequestsYieldToNewOnes(t *testing.T) {
	release := make(chan struct{})
	a := newBackend(t, func(c *net.TCPConn, r *http.Request, n int) bool {
		<-release
		return respondWith(200, "Seal: s\r\nContent-Type: text/event-stream\r\n", event(1))(c, r, n)
	})
	r := route(fleet.Streaming)
	r.TargetLatency, r.Timeout = 400*time.Millisecond, 8*time.Second
	s := newTestRelay(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 40}}, 94, a.server("a"))
	s.balancer.UpdateGroup(time.Now(), "s", "", fleet.GroupBroken, nil)
	var all sync.WaitGroup
	send := func(id string) {
		all.Go(func() {
			if status, _, _, err := s.send(context.Background(), id); err != nil || status != 200 {
				t.Error(id, status, err)
			}
		})
	}
	for n := range 30 {
		send(fmt.Sprint("late", n))
	}
	time.Sleep(300 * time.Millisecond)
	s.balancer.UpdateGroup(time.Now(), "s", "", fleet.GroupOpen, nil)
	time.Sleep(200 * time.Millisecond)
	late, _ := a.count()
	if late == 0 || late > 10 {
		t.Errorf("%d late requests are sent to 40 slots when the group opens, want 1 to 10", late)
	}
	send("new")
	time.Sleep(100 * time.Millisecond)
	if sent, _ := a.count(); sent != late+1 {
		t.Errorf("%d sends, want those of %d late requests and the new one", sent, late)
	}
	time.Sleep(700 * time.Millisecond)
	if sent, _ := a.count(); sent != 31 {
		t.Errorf("%d sends one second before the callers disconnect, want all 31", sent)
	}
	close(release)
	all.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, request := range a.requests {
		want := strconv.Itoa(relay.LowestPriority)
		if request.Header.Get("Id") == "new" {
			want = "0"
		}
		if got := request.Header.Get("Priority"); got != want {
			t.Errorf("request %s has priority %s, want %s", request.Header.Get("Id"), got, want)
		}
	}
}

// TestAttemptWithoutRetryBudgetIsNotCancelled guards against work that is given up although it cannot be
// started elsewhere: a server is silent for 1.6 s while another one responds. With retry budget the
// request moves to the other server, without it it waits for the answer.
func TestAttemptWithoutRetryBudgetIsNotCancelled(t *testing.T) {
	for _, c := range []struct {
		floor   float64
		repeats int
	}{{0, 0}, {94, 1}} {
		silent := newBackend(t, func(conn *net.TCPConn, r *http.Request, n int) bool {
			time.Sleep(1600 * time.Millisecond)
			return complete(conn, r, n)
		})
		responsive := newBackend(t, complete)
		r := route(fleet.Safe)
		r.Timeout = 4 * time.Second
		s := newTestRelay(t, r, fleet.Service{}, c.floor, silent.server("a"), responsive.server("b"))
		s.balancer.Begin(time.Now(), "b", 0) // the first request goes to the silent server
		s.balancer.Begin(time.Now(), "b", 0)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if status, body, _, err := s.send(context.Background(), "first"); err != nil || status != 200 || body != "whole" {
				t.Errorf("retry floor %v: got %d %q %v, want 200", c.floor, status, body, err)
			}
		}()
		time.Sleep(900 * time.Millisecond)
		s.balancer.ResponseStarted(time.Now(), "b", time.Now())
		<-done
		if repeats, _ := responsive.count(); repeats != c.repeats {
			t.Errorf("retry floor %v: %d repeats at the other server, want %d", c.floor, repeats, c.repeats)
		}
	}
}

// TestLateCopyOfRefusalIsNotTakenForResponse guards against a request that is reported as not run, or sent to a
// second server, while a server runs it: a faulty server writes its earlier refusal once more on a kept
// connection, when the same request has come back on it.
func TestLateCopyOfRefusalIsNotTakenForResponse(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Unsafe} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			refused := make(map[net.Conn]bool)
			var mu sync.Mutex
			a := newBackend(t, func(c *net.TCPConn, r *http.Request, n int) bool {
				mu.Lock()
				again := refused[c]
				refused[c] = true
				mu.Unlock()
				if n == 0 || again {
					notRun(c, r, n)
				}
				if n == 0 {
					return true
				}
				time.Sleep(50 * time.Millisecond)
				return complete(c, r, n)
			})
			r := route(kind)
			s := newTestRelay(t, r, fleet.Service{}, 94, a.server("a"))
			status, body, _, err := s.send(context.Background(), "1")
			if err != nil || status != http.StatusOK || body != "whole" {
				t.Errorf("got status %d, %q, error %v; want the response of the run", status, body, err)
			}
			if sent, _ := a.count(); sent != 2 {
				t.Errorf("the server got the request %d times, want 2: refused once, run once", sent)
			}
		})
	}
}

// TestRefusedConnectionsDoNotUseRetryBudget guards against requests that are refused for lack of retry budget
// although no server has got them: servers that have ended refuse the connection, and another one is up.
func TestRefusedConnectionsDoNotUseRetryBudget(t *testing.T) {
	up := newBackend(t, complete)
	servers := []fleet.Server{up.server("up")}
	for n := range 2 {
		ended := newBackend(t, complete)
		_ = ended.listener.Close()
		servers = append(servers, ended.server(fmt.Sprint("ended-", n)))
	}
	s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 0, servers...)
	for n := range 20 {
		if status, _, _, err := s.send(context.Background(), strconv.Itoa(n)); err != nil || status != http.StatusOK {
			t.Errorf("request %d: status %d, error %v; want the response of the server that is up", n, status, err)
		}
	}
}

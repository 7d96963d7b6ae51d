package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/backendconn"
	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/relay"
	"github.com/fescuehub/fescuehub/pkg/retrybudget"
)

// dialect has headers of its own.
type dialect struct{}

func (dialect) EncodeAttempt(h http.Header, a relay.AttemptHeaders) {
	h.Set("Server", a.ServerID)
	h.Set("Left", strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	if a.LastEventID != "" {
		h.Set("Last", a.LastEventID)
	}
}

func (dialect) DecodeResponse(status int, h http.Header) relay.ResponseHeaders {
	return relay.ResponseHeaders{
		RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "" || status == 421, WrongServer: status == 421,
		GroupFault: h.Get("Fault") != "",
	}
}

// backend is a backend server that plays a script on raw connections.
type backend struct {
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	conns    int
	gone     chan struct{}
}

// reply answers the nth request to a server, counted from 0. The connection is
// closed where it returns false.
type reply func(c *net.TCPConn, r *http.Request, n int) bool

func newBackend(t *testing.T, play reply) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{listener: l, gone: make(chan struct{}, 64)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			b.mu.Unlock()
			go b.serve(c.(*net.TCPConn), play)
		}
	}()
	return b
}

func (b *backend) serve(c *net.TCPConn, play reply) {
	defer func() {
		_ = c.Close()
		b.gone <- struct{}{}
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
		if !play(c, r, n) {
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

func answer(status int, headers, body string) reply {
	return func(c *net.TCPConn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), headers, len(body), body)
		return true
	}
}

var (
	whole  = answer(200, "Seal: s\r\n", "whole")
	notRun = answer(503, "Not-Run: 1\r\n", "")
)

func reset(c *net.TCPConn, _ *http.Request, _ int) bool {
	_ = c.SetLinger(0)
	return false
}

// raw writes bytes and then resets or closes the connection.
func raw(text string, then reply) reply {
	return func(c *net.TCPConn, r *http.Request, n int) bool {
		fmt.Fprint(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		time.Sleep(20 * time.Millisecond) // the bytes arrive before a reset drops them
		return then(c, r, n)
	}
}

func closing(*net.TCPConn, *http.Request, int) bool { return false }

// site is a relay with its servers and an entry in front.
type site struct {
	front    *httptest.Server
	balancer *balance.Balancer
	mu       sync.Mutex
	reports  []relay.Report
}

func newSite(t *testing.T, route fleet.Route, service fleet.Service, floor float64, servers ...fleet.Server) *site {
	t.Helper()
	s := &site{balancer: balance.New()}
	s.balancer.SetServers(servers)
	budget := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Floor: floor, Window: 10 * time.Second}, time.Now())
	r := relay.New(dialect{}, backendconn.NewPools(), s.balancer, budget, func(string) {})
	service.Name = "s"
	s.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body) // httptest's clients send whole bodies
		q := &relay.Request{
			CallerHeaders: relay.CallerHeaders{ID: req.Header.Get("Id")}, Route: &route, Service: &service,
			Method: req.Method, Target: req.RequestURI, Host: "h", Header: relay.EndToEndHeaders(req.Header), Body: body, Arrived: time.Now(),
		}
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

func (s *site) send(ctx context.Context, id string) (int, string, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+"/p", strings.NewReader("body"))
	if err != nil {
		return 0, "", nil, err
	}
	req.Header.Set("Id", id)
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

// TestWhatMayBeRepeated plays one fault at the first server asked and a good
// answer at the other.
func TestWhatMayBeRepeated(t *testing.T) {
	faults := []struct {
		name string
		play reply
		// ran is true where the request may have run.
		ran bool
	}{
		{"turned away", notRun, false},
		{"another server", answer(421, "", ""), false},
		{"reset", reset, true},
		{"closed", closing, true},
		{"garbage", raw("what is this\r\n\r\n", closing), true},
		{"no seal", answer(200, "", "whole"), true},
		{"encoded", answer(200, "Seal: s\r\nContent-Encoding: br\r\n", "whole"), true},
		{"truncated", raw("HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 9\r\n\r\nwho", closing), true},
		{"reset without length", raw("HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n\r\nwho", reset), true},
		{"another's answer", raw("HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\nContent-Length: 5\r\n\r\nother", closing), true},
	}
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Unsafe} {
		for _, f := range faults {
			t.Run(string(kind)+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				// The first server that is asked plays the fault, whichever it is.
				var once sync.Once
				play := func(c *net.TCPConn, r *http.Request, n int) bool {
					faulty := false
					once.Do(func() { faulty = true })
					if faulty {
						return f.play(c, r, n)
					}
					return whole(c, r, n)
				}
				a, b := newBackend(t, play), newBackend(t, play)
				s := newSite(t, route(kind), fleet.Service{}, 94, a.server("a"), b.server("b"))
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

// TestNotRunIsTrue: a request that no server ran is refused with 503 and a time
// to come back, and is sent to no more servers than there are.
func TestNotRunIsTrue(t *testing.T) {
	a, b := newBackend(t, notRun), newBackend(t, notRun)
	for _, floor := range []float64{2, 94} { // without and with a budget left
		s := newSite(t, route(fleet.Unsafe), fleet.Service{}, floor, a.server("a"), b.server("b"))
		began := time.Now()
		status, _, header, err := s.send(context.Background(), "1")
		if err != nil || status != 503 || header.Get("Retry-After") == "" {
			t.Fatal(status, header, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("refused after %v, near the end of the caller's two seconds", took)
		}
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", id, id) }

func streamHead(extra string) string {
	return "HTTP/1.1 200 X\r\nId: ID\r\nSeal: first\r\nContent-Type: text/event-stream\r\n" + extra + "\r\n"
}

// TestStreamIsResumedOnce cuts a stream within an event: the caller gets each
// event once, in order, with the first answer's seal.
func TestStreamIsResumedOnce(t *testing.T) {
	play := func(c *net.TCPConn, r *http.Request, n int) bool {
		if r.Header.Get("Last") == "" {
			return raw(streamHead("")+event(1)+event(2)+"id: 3\ndat", reset)(c, r, n)
		}
		rest := event(3) + event(4)
		return answer(200, "Seal: second\r\n", rest)(c, r, n)
	}
	a, b := newBackend(t, play), newBackend(t, play)
	route := route(fleet.Streaming)
	route.Resumable = true
	s := newSite(t, route, fleet.Service{}, 94, a.server("a"), b.server("b"))
	status, body, header, err := s.send(context.Background(), "1")
	if want := event(1) + event(2) + event(3) + event(4); err != nil || status != 200 || body != want || header.Get("Seal") != "first" {
		t.Fatalf("%d %q %q %v", status, body, header.Get("Seal"), err)
	}
}

// TestStreamThatMayNotRepeatBreaksOff: a stream that can't be resumed ends
// visibly.
func TestStreamThatMayNotRepeatBreaksOff(t *testing.T) {
	a := newBackend(t, raw(streamHead("")+event(1)+"id: 2\n", reset))
	b := newBackend(t, raw(streamHead("")+event(1)+"id: 2\n", reset))
	s := newSite(t, route(fleet.Streaming), fleet.Service{}, 94, a.server("a"), b.server("b"))
	status, body, _, err := s.send(context.Background(), "1")
	sentA, _ := a.count()
	sentB, _ := b.count()
	if err == nil || status != 0 && body != event(1) || sentA+sentB != 1 {
		t.Fatalf("%d %q %v after %d sends", status, body, err, sentA+sentB)
	}
}

// TestSkippedEventIsNotJoined: a resumed run that leaves out an event is not
// passed on.
func TestSkippedEventIsNotJoined(t *testing.T) {
	play := func(c *net.TCPConn, r *http.Request, n int) bool {
		if r.Header.Get("Last") == "" {
			return raw(streamHead("")+event(1), reset)(c, r, n)
		}
		return answer(200, "Seal: s\r\n", event(3))(c, r, n)
	}
	a, b := newBackend(t, play), newBackend(t, play)
	route := route(fleet.Streaming)
	route.Resumable = true
	s := newSite(t, route, fleet.Service{}, 94, a.server("a"), b.server("b"))
	if _, body, _, err := s.send(context.Background(), "1"); err == nil || strings.Contains(body, "x3") {
		t.Fatalf("%q %v", body, err)
	}
}

// TestExtraBytesEndTheConnection: bytes after an answer belong to no request.
func TestExtraBytesEndTheConnection(t *testing.T) {
	extra := func(c *net.TCPConn, r *http.Request, n int) bool {
		whole(c, r, n)
		fmt.Fprint(c, "HTTP/1.1 200 X\r\nSeal: s\r\nContent-Length: 5\r\n\r\nextra")
		return true
	}
	a := newBackend(t, extra)
	s := newSite(t, route(fleet.Unsafe), fleet.Service{}, 94, a.server("a"))
	for n := range 4 {
		status, body, _, err := s.send(context.Background(), strconv.Itoa(n))
		if err != nil || status != 200 || body != "whole" {
			t.Fatal(status, body, err)
		}
		time.Sleep(10 * time.Millisecond) // the extra bytes arrive
	}
	if requests, conns := a.count(); conns != requests {
		t.Errorf("%d requests on %d connections", requests, conns)
	}
}

// TestConnectionsAreReused: good answers keep their connection.
func TestConnectionsAreReused(t *testing.T) {
	a := newBackend(t, answer(200, "Seal: s\r\nKeep-Alive: timeout=10\r\n", "whole"))
	s := newSite(t, route(fleet.Safe), fleet.Service{}, 94, a.server("a"))
	for n := range 5 {
		if status, _, _, err := s.send(context.Background(), strconv.Itoa(n)); err != nil || status != 200 {
			t.Fatal(status, err)
		}
	}
	if _, conns := a.count(); conns != 1 {
		t.Errorf("%d connections for 5 requests", conns)
	}
}

// TestCallerThatLeavesCancels: the server sees the end within half a second.
func TestCallerThatLeavesCancels(t *testing.T) {
	a := newBackend(t, func(*net.TCPConn, *http.Request, int) bool { time.Sleep(50 * time.Millisecond); return true })
	s := newSite(t, route(fleet.Safe), fleet.Service{}, 94, a.server("a"))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, _, _, err := s.send(ctx, "1"); err == nil {
		t.Fatal("an answer came")
	}
	select {
	case <-a.gone:
	case <-time.After(500 * time.Millisecond):
		t.Error("the server's connection is still open half a second later")
	}
}

// TestRouteTimeoutEndsTheWait: a silent server gives 504 at the route's timeout.
func TestRouteTimeoutEndsTheWait(t *testing.T) {
	a := newBackend(t, func(*net.TCPConn, *http.Request, int) bool { return true })
	r := route(fleet.Unsafe)
	r.Timeout = 200 * time.Millisecond
	s := newSite(t, r, fleet.Service{}, 94, a.server("a"))
	began := time.Now()
	status, _, _, err := s.send(context.Background(), "1")
	if took := time.Since(began); err != nil || status != 504 || took > 700*time.Millisecond {
		t.Fatal(status, err, took)
	}
}

// TestHopelessRequestIsRefusedAtOnce: a request whose first event would come after
// its caller has left is refused at once, told when to come back, and not sent.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	a := newBackend(t, whole)
	r := route(fleet.Streaming)
	r.TargetLatency, r.Timeout = 400*time.Millisecond, 8*time.Second
	s := newSite(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 12}}, 94, a.server("a"))
	s.balancer.UpdateGroup(time.Now(), "s", "", fleet.GroupOpen, []balance.EngineLoad{{Address: a.server("a").Address, Running: 12, Waiting: 24}})
	began := time.Now()
	status, _, header, err := s.send(context.Background(), "1")
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, %v", status, header.Get("Retry-After"), err)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if sent, _ := a.count(); sent != 0 {
		t.Error("the request was sent")
	}
}

// TestBrokenGroupIsWaitedFor answers a group that breaks for 700 ms under load:
// requests wait for it, and few of them go to servers that turn them away.
func TestBrokenGroupIsWaitedFor(t *testing.T) {
	opens := time.Now().Add(700 * time.Millisecond)
	play := func(c *net.TCPConn, r *http.Request, n int) bool {
		if time.Now().Before(opens) {
			return answer(503, "Not-Run: 1\r\nFault: x\r\n", "")(c, r, n)
		}
		return answer(200, "Seal: s\r\nContent-Type: text/event-stream\r\n", event(1))(c, r, n)
	}
	a, b := newBackend(t, play), newBackend(t, play)
	r := route(fleet.Streaming)
	r.Timeout = 8 * time.Second
	s := newSite(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 12}}, 94, a.server("a"), b.server("b"))
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
		t.Errorf("%d sends for 40 requests", sentA+sentB)
	}
}

// TestLateRequestsYield answers the seconds after an outage: 30 requests have waited for
// the group until they are late, and new ones come. The new ones are sent at once, most
// of the late ones a second before their callers leave at the latest.
func TestLateRequestsYield(t *testing.T) {
	release := make(chan struct{})
	a := newBackend(t, func(c *net.TCPConn, r *http.Request, n int) bool {
		<-release
		return answer(200, "Seal: s\r\nContent-Type: text/event-stream\r\n", event(1))(c, r, n)
	})
	r := route(fleet.Streaming)
	r.TargetLatency, r.Timeout = 400*time.Millisecond, 8*time.Second
	s := newSite(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 40}}, 94, a.server("a"))
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
		t.Errorf("%d late requests are sent at the opening to 40 slots", late)
	}
	send("new")
	time.Sleep(100 * time.Millisecond)
	if sent, _ := a.count(); sent != late+1 {
		t.Errorf("%d sends, want %d late ones and the new one", sent, late)
	}
	time.Sleep(700 * time.Millisecond)
	if sent, _ := a.count(); sent != 31 {
		t.Errorf("%d sends a second before callers leave, want all 31", sent)
	}
	close(release)
	all.Wait()
}

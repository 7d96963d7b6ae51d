package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// heldRequest sends a request with an urgency and returns the channel of its status and Retry-After; the status is 0 if
// the caller leaves.
func (s *testRelay) heldRequest(ctx context.Context, t *testing.T, id string, urgency int) <-chan [2]string {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+"/p", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", id)
	req.Header.Set("Urgency", strconv.Itoa(urgency))
	done := make(chan [2]string, 1)
	go func() {
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			done <- [2]string{"0", ""}
			return
		}
		_ = res.Body.Close()
		done <- [2]string{strconv.Itoa(res.StatusCode), res.Header.Get("Retry-After")}
	}()
	return done
}

// shortService starts a relay with one engine whose only slot is taken, and sends it an urgent request, so that less
// urgent ones are held. Their target latency is 1.2 s.
func shortService(t *testing.T) (*testRelay, *backend) {
	t.Helper()
	engine := newBackend(t, complete)
	r := route(fleet.Safe)
	r.TargetLatency = 1200 * time.Millisecond
	s := newTestRelay(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 1}}, 94, engine.server("a"))
	s.balancer.Begin(time.Now(), "a", 0)
	if got := <-s.heldRequest(context.Background(), t, "urgent", 0); got[0] != "200" {
		t.Fatalf("the most urgent request got %v, want 200 at once", got)
	}
	return s, engine
}

// waitUntilHeld waits until a request of priority 1 waits.
func (s *testRelay) waitUntilHeld(t *testing.T) {
	t.Helper()
	for range 100 {
		if s.relay.Waiting()[1] == 1 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the less urgent request is not held although no slot is free")
}

// TestLessUrgentRequestIsSentInItsTime guards against a held request that is sent when it is already late, refused, or sent
// with the priority of late requests.
func TestLessUrgentRequestIsSentInItsTime(t *testing.T) {
	s, engine := shortService(t)
	done := s.heldRequest(context.Background(), t, "held", 1)
	s.waitUntilHeld(t)
	select {
	case got := <-done:
		if got[0] != "200" {
			t.Errorf("got %v, want 200", got)
		}
	case <-time.After(1200 * time.Millisecond):
		t.Fatal("the request is not answered within its target latency")
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if last := engine.requests[len(engine.requests)-1]; last.Header.Get("Id") != "held" || last.Header.Get("Priority") != "1" {
		t.Errorf("the engine got request %q with priority %s, want the held one with priority 1", last.Header.Get("Id"), last.Header.Get("Priority"))
	}
}

// TestHeldRequestTakesFreeSlot guards against a request that waits on although the slots are free again.
func TestHeldRequestTakesFreeSlot(t *testing.T) {
	engine := newBackend(t, complete)
	r := route(fleet.Safe)
	r.TargetLatency = 1900 * time.Millisecond
	// Half of the arrivals are urgent, so that half of the 100 slots are left to them.
	s := newTestRelay(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 100}}, 94, engine.server("a"))
	for range 100 {
		s.balancer.Begin(time.Now(), "a", 0)
	}
	<-s.heldRequest(context.Background(), t, "urgent", 0)
	done := s.heldRequest(context.Background(), t, "held", 1)
	s.waitUntilHeld(t)
	// Requests at servers that are removed no longer count, so that all slots become free.
	s.balancer.SetServers(nil)
	s.balancer.SetServers([]fleet.Server{engine.server("a")})
	select {
	case got := <-done:
		if got[0] != "200" {
			t.Errorf("got %v, want 200", got)
		}
	case <-time.After(time.Second):
		t.Fatal("the request is still held 1 s after all slots became free, and 0.6 s before it is sent in any case")
	}
}

// TestCallerThatLeavesWhileHeldIsNotSent guards against a request that is sent after its caller has left, and against one
// that keeps its place.
func TestCallerThatLeavesWhileHeldIsNotSent(t *testing.T) {
	s, engine := shortService(t)
	ctx, leave := context.WithCancel(context.Background())
	done := s.heldRequest(ctx, t, "left", 1)
	s.waitUntilHeld(t)
	leave()
	<-done
	for range 100 {
		if s.relay.Waiting()[1] == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if n := s.relay.Waiting()[1]; n != 0 {
		t.Errorf("%d requests wait after the caller has left", n)
	}
	time.Sleep(1200 * time.Millisecond)
	if sent, _ := engine.count(); sent != 1 {
		t.Errorf("the engine got %d requests, want only the urgent one", sent)
	}
}

// TestDrainWhileHeld guards against a request that waits on, or is sent, after this process can no longer finish it: it is
// refused at once for another entry.
func TestDrainWhileHeld(t *testing.T) {
	s, engine := shortService(t)
	done := s.heldRequest(context.Background(), t, "held", 1)
	s.waitUntilHeld(t)
	s.admission.closed.Store(true)
	select {
	case got := <-done:
		if got[0] != "503" || got[1] != "0.02" {
			t.Errorf("got status and Retry-After %v, want 503 and 0.02", got)
		}
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request is still held")
	}
	if sent, _ := engine.count(); sent != 1 {
		t.Errorf("the engine got %d requests, want only the urgent one", sent)
	}
}

// TestWaitForGroupExemptsNoSinglePriority guards against a change for services with one priority and one organisation: a
// request that has waited for its group, and not for other requests, is still refused if its caller would leave before
// its first event.
func TestWaitForGroupExemptsNoSinglePriority(t *testing.T) {
	engine := newBackend(t, complete)
	r := route(fleet.Streaming)
	r.TargetLatency, r.Timeout = time.Second, 8*time.Second
	s := newTestRelay(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 1}}, 94, engine.server("a"))
	for range 20 {
		s.balancer.Begin(time.Now(), "a", 0) // the expected wait for a slot is 34 s
	}
	s.balancer.UpdateGroup(time.Now(), "s", "", fleet.GroupBroken, nil)
	time.AfterFunc(300*time.Millisecond, func() { s.balancer.UpdateGroup(time.Now(), "s", "", fleet.GroupOpen, nil) })
	if status, _, _, err := s.send(context.Background(), "waits"); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, %v, want 503", status, err)
	}
	if sent, _ := engine.count(); sent != 0 {
		t.Errorf("the engine got %d requests", sent)
	}
}

// TestOnlyLateRequestWithSlotProbesGroup guards against late requests that use up the probes of a broken group without a
// late slot, so that none is sent and nobody notices that the group serves again.
func TestOnlyLateRequestWithSlotProbesGroup(t *testing.T) {
	engine := newBackend(t, complete)
	r := route(fleet.Streaming)
	r.TargetLatency, r.Timeout = 300*time.Millisecond, 8*time.Second
	s := newTestRelay(t, r, fleet.Service{Engine: &fleet.Engine{Slots: 4}}, 94, engine.server("a"))
	s.balancer.ReportGroupFault(time.Now(), "a") // one late slot; the first probe is 0.3 s from now
	for n := range 40 {
		s.heldRequest(context.Background(), t, strconv.Itoa(n), 0)
	}
	time.Sleep(800 * time.Millisecond) // each request checks every 50 ms
	if sent, _ := engine.count(); sent == 0 {
		t.Error("no request has probed the group 0.5 s after the first probe was due")
	}
}

package relay_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
)

// quarantinePart puts a part of prompts in quarantine.
func (s *testRelay) quarantinePart(id string) {
	s.prompts.Restore(time.Now(), quarantine.Part{Service: "s", ID: id}, 1, 1)
}

// TestQuarantinedPromptIsRefusedAtOnce guards against a prompt that crashes servers and that is sent on, or
// held until its deadline: it must be refused at once, with the time after which it may be tried again.
func TestQuarantinedPromptIsRefusedAtOnce(t *testing.T) {
	a := newBackend(t, complete)
	s := newTestRelay(t, route(fleet.Safe), fleet.Service{}, 94, a.server("a"))
	s.quarantinePart("bad")
	began := time.Now()
	status, _, header, err := s.send(context.Background(), "1", "first", "bad")
	if took := time.Since(began); err != nil || status != http.StatusServiceUnavailable || took > 200*time.Millisecond {
		t.Errorf("got status %d after %v, error %v; want 503 at once", status, took, err)
	}
	if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || seconds < 120 {
		t.Errorf("Retry-After is %q, want at least the 120 s of the quarantine", header.Get("Retry-After"))
	}
	if sent, _ := a.count(); sent != 0 {
		t.Error("the request was sent to a server")
	}
	if status, body, _, err := s.send(context.Background(), "2", "first", "good"); err != nil || status != 200 || body != "whole" {
		t.Errorf("a request that shares the first part only: status %d, %q, %v; want the response", status, body, err)
	}
}

// TestWaitingRequestIsRefusedWhenItsPromptIsQuarantined guards against requests that wait for a server while
// a part of their prompt becomes known to crash servers: they must not be sent any more.
func TestWaitingRequestIsRefusedWhenItsPromptIsQuarantined(t *testing.T) {
	a := newBackend(t, complete)
	server := a.server("a")
	server.Group = "g"
	s := newTestRelay(t, route(fleet.Safe), fleet.Service{Engine: &fleet.Engine{Slots: 12}}, 94, server)
	s.balancer.UpdateGroup(time.Now(), "s", "g", fleet.GroupBroken, nil)
	time.AfterFunc(200*time.Millisecond, func() { s.quarantinePart("bad") })
	began := time.Now()
	status, _, header, err := s.send(context.Background(), "1", "first", "bad")
	if took := time.Since(began); took < 150*time.Millisecond || took > time.Second {
		t.Errorf("refused after %v, want soon after the part was quarantined", took)
	}
	if sent, _ := a.count(); err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || sent != 0 {
		t.Errorf("got status %d with Retry-After %q after %d sends, error %v; want 503 after none", status, header.Get("Retry-After"), sent, err)
	}
}

// TestAttemptIsCancelledWhenItsPromptIsQuarantined guards against a request that waits at a server and would
// crash it: the attempt must end, and the answer must not promise that it has not run.
func TestAttemptIsCancelledWhenItsPromptIsQuarantined(t *testing.T) {
	gone := make(chan bool, 1)
	a := newBackend(t, func(c *net.TCPConn, _ *http.Request, _ int) bool {
		_, err := c.Read(make([]byte, 1))
		gone <- err != nil
		return false
	})
	s := newTestRelay(t, route(fleet.Safe), fleet.Service{}, 94, a.server("a"))
	time.AfterFunc(100*time.Millisecond, func() { s.quarantinePart("bad") })
	began := time.Now()
	status, _, _, err := s.send(context.Background(), "1", "first", "bad")
	if took := time.Since(began); err != nil || status != http.StatusBadGateway || took > time.Second {
		t.Errorf("got status %d after %v, error %v; want 502 soon after the quarantine", status, took, err)
	}
	if !<-gone {
		t.Error("the connection to the server was not closed")
	}
}

// TestRequestIsRepeatedOnlyWithSoundPromptAfterServerEnded guards against a repeat that crashes a second
// server: after the end of a server, a request is sent to another one only if its prompt has been answered
// before. A server that only closes the connection is no reason not to repeat.
func TestRequestIsRepeatedOnlyWithSoundPromptAfterServerEnded(t *testing.T) {
	for name, c := range map[string]struct {
		part       string
		survives   bool
		wantStatus int
		wantSends  int
	}{
		"known to be sound": {"good", false, 200, 2},
		"not known":         {"new", false, 502, 1},
		"server still runs": {"new", true, 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := failFirst(t, func(own *backend) reply { return own.end(c.survives) }, complete)
			s := newTestRelay(t, route(fleet.Safe), fleet.Service{}, 94, a.server("a"), b.server("b"))
			s.prompts.RecordAnswered(time.Now(), "s", []string{"first", "good"})
			status, _, _, err := s.send(context.Background(), "1", "first", c.part)
			sentA, _ := a.count()
			sentB, _ := b.count()
			if err != nil || status != c.wantStatus || sentA+sentB != c.wantSends {
				t.Errorf("got status %d after %d sends, error %v; want %d after %d", status, sentA+sentB, err, c.wantStatus, c.wantSends)
			}
		})
	}
}

// TestOnlySuccessfulResponseMakesPromptSound guards against a part that crashes servers and is taken for sound
// because a server answered it with a failure before it began to write, or with a stream without events.
func TestOnlySuccessfulResponseMakesPromptSound(t *testing.T) {
	for name, c := range map[string]struct {
		kind    fleet.Kind
		respond reply
		want    bool
	}{
		"whole response":        {fleet.Safe, complete, true},
		"not found":             {fleet.Safe, respondWith(404, "Seal: s\r\n", "no"), false},
		"server error":          {fleet.Unsafe, respondWith(500, "Seal: s\r\n", "failed"), false},
		"refused":               {fleet.Unsafe, notRun, false},
		"whole short stream":    {fleet.Streaming, respondWith(200, "Seal: s\r\n", event(1)), true},
		"stream without events": {fleet.Streaming, respondWith(200, "Seal: s\r\n", ""), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, c.respond)
			s := newTestRelay(t, route(c.kind), fleet.Service{}, 2, a.server("a"))
			if _, _, _, err := s.send(context.Background(), "1", "first", "part"); err != nil {
				t.Fatal(err)
			}
			if got := s.prompts.MayRepeat(time.Now(), "s", []string{"first", "part"}); got != c.want {
				t.Errorf("the prompt is known to be sound: %v, want %v", got, c.want)
			}
		})
	}
}

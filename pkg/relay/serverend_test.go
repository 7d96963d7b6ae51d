package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// crash ends a backend: it closes the listener and the connection.
func (b *backend) crash(c *net.TCPConn, _ *http.Request, _ int) bool {
	_ = b.listener.Close()
	return false
}

// TestEndOfServerUnderRequestIsReported guards against requests that end one server after the other
// without a trace of what they have in common: the parts of the prompt must be reported if the server
// ended before it had answered two events, and must not be if the server still runs or had answered.
func TestEndOfServerUnderRequestIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		text          string
		survives      bool
		wantReport    bool
		responseBegun bool
	}{
		"ended without a response":     {"", false, true, false},
		"ended after the headers":      {streamHead("Transfer-Encoding: chunked\r\n"), false, true, true},
		"ended within the first event": {streamHead("") + "id: 1\nda", false, true, true},
		"ended after two events":       {streamHead("Transfer-Encoding: chunked\r\n") + chunk(event(1)+event(2)), false, false, true},
		"closed the connection only":   {"", true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var b *backend
			b = newBackend(t, func(conn *net.TCPConn, r *http.Request, n int) bool {
				end := b.crash
				if c.survives {
					end = closeConn
				}
				return writeRaw(c.text, end)(conn, r, n)
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
			if c.wantReport && (len(s.ended[0].SharedParts) != 2 || s.ended[0].RequestID != "1" || s.ended[0].ResponseBegun != c.responseBegun) {
				t.Errorf("reported %+v, want request 1 with its two shared parts and ResponseBegun %v", s.ended[0], c.responseBegun)
			}
		})
	}
}

// chunk encodes text as one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/standin/rawserver"
)

// refusalStatuses are those that tell a caller that its request has not run and never will.
var refusalStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// uncertifiedForms are the forms of a failure, without its status line, that does not certify that the request did not run.
var uncertifiedForms = map[string]string{
	"length":           "Seal: s\r\nContent-Length: 4\r\n\r\nbody",
	"unsigned":         "Content-Length: 4\r\n\r\nbody",
	"empty":            "Seal: s\r\nContent-Length: 0\r\n\r\n",
	"chunks":           "Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"until close":      "Seal: s\r\n\r\nbody",
	"long":             "Seal: s\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 300000),
	"long, chunks":     "Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" + strings.Repeat("x", 300000) + "\r\n0\r\n\r\n",
	"body held back":   "Seal: s\r\nContent-Length: 4\r\n\r\nbo",
	"retry after":      "Seal: s\r\nRetry-After: 2\r\nContent-Length: 4\r\n\r\nbody",
	"leaving":          "Seal: s\r\nLeaving: 1\r\nContent-Length: 4\r\n\r\nbody",
	"fault of a group": "Seal: s\r\nFault: b\r\nContent-Length: 4\r\n\r\nbody",
	"events":           "Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n",
}

// uncertified returns a failure in one of uncertifiedForms.
func uncertified(status int, form string) rawserver.Answer {
	a := rawserver.Answer{Text: fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\n%s", status, uncertifiedForms[form]), AfterUpload: true}
	if form == "until close" {
		a.End = rawserver.Close
	}
	return a
}

// TestUncertifiedRefusalIsNotPassedOn guards against an unsafe request that runs twice: a server that has run it fails it
// with a status that tells callers to send it again, because it states that nothing has run.
func TestUncertifiedRefusalIsNotPassedOn(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Unsafe, fleet.Streaming} {
		for _, status := range refusalStatuses {
			for form := range uncertifiedForms {
				t.Run(fmt.Sprint(kind, "/", status, "/", form), func(t *testing.T) {
					t.Parallel()
					failing := startServer(t, uncertified(status, form))
					s := newTestRelay(t, route(kind), fleet.Service{}, 1000, serverAt("a", failing))
					began := time.Now()
					got, body, header, err := s.send(context.Background(), "1")
					if err != nil || got != http.StatusBadGateway || !strings.Contains(body, strconv.Itoa(status)) {
						t.Errorf("status %d, %.80q, %v; want 502 that names the server's status", got, body, err)
					}
					if header.Get("Seal") != "" || header.Get("Retry-After") != "" {
						t.Errorf("signature %q and Retry-After %q of the server on another status", header.Get("Seal"), header.Get("Retry-After"))
					}
					if took := time.Since(began); took > time.Second {
						t.Errorf("answered after %v, want at once", took)
					}
					if failing.Requests() != 1 {
						t.Errorf("%d sends, want 1", failing.Requests())
					}
				})
			}
		}
	}
}

// TestUncertifiedRefusalAfterCertifiedOne guards against an unsafe request that counts as not run because the first of
// two servers has certified that.
func TestUncertifiedRefusalAfterCertifiedOne(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Unsafe, fleet.Streaming} {
		for _, status := range refusalStatuses {
			t.Run(fmt.Sprint(kind, "/", status), func(t *testing.T) {
				t.Parallel()
				a, b := failFirst(t, func(*backend) reply { return notRun }, respondWith(status, "Seal: s\r\n", "body"))
				s := newTestRelay(t, route(kind), fleet.Service{}, 1000, a.server("a"), b.server("b"))
				got, body, _, err := s.send(context.Background(), "1")
				if err != nil || got != http.StatusBadGateway {
					t.Errorf("status %d, %q, %v; want 502, since the second server may have run the request", got, body, err)
				}
				sentA, _ := a.count()
				sentB, _ := b.count()
				if sentA != 1 || sentB != 1 {
					t.Errorf("%d and %d sends, want one each", sentA, sentB)
				}
			})
		}
	}
}

// TestCertifiedRefusalIsRetried guards against refusals that count as failures because of their status: other servers
// are tried, and a request that all refuse is refused with a Retry-After.
func TestCertifiedRefusalIsRetried(t *testing.T) {
	for _, status := range append(refusalStatuses, http.StatusBadRequest) {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			certified := respondWith(status, "Not-Run: 1\r\nSeal: s\r\n", "body")
			a, b := failFirst(t, func(*backend) reply { return certified }, complete)
			s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, a.server("a"), b.server("b"))
			if got, body, _, err := s.send(context.Background(), "1"); err != nil || got != 200 || body != "whole" {
				t.Errorf("status %d, %q, %v; want the answer of the other server", got, body, err)
			}
			c := newBackend(t, certified)
			s = newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, c.server("c"))
			got, _, header, err := s.send(context.Background(), "2")
			if err != nil || got != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
				t.Errorf("status %d, Retry-After %q, %v; want 503 with a Retry-After", got, header.Get("Retry-After"), err)
			}
		})
	}
}

// TestFailureThatPromisesNothingIsUnchanged guards against failures of servers that callers no longer get as they are.
func TestFailureThatPromisesNothingIsUnchanged(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Unsafe, fleet.Safe, fleet.Streaming} {
		for _, status := range []int{400, 404, 409, 500, 501, 502, 504} {
			t.Run(fmt.Sprint(kind, "/", status), func(t *testing.T) {
				t.Parallel()
				a := newBackend(t, respondWith(status, "Seal: s\r\n", "failed"))
				s := newTestRelay(t, route(kind), fleet.Service{}, 1000, a.server("a"))
				got, body, header, err := s.send(context.Background(), "1")
				if err != nil || got != status || body != "failed" || header.Get("Seal") != "s" {
					t.Errorf("status %d, %q, signature %q, %v; want the server's %d", got, body, header.Get("Seal"), err, status)
				}
			})
		}
	}
}

// TestRepeatableRequestKeepsUncertifiedRefusal guards against failures of servers that are replaced where nothing can be
// promised wrongly, because the request may run again: another server is tried after a 503.
func TestRepeatableRequestKeepsUncertifiedRefusal(t *testing.T) {
	resumable := route(fleet.Streaming)
	resumable.Resumable = true
	for name, r := range map[string]fleet.Route{"safe": route(fleet.Safe), "resumable": resumable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, status := range refusalStatuses {
				a := newBackend(t, respondWith(status, "Seal: s\r\n", "failed"))
				s := newTestRelay(t, r, fleet.Service{}, 1000, a.server("a"))
				got, body, header, err := s.send(context.Background(), "1")
				if err != nil || got != status || body != "failed" || header.Get("Seal") != "s" {
					t.Errorf("status %d, %q, signature %q, %v; want the server's %d", got, body, header.Get("Seal"), err, status)
				}
			}
		})
	}
}

// TestServerThatFailsWith503CountsAsFailing guards against a server that keeps its share of the requests while it fails
// them: its failures must not pass for answers, nor for those of a full server, which asks for a pause.
func TestServerThatFailsWith503CountsAsFailing(t *testing.T) {
	const requests = 200
	for name, headers := range map[string]string{"plain": "", "retry after": "Retry-After: 30\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failing, sound := newBackend(t, respondWith(503, "Seal: s\r\n"+headers, "failed")), newBackend(t, complete)
			s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, failing.server("a"), sound.server("b"))
			for n := range requests {
				if _, _, _, err := s.send(context.Background(), strconv.Itoa(n)); err != nil {
					t.Fatal(err)
				}
			}
			got, _ := failing.count()
			if got > requests/4 {
				t.Errorf("the failing server got %d of %d requests, as if it were sound", got, requests)
			}
			if !s.balancer.Accepts(time.Now(), failing.server("a")) {
				t.Error("the server is paused as an overloaded one")
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, report := range s.reports {
				for _, a := range report.Attempts {
					if a.Uncertified != (a.Status == http.StatusServiceUnavailable) {
						t.Errorf("attempt with status %d: Uncertified is %v", a.Status, a.Uncertified)
					}
				}
			}
		})
	}
}

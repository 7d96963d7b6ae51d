package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/standin/rawserver"
)

// malformedStatuses are responses whose status is not a number from 100 to 999, or switches to a protocol that the
// request does not ask for. Those that go on hold a head where the body of such a response would be.
var malformedStatuses = map[string]string{
	"000":                    "HTTP/1.1 000 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\nwhat",
	"000 and a second head":  "HTTP/1.1 000 X\r\nId: ID\r\nSeal: s\r\n\r\n" + soundAnswer,
	"000 of the same length": "HTTP/1.1 000 X\r\nId: ID\r\nSeal: s\r\nContent-Length: " + strconv.Itoa(len(soundAnswer)) + "\r\n\r\n" + soundAnswer,
	"099 and a second head":  "HTTP/1.1 099 X\r\nId: ID\r\nSeal: s\r\n\r\n" + soundAnswer,
	"a sign":                 "HTTP/1.1 +20 X\r\nId: ID\r\nSeal: s\r\n\r\n" + soundAnswer,
	"a minus sign":           "HTTP/1.1 -00 X\r\nId: ID\r\nSeal: s\r\n\r\n" + soundAnswer,
	"other protocol":         "HTTP/1.1 101 X\r\nId: ID\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + soundAnswer,
	"000 after an interim":   "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\nId: ID\r\nSeal: s\r\n\r\n" + soundAnswer,
	"letters":                "HTTP/1.1 2OO X\r\nId: ID\r\nSeal: s\r\n\r\nwhat",
	"four digits":            "HTTP/1.1 2000 X\r\nId: ID\r\nSeal: s\r\n\r\nwhat",
	"none":                   "HTTP/1.1  \r\nId: ID\r\nSeal: s\r\n\r\nwhat",
}

const soundAnswer = "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nother"

// TestMalformedStatusIsNotAnAnswer guards against an answer that is taken from the bytes that follow a status which is none.
func TestMalformedStatusIsNotAnAnswer(t *testing.T) { requireMalformed(t, malformedStatuses) }

// malformedNames are responses in whose heads the name of a field is not a token (RFC 9110, section 5.6.2). Some of them
// state the length of their body under such a name.
var malformedNames = map[string]string{
	"blank before the colon":         "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Length : 5\r\n\r\nother and more",
	"chunks, blank before the colon": "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 15\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
	"blank within":                   "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nX Y: z\r\nContent-Length: 5\r\n\r\nother",
	"blank within, no body":          "HTTP/1.1 204 X\r\nId: ID\r\nSeal: s\r\nX Y: z\r\n\r\n",
	"blank in a failure":             "HTTP/1.1 404 X\r\nId: ID\r\nSeal: s\r\nX Y: z\r\nContent-Length: 5\r\n\r\nother",
	"text in place of a field":       "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nfailed to load: model\r\nContent-Length: 5\r\n\r\nother",
	"only blanks":                    "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nX: y\r\n : z\r\n: z\r\nContent-Length: 5\r\n\r\nother",
	"informational":                  "HTTP/1.1 103 X\r\nContent-Length : 5\r\n\r\n" + soundAnswer,
	"tab":                            "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nX\tY: z\r\nContent-Length: 5\r\n\r\nother",
	"control byte":                   "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nX\x01: z\r\nContent-Length: 5\r\n\r\nother",
	"byte 0":                         "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nX\x00Y: z\r\nContent-Length: 5\r\n\r\nother",
	"carriage return":                "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nX\rY: z\r\nContent-Length: 5\r\n\r\nother",
	"delete":                         "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nX\x7f: z\r\nContent-Length: 5\r\n\r\nother",
	"not ASCII":                      "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nXé: z\r\nContent-Length: 5\r\n\r\nother",
	"parenthesis":                    "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nX(: z\r\nContent-Length: 5\r\n\r\nother",
	"long name":                      "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n" + strings.Repeat("x \xff", 10<<10) + ": z\r\nContent-Length: 5\r\n\r\nother",
	"long name, blank":               "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n" + strings.Repeat("x y", 10<<10) + ": z\r\nContent-Length: 5\r\n\r\nother",
	"longer than the limit":          "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n" + strings.Repeat("X: y\r\n", 20<<10) + "\r\n",
	"no colon":                       "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nwhat\r\nContent-Length: 5\r\n\r\nother",
}

// TestMalformedNameIsNotAnAnswer guards against an answer with another body than its server's, or with a line that is no
// field.
func TestMalformedNameIsNotAnAnswer(t *testing.T) { requireMalformed(t, malformedNames) }

// requireMalformed checks that none of the responses reaches a caller: a repeatable request is answered by another
// server, any other one gets 502, and the connection is not used again.
func requireMalformed(t *testing.T, responses map[string]string) {
	const requests = 4
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for kind, kept := range map[fleet.Kind]string{fleet.Unsafe: "", fleet.Safe: "", fleet.Streaming: "Content-Type: text/event-stream\r\n"} {
				broken := startServer(t, rawserver.Answer{Text: strings.Replace(text, "\r\nSeal", "\r\n"+kept+"Seal", 1), AfterUpload: true})
				s := newTestRelay(t, route(kind), fleet.Service{}, 1000, serverAt("a", broken))
				for n := range requests {
					status, body, _, err := s.send(context.Background(), strconv.Itoa(n))
					if err != nil || status != http.StatusBadGateway {
						t.Errorf("%s request: status %d, %q, %v; want 502", kind, status, body, err)
					}
					s.balancer.SetServers([]fleet.Server{serverAt("a", broken)}) // the next request does not avoid it
				}
				s.requireLogged(t, true)
				if broken.Connections() != broken.Requests() {
					t.Errorf("%s requests: %d on %d connections, want one on each", kind, broken.Requests(), broken.Connections())
				}
			}
			broken := startServer(t, rawserver.Answer{Text: text, AfterUpload: true})
			sound := startServer(t, rawserver.Answer{Text: "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole", AfterUpload: true})
			servers := []fleet.Server{serverAt("a", broken), serverAt("b", sound)}
			s := newTestRelay(t, route(fleet.Safe), fleet.Service{}, 1000, servers...)
			for n := range requests {
				status, body, _, err := s.send(context.Background(), strconv.Itoa(n))
				if err != nil || status != http.StatusOK || body != "whole" {
					t.Errorf("status %d, %q, %v; want the answer of the other server", status, body, err)
				}
				s.balancer.SetServers(servers)
			}
		})
	}
}

// requireLogged checks that all attempts are recorded as malformed or that none is, each with a short printable error.
func (s *testRelay) requireLogged(t *testing.T, malformed bool) {
	t.Helper()
	const maxErrorBytes = 400
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range s.reports {
		for _, a := range report.Attempts {
			printable := strings.IndexFunc(a.Error, func(c rune) bool { return !strconv.IsPrint(c) }) < 0 && utf8.ValidString(a.Error)
			if a.Malformed != malformed || a.Error == "" || len(a.Error) > maxErrorBytes || !printable {
				t.Errorf("recorded %q with Malformed %v; want %v and a printable error of at most %d bytes", a.Error, a.Malformed, malformed, maxErrorBytes)
			}
		}
	}
}

// TestOtherFailureIsNotMalformed guards against a count of malformed responses that holds servers which are cut off.
func TestOtherFailureIsNotMalformed(t *testing.T) {
	for name, a := range map[string]rawserver.Answer{
		"no answer":          {AfterUpload: true, End: rawserver.Close},
		"reset":              {AfterUpload: true, End: rawserver.Reset},
		"part of the status": {Text: "HTTP/1.1 2", AfterUpload: true, End: rawserver.Close},
		"part of a field":    {Text: "HTTP/1.1 200 X\r\nId: I", AfterUpload: true, End: rawserver.Close},
		"part of the body":   {Text: "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 9\r\n\r\npart", AfterUpload: true, End: rawserver.Close},
		"no signature":       {Text: "HTTP/1.1 200 X\r\nId: ID\r\nContent-Length: 5\r\n\r\nwhole", AfterUpload: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, serverAt("a", startServer(t, a)))
			status, body, _, err := s.send(context.Background(), "1")
			if err != nil || status != http.StatusBadGateway {
				t.Errorf("status %d, %q, %v; want 502", status, body, err)
			}
			s.requireLogged(t, false)
		})
	}
}

// TestUnusualStatusIsAnAnswer guards against allowed responses that count as malformed.
func TestUnusualStatusIsAnAnswer(t *testing.T) {
	const rest = "Id: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole"
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"no reason phrase":           {"HTTP/1.1 200\r\n" + rest, 200},
		"empty reason phrase":        {"HTTP/1.1 200 \r\n" + rest, 200},
		"status without a name":      {"HTTP/1.1 299 X\r\n" + rest, 299},
		"client error without name":  {"HTTP/1.1 499 X\r\n" + rest, 499},
		"server error without name":  {"HTTP/1.1 599 X\r\n" + rest, 599},
		"informational answers":      {"HTTP/1.1 100\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: <a>\r\n\r\nHTTP/1.1 200 X\r\n" + rest, 200},
		"unknown informational code": {"HTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 X\r\n" + rest, 200},
		"HTTP/1.0":                   {"HTTP/1.0 200 X\r\n" + rest, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := startServer(t, rawserver.Answer{Text: c.text, AfterUpload: true})
			s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, serverAt("a", a))
			status, body, _, err := s.send(context.Background(), "1")
			if err != nil || status != c.want || body != "whole" {
				t.Errorf("status %d, %q, %v; want the whole answer with status %d", status, body, err, c.want)
			}
		})
	}
}

// TestUnusualFieldIsPartOfAnAnswer guards against allowed fields that count as malformed or are lost.
func TestUnusualFieldIsPartOfAnAnswer(t *testing.T) {
	const name = "x!#$%&'*+-.^_|~`9"
	a := startServer(t, rawserver.Answer{Text: "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n" + name + ": odd\r\nEmpty:\r\nBlank: \t \r\ncontent-length:5\r\n\r\nwhole", AfterUpload: true})
	s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, serverAt("a", a))
	status, body, header, err := s.send(context.Background(), "1")
	if err != nil || status != http.StatusOK || body != "whole" {
		t.Errorf("status %d, %q, %v; want the whole answer", status, body, err)
	}
	for name, want := range map[string]string{name: "odd", "Empty": "", "Blank": ""} {
		if values := header[http.CanonicalHeaderKey(name)]; len(values) != 1 || values[0] != want {
			t.Errorf("field %s has the values %q, want %q", name, values, want)
		}
	}
}

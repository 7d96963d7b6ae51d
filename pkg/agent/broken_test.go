package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/standin/rawserver"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

const (
	// longUpload does not fit into the buffers of a connection.
	longUpload = 4 << 20
	// resetPause is longer than an answer takes to arrive.
	resetPause = 20 * time.Millisecond
)

// testAgent is an agent beside a raw server, and a client that reads its frames as an entry does.
type testAgent struct {
	agent   *Agent
	address string
	client  *agentlink.Client
	server  *rawserver.Server
}

func newTestAgent(t *testing.T, kind string, a rawserver.Answer) *testAgent {
	t.Helper()
	server, err := rawserver.Start(func(*http.Request) rawserver.Answer { return a })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s := settings.Agent{Name: "agent-1", Pool: "p", Backend: settings.Backend{Kind: kind, URL: "http://" + server.Address()}}
	metrics := telemetry.NewMetrics()
	t.Cleanup(metrics.Close)
	own := New(s, zap.NewNop(), metrics, NewBackend(s), logservice.New("http://127.0.0.1:1"))
	front := httptest.NewServer(own.dataHandler())
	t.Cleanup(front.Close)
	return &testAgent{agent: own, address: strings.TrimPrefix(front.URL, "http://"), client: agentlink.NewClient(), server: server}
}

// received is what a caller gets of an answer.
type received struct {
	status int
	body   string
	whole  bool
}

// send sends one attempt with a body of a number of bytes.
func (a *testAgent) send(t *testing.T, request agentlink.AttemptRequest, bytes int) (received, error) {
	t.Helper()
	request.Attempt, request.Incarnation = ident.NewAttemptID(), a.agent.incarnation
	request.Pool, request.Method, request.Path, request.DeadlineMS = "p", http.MethodPost, "/p", 5000
	reader, err := a.client.Start(context.Background(), a.address, request, []byte(strings.Repeat("u", bytes)))
	if err != nil {
		return received{}, err
	}
	defer reader.Close()
	assembler := answer.New(request.Stream, 1<<20)
	assembler.BeginAttempt(request.Attempt)
	var got received
	for !assembler.Complete() {
		f, err := reader.Next()
		if err != nil {
			return got, err
		}
		out, err := assembler.Accept(f)
		if err != nil {
			return got, err
		}
		if out.Head != nil {
			got.status = out.Head.Status
		}
		got.body += string(out.Data)
		got.whole = out.Done
	}
	return got, nil
}

func (a *testAgent) permit() string {
	block := a.agent.writes.issuePermits(1)
	return writeonce.NewPermit(block.Incarnation, time.Duration(block.IssuedMS)*time.Millisecond, block.First).String()
}

// requestKinds are the kinds of requests that an agent sends to its backend server. Each call returns a request of its own.
var requestKinds = map[string]struct {
	backend string
	request func(*testAgent) agentlink.AttemptRequest
}{
	"model":              {settings.EngineBackend, func(*testAgent) agentlink.AttemptRequest { return agentlink.AttemptRequest{} }},
	"plain call":         {settings.ServiceBackend, func(*testAgent) agentlink.AttemptRequest { return agentlink.AttemptRequest{} }},
	"unrepeatable write": {settings.ServiceBackend, func(a *testAgent) agentlink.AttemptRequest { return agentlink.AttemptRequest{Key: a.permit()} }},
}

// TestAnswerResetDuringUploadIsNotWhole guards against a part of an answer that passes for the whole one: its end is
// known only by its connection, and the backend server resets that while the upload is still being written.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	const uploads = 8
	const untilClose = "HTTP/1.1 200 X\r\n\r\n"
	answers := map[string]rawserver.Answer{
		"reset":               {Text: untilClose + "part", Pause: resetPause, End: rawserver.Reset},
		"not found":           {Text: "HTTP/1.1 404 X\r\n\r\npart", Pause: resetPause, End: rawserver.Reset},
		"HTTP/1.0":            {Text: "HTTP/1.0 200 X\r\n\r\npart", Pause: resetPause, End: rawserver.Reset},
		"long":                {Text: untilClose + strings.Repeat("x", 300<<10), Pause: resetPause, End: rawserver.Reset},
		"upload left unread":  {Text: untilClose + "part", Pause: resetPause, End: rawserver.CloseUnread},
		"reset without pause": {Text: untilClose + "part", End: rawserver.Reset},
	}
	for kind, k := range requestKinds {
		for name, c := range answers {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				a := newTestAgent(t, k.backend, c)
				for n := range uploads {
					if got, err := a.send(t, k.request(a), longUpload); err == nil {
						t.Errorf("upload %d: status %d and %d bytes passed for a whole answer", n, got.status, len(got.body))
					}
				}
				if a.server.Requests() < uploads {
					t.Errorf("the server got %d of %d requests", a.server.Requests(), uploads)
				}
			})
		}
	}
}

// TestEarlyWholeAnswerToUpload guards against whole answers that count as broken because the backend server sends them
// before it has read the upload.
func TestEarlyWholeAnswerToUpload(t *testing.T) {
	const uploads = 8
	text := strings.Repeat("whole", 10<<10)
	length := "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	answers := map[string]rawserver.Answer{
		"until close, upload read":       {Text: "HTTP/1.1 200 X\r\n\r\n" + text, End: rawserver.CloseSending},
		"until close, upload read first": {Text: "HTTP/1.1 200 X\r\n\r\n" + text, AfterUpload: true, End: rawserver.Close},
		"length, upload read":            {Text: "HTTP/1.1 200 X\r\n" + length},
		"length, reset":                  {Text: "HTTP/1.1 200 X\r\n" + length, Pause: resetPause, End: rawserver.Reset},
		"length, reset at once":          {Text: "HTTP/1.1 200 X\r\n" + length, End: rawserver.Reset},
		"length, upload left unread":     {Text: "HTTP/1.1 200 X\r\n" + length, End: rawserver.CloseUnread},
		"informational answer before":    {Text: "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 X\r\n" + length, AfterUpload: true},
	}
	for kind, k := range requestKinds {
		for name, c := range answers {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				for n := range uploads {
					a := newTestAgent(t, k.backend, c) // with connections of its own: the server closes some after the answer
					got, err := a.send(t, k.request(a), longUpload)
					if err != nil || !got.whole || got.status != http.StatusOK || got.body != text {
						t.Errorf("upload %d: status %d, %d bytes, %v; want the whole answer of %d bytes", n, got.status, len(got.body), err, len(text))
					}
				}
			})
		}
	}
}

// malformedStatuses are responses whose status is not that of a final answer, nor of an informational one.
var malformedStatuses = map[string]string{
	"000":                   "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nwhat",
	"000 without a body":    "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
	"000, long":             "HTTP/1.1 000 X\r\nContent-Length: 2097152\r\n\r\n" + strings.Repeat("x", 2<<20),
	"000 and a second head": "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nother",
	"099":                   "HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\nwhat",
	"a sign":                "HTTP/1.1 +20 X\r\nContent-Length: 4\r\n\r\nwhat",
	"other protocol":        "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nwhat",
	"600":                   "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nwhat",
	"999, long":             "HTTP/1.1 999 X\r\nContent-Length: 2097152\r\n\r\n" + strings.Repeat("x", 2<<20),
	"letters":               "HTTP/1.1 2OO X\r\nContent-Length: 4\r\n\r\nwhat",
}

// TestMalformedStatusIsNotAnAnswer guards against an answer with a status that is none, which callers get or which is
// kept as the answer of an unrepeatable call.
func TestMalformedStatusIsNotAnAnswer(t *testing.T) { requireMalformed(t, malformedStatuses) }

// malformedNames are responses in whose heads the name of a field is not a token (RFC 9110, section 5.6.2).
var malformedNames = map[string]string{
	"blank before the colon":   "HTTP/1.1 200 X\r\nContent-Length : 5\r\n\r\nother and more",
	"blank within":             "HTTP/1.1 200 X\r\nX Y: z\r\nContent-Length: 5\r\n\r\nother",
	"blank within, no body":    "HTTP/1.1 204 X\r\nX Y: z\r\n\r\n",
	"empty body":               "HTTP/1.1 200 X\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
	"text in place of a field": "HTTP/1.1 404 X\r\nfailed to load: model\r\nContent-Length: 5\r\n\r\nother",
	"informational":            "HTTP/1.1 103 X\r\nContent-Length : 5\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nother",
	"control byte":             "HTTP/1.1 200 X\r\nX\x01: z\r\nContent-Length: 5\r\n\r\nother",
	"byte 0":                   "HTTP/1.1 200 X\r\nX\x00Y: z\r\nContent-Length: 5\r\n\r\nother",
}

// TestMalformedNameIsNotAnAnswer guards against an answer with another body than its server's, or with a line that is no
// field.
func TestMalformedNameIsNotAnAnswer(t *testing.T) { requireMalformed(t, malformedNames) }

// requireMalformed checks that none of the responses is sent or kept as an answer, nor its connection used again.
func requireMalformed(t *testing.T, responses map[string]string) {
	const requests = 4
	for kind, k := range requestKinds {
		for name, text := range responses {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				a := newTestAgent(t, k.backend, rawserver.Answer{Text: text, AfterUpload: true})
				for range requests {
					request := k.request(a)
					for range 2 { // a key that was sent before is answered from the record
						got, err := a.send(t, request, 4)
						if err == nil {
							t.Errorf("status %d and %d bytes passed for an answer", got.status, len(got.body))
						} else if got.status != 0 || got.body != "" {
							t.Errorf("status %d and %d bytes were sent before the error %v", got.status, len(got.body), err)
						}
						p := problem.Of(err)
						if p.Outcome != problem.NotKnown || p.Status() != http.StatusBadGateway || p.Kind != problem.MalformedAnswer && p.Kind != problem.AnswerLost {
							t.Errorf("the attempt ended with %v, want an unknown outcome and status 502", err)
						}
					}
				}
				if a.server.Connections() != a.server.Requests() {
					t.Errorf("%d requests on %d connections, want one on each", a.server.Requests(), a.server.Connections())
				}
			})
		}
	}
}

// TestUnusualFieldIsPartOfAnAnswer guards against allowed responses that count as malformed.
func TestUnusualFieldIsPartOfAnAnswer(t *testing.T) {
	const text = "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200\r\nx!#$%&'*+-.^_|~`9: odd\r\nEmpty:\r\ncontent-length:5\r\n\r\nwhole"
	for kind, k := range requestKinds {
		a := newTestAgent(t, k.backend, rawserver.Answer{Text: text, AfterUpload: true})
		got, err := a.send(t, k.request(a), 4)
		if err != nil || got.status != http.StatusOK || got.body != "whole" || !got.whole {
			t.Errorf("%s: %+v, %v; want the whole answer", kind, got, err)
		}
	}
}

// TestMalformedResponsesAreCountedAndLogged guards against servers in trouble of which operators see nothing.
func TestMalformedResponsesAreCountedAndLogged(t *testing.T) {
	const requests = 3
	for _, kind := range []string{settings.EngineBackend, settings.ServiceBackend} {
		server, err := rawserver.Start(func(*http.Request) rawserver.Answer {
			return rawserver.Answer{Text: "HTTP/1.1 200 X\r\n" + strings.Repeat("x y", 1000) + "\x01: z\r\n\r\n", AfterUpload: true}
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		core, lines := observer.New(zap.InfoLevel)
		scope := tally.NewTestScope("", nil)
		backend := NewBackend(settings.Agent{Backend: settings.Backend{Kind: kind, URL: "http://" + server.Address()}})
		checked := newCheckedBackend(backend, zap.New(core), scope)
		for range requests {
			if res, err := checked.Send(context.Background(), agentlink.AttemptRequest{Method: http.MethodPost, Path: "/p"}, nil); err == nil {
				t.Errorf("%s: got status %d, want an error", kind, res.StatusCode)
			}
		}
		if n := scope.Snapshot().Counters()["answers_malformed+"].Value(); n != requests {
			t.Errorf("%s: %d malformed answers counted, want %d", kind, n, requests)
		}
		text := fmt.Sprint(lines.All()[0].ContextMap())
		if lines.Len() != 1 || !strings.Contains(text, "malformed response") || len(text) > 600 || strings.Contains(text, "\x01") {
			t.Errorf("%s: %d lines, the first: %q; want one that quotes the name, escaped and cut", kind, lines.Len(), text)
		}
	}
}

package relay_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/standin/rawserver"
)

// startServer starts a server whose answers are written with ID replaced by the ID of the request.
func startServer(t *testing.T, a rawserver.Answer) *rawserver.Server {
	t.Helper()
	s, err := rawserver.Start(func(r *http.Request) rawserver.Answer {
		own := a
		own.Text = strings.ReplaceAll(a.Text, "ID", r.Header.Get("Id"))
		return own
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func serverAt(id string, s *rawserver.Server) fleet.Server {
	return fleet.Server{ID: id, Service: "s", Address: s.Address()}
}

// upload sends a request with a body of a number of bytes.
func (s *testRelay) upload(ctx context.Context, id string, bytes int) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+"/p", strings.NewReader(strings.Repeat("u", bytes)))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Id", id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

const (
	// longUpload does not fit into the buffers of a connection.
	longUpload = 4 << 20
	// resetPause is longer than an answer takes to arrive.
	resetPause = 20 * time.Millisecond
	uploads    = 12
)

// TestAnswerResetDuringUploadIsNotWhole guards against a part of an answer that passes for the whole one: its end is
// known only by its connection, and the server resets that while the upload is still being written.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	const untilClose = "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n\r\n"
	events := streamHead("")
	for name, c := range map[string]struct {
		kind fleet.Kind
		text string
		end  rawserver.End
	}{
		"unsafe":                       {fleet.Unsafe, untilClose + "part", rawserver.Reset},
		"unsafe, empty":                {fleet.Unsafe, untilClose, rawserver.Reset},
		"unsafe, not found":            {fleet.Unsafe, "HTTP/1.1 404 X\r\nId: ID\r\nSeal: s\r\n\r\npart", rawserver.Reset},
		"unsafe, server error":         {fleet.Unsafe, "HTTP/1.1 500 X\r\nId: ID\r\nSeal: s\r\n\r\npart", rawserver.Reset},
		"unsafe, HTTP/1.0":             {fleet.Unsafe, "HTTP/1.0 200 X\r\nId: ID\r\nSeal: s\r\n\r\npart", rawserver.Reset},
		"unsafe, longer than a buffer": {fleet.Unsafe, untilClose + strings.Repeat("x", 300<<10), rawserver.Reset},
		"unsafe, upload left unread":   {fleet.Unsafe, untilClose + "part", rawserver.CloseUnread},
		"stream":                       {fleet.Streaming, events + event(1) + event(2), rawserver.Reset},
		"stream, upload left unread":   {fleet.Streaming, events + event(1) + event(2), rawserver.CloseUnread},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := startServer(t, rawserver.Answer{Text: c.text, Pause: resetPause, End: c.end})
			s := newTestRelay(t, route(c.kind), fleet.Service{}, 1000, serverAt("a", a))
			whole := 0
			for n := range uploads {
				status, _, err := s.upload(context.Background(), strconv.Itoa(n), longUpload)
				if err == nil && status != http.StatusBadGateway {
					whole++
				}
				s.balancer.SetServers([]fleet.Server{serverAt("a", a)}) // the server is not avoided by the next request
			}
			if whole > 0 {
				t.Errorf("%d of %d answers that were reset passed for whole", whole, uploads)
			}
			if a.Requests() < uploads {
				t.Errorf("the server got %d of %d requests", a.Requests(), uploads)
			}
		})
	}
}

// TestAnswerResetDuringUploadIsFetchedElsewhere guards against repeatable requests that fail although another server
// can answer them.
func TestAnswerResetDuringUploadIsFetchedElsewhere(t *testing.T) {
	broken := startServer(t, rawserver.Answer{Text: "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n\r\npart", Pause: resetPause, End: rawserver.Reset})
	sound := startServer(t, rawserver.Answer{Text: "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole", AfterUpload: true})
	s := newTestRelay(t, route(fleet.Safe), fleet.Service{}, 1000, serverAt("a", broken), serverAt("b", sound))
	for n := range uploads {
		status, body, err := s.upload(context.Background(), strconv.Itoa(n), longUpload)
		if err != nil || status != http.StatusOK || body != "whole" {
			t.Errorf("request %d: status %d, %.40q, %v; want the whole answer of the other server", n, status, body, err)
		}
		s.balancer.SetServers([]fleet.Server{serverAt("a", broken), serverAt("b", sound)})
	}
	if broken.Requests() == 0 {
		t.Error("the server that resets its connections got no request")
	}
}

// TestEarlyWholeAnswerToUpload guards against whole answers that count as broken, or are held back, because the server
// sends them before it has read the upload.
func TestEarlyWholeAnswerToUpload(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n"
	text := strings.Repeat("whole", 10<<10)
	length := "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	for name, c := range map[string]struct {
		answer rawserver.Answer
		want   string
	}{
		"until close, upload read":             {rawserver.Answer{Text: head + "\r\n" + text, End: rawserver.CloseSending}, text},
		"until close, upload read first":       {rawserver.Answer{Text: head + "\r\n" + text, AfterUpload: true, End: rawserver.Close}, text},
		"HTTP/1.0, upload read":                {rawserver.Answer{Text: "HTTP/1.0 200 X\r\nId: ID\r\nSeal: s\r\n\r\n" + text, End: rawserver.CloseSending}, text},
		"length, upload read":                  {rawserver.Answer{Text: head + length}, text},
		"length, reset":                        {rawserver.Answer{Text: head + length, Pause: resetPause, End: rawserver.Reset}, text},
		"length, reset at once":                {rawserver.Answer{Text: head + length, End: rawserver.Reset}, text},
		"length, upload left unread":           {rawserver.Answer{Text: head + length, Pause: resetPause, End: rawserver.CloseUnread}, text},
		"chunks, reset":                        {rawserver.Answer{Text: head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(text) + "0\r\n\r\n", Pause: resetPause, End: rawserver.Reset}, text},
		"no body, reset":                       {rawserver.Answer{Text: head + "Content-Length: 0\r\n\r\n", Pause: resetPause, End: rawserver.Reset}, ""},
		"informational answers before, length": {rawserver.Answer{Text: "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n" + head + length}, text},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := startServer(t, c.answer)
			s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, serverAt("a", a))
			for n := range uploads {
				status, body, err := s.upload(context.Background(), strconv.Itoa(n), longUpload)
				if err != nil || status != http.StatusOK || body != c.want {
					t.Errorf("request %d: status %d, %d bytes, %v; want the whole answer of %d bytes", n, status, len(body), err, len(c.want))
				}
			}
		})
	}
}

// TestAnswerDoesNotWaitForUpload guards against an answer that is held back until its server has read an upload that
// it does not read.
func TestAnswerDoesNotWaitForUpload(t *testing.T) {
	const unreadFor = 1500 * time.Millisecond
	for name, text := range map[string]string{
		"until close": "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n\r\nwhole",
		"length":      "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := make(chan struct{})
			a := startServer(t, rawserver.Answer{Text: text, End: rawserver.CloseSending, BeforeUpload: held})
			time.AfterFunc(unreadFor, func() { close(held) })
			s := newTestRelay(t, route(fleet.Unsafe), fleet.Service{}, 1000, serverAt("a", a))
			began := time.Now()
			status, body, err := s.upload(context.Background(), "1", longUpload)
			if err != nil || status != http.StatusOK || body != "whole" {
				t.Errorf("status %d, %q, %v; want the whole answer", status, body, err)
			}
			if took := time.Since(began); took > unreadFor/2 {
				t.Errorf("the answer took %v; its server does not read the upload for %v", took, unreadFor)
			}
		})
	}
}

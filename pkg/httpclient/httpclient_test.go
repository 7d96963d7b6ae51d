package httpclient_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/httphead"
	"github.com/fescuehub/fescuehub/pkg/standin/rawserver"
)

// TestDocumentResetDuringUploadIsNotWhole guards against a document that is used although the server reset the connection
// that is to mark its end.
func TestDocumentResetDuringUploadIsNotWhole(t *testing.T) {
	const calls = 24
	server, err := rawserver.Start(func(*http.Request) rawserver.Answer {
		// Further digits may be missing.
		return rawserver.Answer{Text: "HTTP/1.1 200 X\r\n\r\n12", Pause: 20 * time.Millisecond, End: rawserver.Reset}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := httpclient.New()
	for n := range calls {
		var number int
		err := httpclient.Post(context.Background(), client, "http://"+server.Address(), strings.Repeat("u", 4<<20), 1<<20, &number)
		if err == nil {
			t.Errorf("call %d: a number %d that is possibly cut was taken for whole", n, number)
		}
	}
}

// malformedHeads are responses whose heads are not valid. Their bodies are documents.
var malformedHeads = map[string]string{
	"status 000":             "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n12",
	"status +20":             "HTTP/1.1 +20 X\r\nContent-Length: 2\r\n\r\n12",
	"control byte in a name": "HTTP/1.1 200 X\r\nX\x01: z\r\nContent-Length: 2\r\n\r\n12",
	"status of letters":      "HTTP/1.1 2OO X\r\nContent-Length: 2\r\n\r\n12",
	"no HTTP":                "failed\r\n\r\n",
	"long name":              "HTTP/1.1 200 X\r\n" + strings.Repeat("x", 10<<10) + "\x01: z\r\nContent-Length: 2\r\n\r\n12",
	"blank in a name":        "HTTP/1.1 200 X\r\nX Y: z\r\nContent-Length: 2\r\n\r\n12",
	"blank before the colon": "HTTP/1.1 200 X\r\nContent-Length : 1\r\n\r\n12",
	"blank, no body":         "HTTP/1.1 404 X\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
	"blank, informational":   "HTTP/1.1 103 X\r\nX Y: z\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n12",
	"other protocol":         "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\nContent-Length: 2\r\n\r\n12",
}

// TestOtherFailureIsNotMalformed guards against a count of malformed responses that holds servers which are cut off.
func TestOtherFailureIsNotMalformed(t *testing.T) {
	for name, a := range map[string]rawserver.Answer{
		"no answer":          {AfterUpload: true, End: rawserver.Close},
		"reset":              {AfterUpload: true, End: rawserver.Reset},
		"part of the status": {Text: "HTTP/1.1 2", AfterUpload: true, End: rawserver.Close},
		"part of a field":    {Text: "HTTP/1.1 200 X\r\nX: I", AfterUpload: true, End: rawserver.Close},
		"part of the body":   {Text: "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n12", AfterUpload: true, End: rawserver.Close},
		"refusal":            {Text: "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nfull", AfterUpload: true},
		"no answer in time":  {AfterUpload: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := rawserver.Start(func(*http.Request) rawserver.Answer { return a })
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			var number int
			err = httpclient.Get(ctx, httpclient.New(), "http://"+server.Address(), 1<<20, &number)
			if err == nil || httphead.IsMalformed(err) {
				t.Errorf("the call returned %d and %v, want an error that is not one of a malformed response", number, err)
			}
		})
	}
}

// TestMalformedHeadIsAnError guards against documents, and statuses that refuse a call, in responses that are not valid,
// and against the further use of their connections.
func TestMalformedHeadIsAnError(t *testing.T) {
	const calls = 4
	for name, text := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := rawserver.Start(func(*http.Request) rawserver.Answer {
				return rawserver.Answer{Text: text, AfterUpload: true}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			client := httpclient.New()
			for range calls {
				var number int
				if err := httpclient.Get(context.Background(), client, "http://"+server.Address(), 1<<20, &number); !httphead.IsMalformed(err) {
					t.Errorf("the call returned %d and %v, want an error of a malformed response", number, err)
				}
			}
			if server.Connections() != server.Requests() || server.Requests() != calls {
				t.Errorf("%d calls, %d requests on %d connections, want one each", calls, server.Requests(), server.Connections())
			}
		})
	}
}

// TestConnectionThatFailedDuringUploadIsNotUsedAgain guards against requests that fail because they get a kept connection
// which failed after the whole response to the request before, while that one was still being written.
func TestConnectionThatFailedDuringUploadIsNotUsedAgain(t *testing.T) {
	const (
		callers = 16
		calls   = 30
	)
	server, err := rawserver.Start(func(*http.Request) rawserver.Answer {
		return rawserver.Answer{Text: "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n12 ", End: rawserver.Reset}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := httpclient.New()
	body := make([]byte, 32<<20) // more than the buffers of a connection hold, so that each reset ends a write
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range calls {
				res, err := client.Post("http://"+server.Address(), "text/plain", bytes.NewReader(body))
				if err != nil {
					t.Errorf("the call returned %v, want a response", err)
					continue
				}
				if text, err := io.ReadAll(res.Body); err != nil || string(text) != "12 " {
					t.Errorf("read %q and %v, want the whole body", text, err)
				}
				_ = res.Body.Close()
			}
		})
	}
	group.Wait()
	if server.Requests() != callers*calls {
		t.Errorf("the server got %d requests, want each of %d once", server.Requests(), callers*calls)
	}
}

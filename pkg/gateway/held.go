package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fescuehub/fescuehub/pkg/httpserver"
	"github.com/fescuehub/fescuehub/pkg/membudget"
	"github.com/fescuehub/fescuehub/pkg/relay"
)

const (
	// maxDiscardedBody is the size of an unread body up to which the connection of a refused request is kept: less
	// than a caller loses by a new connection.
	maxDiscardedBody = 16 << 10
	// memoryRetryAfter is the mean Retry-After of requests that are refused for lack of memory: bodies give way that
	// stall for membudget.MinStall.
	memoryRetryAfter = 600 * time.Millisecond
	// maxLoggedText is the number of bytes of a text of a caller that are logged.
	maxLoggedText = 256
)

// receive reads a body of up to limit bytes. The claim grows with its buffer; the error is membudget.ErrNoMemory if it
// cannot.
func (g *Gateway) receive(r *http.Request, limit int64, held *membudget.Claim) ([]byte, error) {
	if r.ContentLength >= 0 {
		limit = min(limit, r.ContentLength)
	}
	return membudget.Read(progressReader{r.Body, held}, limit, func(n int64) bool { return httpserver.Claim(g.memory, held, n) })
}

// progressReader records the progress of a body.
type progressReader struct {
	io.Reader
	held *membudget.Claim
}

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.held.Received(time.Now(), n)
	return n, err
}

// noMemory refuses a request that has not been sent to a backend server.
func (g *Gateway) noMemory(part string) *refusal {
	g.scope.Counter("requests_refused_memory").Inc(1)
	retryAfter := memoryRetryAfter*3/4 + rand.N(memoryRetryAfter/2)
	return &refusal{http.StatusServiceUnavailable, "this entry has no memory left for the request's " + part, retryAfter}
}

// giveWay ends the reception of a request whose memory or descriptor is needed.
func (g *Gateway) giveWay(w http.ResponseWriter, r *http.Request, reason membudget.Reason) {
	if reason == membudget.Descriptors {
		g.scope.Counter("connections_evicted_descriptors").Inc(1)
		httpserver.CloseConn(r.Context())
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // only connections in tests do not support it
}

// closeUnread bounds how long the connection of a refused request waits for the rest of its body: http.Server reads
// the rest of a short body before it sends the response, so that the connection can be used again.
func closeUnread(w http.ResponseWriter, r *http.Request, q *relay.Request, refused *refusal) {
	if r.Body == http.NoBody || q.Body != nil {
		return
	}
	deadline := time.Now()
	if r.ContentLength < 0 || r.ContentLength > maxDiscardedBody || refused.status == http.StatusServiceUnavailable || refused.status == http.StatusRequestTimeout {
		w.Header().Set("Connection", "close")
	} else {
		deadline = deadline.Add(membudget.MinStall)
	}
	_ = http.NewResponseController(w).SetReadDeadline(deadline) // only connections in tests do not support it
}

// shortened returns the beginning of a text for a log line.
func shortened(text string) string { return text[:min(len(text), maxLoggedText)] }

package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/httpserver"
	"github.com/fescuehub/fescuehub/pkg/membudget"
	"github.com/fescuehub/fescuehub/pkg/relay"
)

const (
	// firstBodyBytes is the size of the first buffer of a body, which doubles as it fills.
	firstBodyBytes = 4 << 10
	// maxDiscardedBody is the size of an unread body up to which the connection of a refused request is kept: less
	// than a caller loses by a new connection.
	maxDiscardedBody = 16 << 10
	// memoryRetryAfter is the mean Retry-After of requests that are refused for lack of memory: bodies give way that
	// stall for membudget.MinStall.
	memoryRetryAfter = 600 * time.Millisecond
	// maxLoggedText is the number of bytes of a text of a caller that are logged.
	maxLoggedText = 256
)

var errNoMemory = errors.New("no memory is left for the request body")

// receive reads a body of up to limit bytes. The claim grows with its buffer; the error is errNoMemory if it cannot.
func (g *Gateway) receive(r *http.Request, limit int64, held *membudget.Claim) ([]byte, error) {
	if r.ContentLength >= 0 {
		limit = min(limit, r.ContentLength)
	}
	var body []byte
	reader := io.LimitReader(r.Body, limit)
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), firstBodyBytes), limit)
			if size == int64(cap(body)) {
				size++ // the next read returns io.EOF
			}
			if !httpserver.Claim(g.memory, held, size-int64(cap(body))) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		held.Received(time.Now(), n)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
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

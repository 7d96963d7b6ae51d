package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/httphead"
	"github.com/fescuehub/fescuehub/pkg/netconn"
)

const (
	// maxIdleConnsPerHost limits the idle connections to one address.
	maxIdleConnsPerHost = 256
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
)

// DialFunc opens a connection, as in http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.Transport that returns the response of a server that does not read the whole request, and refuses a
// response whose head is not valid. An http.Transport alone discards the former if the rest of the request cannot be
// written, and accepts some of the latter.
type Transport struct{ *http.Transport }

// NewTransport returns a transport without a proxy. It opens its connections with dial, nil for that of net/http.
func NewTransport(dial DialFunc) *Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	transport.MaxResponseHeaderBytes = maxHeadBytes
	if dial == nil {
		dial = transport.DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &requestConn{Conn: netconn.NewClient(nc)}, nil
	}
	return &Transport{transport}
}

// RoundTrip implements http.RoundTripper. The error holds an *httphead.Error if the head of the response is not valid.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	for {
		response, conn, err := t.roundTrip(r)
		if err == nil || conn == nil || !conn.unusable() {
			return response, err
		}
		// net/http chose a kept connection that had failed during the request before. Nothing has been sent.
		next, ok := rewind(r)
		if !ok {
			return nil, err
		}
		r = next
	}
}

// rewind returns a request with its body at its beginning, false if the body cannot be read again.
func rewind(r *http.Request) (*http.Request, bool) {
	if r.Body == nil || r.Body == http.NoBody {
		return r, true
	}
	if r.GetBody == nil {
		return nil, false
	}
	body, err := r.GetBody()
	if err != nil {
		return nil, false
	}
	next := *r
	next.Body = body
	return &next, true
}

// roundTrip is RoundTrip on one connection, which it returns; nil if there was none.
func (t *Transport) roundTrip(r *http.Request) (*http.Response, *requestConn, error) {
	var conn atomic.Pointer[requestConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*requestConn); ok {
				c.beginRequest()
				conn.Store(c)
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return httphead.CheckNames(header) },
	}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	c := conn.Load()
	if err != nil {
		if c != nil && c.answered() && r.Context().Err() == nil && !httphead.IsMalformed(err) {
			err = httphead.ParseError(err)
		}
		return nil, c, err
	}
	if err := httphead.Check(response); err != nil {
		if c != nil {
			_ = c.Close() // net/http keeps it if the response has no body
		}
		_ = response.Body.Close()
		return nil, c, err
	}
	return response, c, nil
}

// requestConn is a connection that reports a failure to the reader of the response alone, after the bytes that have
// arrived, once a part of the request has been written. The write of the rest seems to succeed.
type requestConn struct {
	net.Conn
	// begun is true once a part of the current request has been written, received once a part of a response has been
	// read, and failed once a read has failed.
	begun, received, failed atomic.Bool
	// broken is true once a write has failed that seemed to succeed. No byte can be written any more.
	broken atomic.Bool
}

func (c *requestConn) beginRequest() {
	c.begun.Store(false)
	c.received.Store(false)
	c.failed.Store(false)
}

// unusable reports whether the connection had failed before the current request.
func (c *requestConn) unusable() bool { return c.broken.Load() && !c.begun.Load() }

// answered reports whether the connection has brought a part of a response and has not failed.
func (c *requestConn) answered() bool { return c.received.Load() && !c.failed.Load() }

// Read implements net.Conn.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *requestConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.begun.Store(true)
	}
	if err != nil && c.begun.Load() && !errors.Is(err, net.ErrClosed) && netconn.Failed(c.Conn) {
		c.broken.Store(true)
		return len(p), nil
	}
	return n, err
}

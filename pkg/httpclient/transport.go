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

// Transport is an http.Transport that differs in two ways. It returns the response of a server that does not read the whole
// request; net/http alone discards the response if the rest of the request cannot be written. And it refuses
// responses whose heads are not valid.
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
	if err != nil && c != nil && c.answered() && r.Context().Err() == nil && !httphead.IsMalformed(err) {
		return nil, httphead.ParseError(err)
	}
	if err != nil {
		return nil, err
	}
	if err := httphead.Check(response); err != nil {
		if c != nil {
			_ = c.Close() // net/http keeps it if the response has no body
		}
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// requestConn is a connection that reports a failure to the reader of the response alone, after the bytes that have
// arrived, once a part of the request has been written. The write of the rest seems to succeed.
type requestConn struct {
	net.Conn
	// begun is true once a part of the current request has been written, received once a part of a response has been
	// read, and failed once a read has failed.
	begun, received, failed atomic.Bool
}

func (c *requestConn) beginRequest() {
	c.begun.Store(false)
	c.received.Store(false)
	c.failed.Store(false)
}

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
	if err != nil && c.begun.Load() && !errors.Is(err, net.ErrClosed) {
		return len(p), nil
	}
	return n, err
}

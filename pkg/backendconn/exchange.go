package backendconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/httphead"
	"github.com/fescuehub/fescuehub/pkg/netconn"
)

const (
	readBufferBytes = 4096
	// inlineBodyBytes is the body size up to which a request is written completely before the
	// response is read: it fits the socket buffer.
	inlineBodyBytes = 16 << 10
	// maxForeignResponses and maxForeignBytes bound the responses to earlier requests that are
	// skipped on a connection.
	maxForeignResponses = 2
	maxForeignBytes     = 1 << 20
	// maxInformational is the number of consecutive informational (1xx) responses that fails a
	// request.
	maxInformational = 5
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path and query, as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection forbids the use of an idle connection.
	NewConnection bool
	// Excluded holds the connections on which the request has been sent before. A server may write its
	// earlier response once more, which could not be told from the next one.
	Excluded []ConnectionID
	// Matches reports whether a response with the given headers belongs to the request; nil accepts
	// any.
	Matches func(http.Header) bool
}

// Error is the error of a failed exchange.
type Error struct {
	// NotSent means that no byte of the request has reached the server.
	NotSent bool
	// Reused means that the connection had carried an earlier request.
	Reused bool
	Cause  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ConnectionID identifies a connection within this process.
type ConnectionID uint64

// lastConnection is the ID of the newest connection.
var lastConnection atomic.Uint64

// conn is one connection. It carries one request at a time.
type conn struct {
	id        ConnectionID
	server    string
	nc        net.Conn
	bounded   *boundedReader
	br        *bufio.Reader
	idleUntil time.Time
}

// Response is the response of a backend server. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body length in bytes, -1 if the server does not state it.
	Length int64
	// Body reads the body; an error other than io.EOF means that it is incomplete.
	Body io.Reader
	// Connection is the connection that carried the response.
	Connection ConnectionID
	// Framed means that the body has a length or chunks. A body without ends with its connection, which
	// also ends when the server does.
	Framed bool

	pools    *Pools
	conn     *conn
	response *http.Response
	stop     func() bool
	reusable bool
	written  <-chan error
}

// Start sends a request and returns after reading the response headers. If ctx ends before Close,
// the connection is reset.
func (p *Pools) Start(ctx context.Context, server, address string, r *Request) (*Response, error) {
	c, reused, err := p.connect(ctx, server, address, r)
	if err != nil {
		return nil, &Error{NotSent: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { netconn.Abort(c.nc) })
	response, err := c.roundTrip(r)
	if err != nil {
		stop()
		netconn.Abort(c.nc)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Reused: reused, Cause: err}
	}
	response.pools, response.stop = p, stop
	return response, nil
}

func (p *Pools) connect(ctx context.Context, server, address string, r *Request) (*conn, bool, error) {
	if !r.NewConnection {
		if c := p.get(server, time.Now(), r.Excluded); c != nil {
			return c, true, nil
		}
	}
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, false, errors.Wrap(err, "connect to the backend server")
	}
	return newConn(server, nc), false, nil
}

func newConn(server string, nc net.Conn) *conn {
	bounded := &boundedReader{nc: nc}
	return &conn{id: ConnectionID(lastConnection.Add(1)), server: server, nc: nc, bounded: bounded, br: bufio.NewReaderSize(bounded, readBufferBytes)}
}

func (c *conn) roundTrip(r *Request) (*Response, error) {
	head := r.head()
	written := make(chan error, 1)
	if len(r.Body) <= inlineBodyBytes {
		_, err := c.nc.Write(append(head, r.Body...))
		if err != nil {
			return nil, errors.Wrap(err, "send the request to the backend server")
		}
		written <- nil
	} else {
		go func() { written <- c.writeAll(head, r.Body) }()
	}
	response, skipped, err := c.readMatchingHead(r)
	if err != nil {
		return nil, errors.Wrap(err, "read the response of the backend server")
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: response.Body,
		Framed:     response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody,
		Connection: c.id, conn: c, response: response, written: written,
		reusable: !response.Close && !skipped,
	}, nil
}

func (c *conn) writeAll(head, body []byte) error {
	if _, err := c.nc.Write(head); err != nil {
		return err
	}
	_, err := c.nc.Write(body)
	return err
}

// readMatchingHead reads the headers of the request's response. It skips responses to earlier
// requests and reports whether there were any.
func (c *conn) readMatchingHead(r *Request) (*http.Response, bool, error) {
	for skipped := 0; ; skipped++ {
		response, err := c.readHead(r.Method)
		if err != nil {
			return nil, false, err
		}
		if r.Matches == nil || r.Matches(response.Header) {
			return response, skipped > 0, nil
		}
		if skipped == maxForeignResponses || response.Close {
			return nil, false, errors.New("the response belongs to another request")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil || n == maxForeignBytes {
			return nil, false, errors.New("a skipped response to another request is incomplete or larger than the limit")
		}
	}
}

func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInformational {
		c.bounded.beginHead(c.br.Buffered())
		response, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil && !c.bounded.failed {
			return nil, httphead.ParseError(err)
		}
		if err != nil {
			return nil, err
		}
		if err := httphead.Check(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			c.bounded.beginBody()
			return response, nil
		}
	}
	return nil, httphead.ParseError(errors.Newf("%d informational (1xx) responses and no final one", maxInformational))
}

// Close releases the response without waiting. The connection is kept only if the body was read to its
// end, or the response has none, and no bytes follow it.
func (r *Response) Close() {
	if !r.stop() || !r.complete() || r.conn.nc.SetReadDeadline(time.Time{}) != nil {
		netconn.Abort(r.conn.nc)
		return
	}
	r.conn.idleUntil = time.Now().Add(idleTimeout(r.Header))
	r.pools.put(r.conn)
}

func (r *Response) complete() bool {
	if !r.reusable || r.conn.br.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	// A body that was read to its end returns EOF again; one without a length ended with the
	// connection. What has not arrived is not waited for: no context or deadline would end that.
	r.conn.bounded.stop()
	n, err := r.response.Body.Read(make([]byte, 1))
	return n == 0 && err == io.EOF && r.conn.br.Buffered() == 0 && !r.response.Close
}

// idleTimeout returns how long a connection may be reused, from the server's Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return max(time.Duration(n)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// head encodes the request line and the headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // writes to a bytes.Buffer do not fail
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

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
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/netconn"
)

const (
	readBufferBytes = 4096
	// inlineBodyBytes is the size up to which a request is written whole before
	// its answer is read: it fits the socket's buffer.
	inlineBodyBytes = 16 << 10
	// maxForeignAnswers bounds the answers to earlier requests that are skipped.
	maxForeignAnswers = 2
	maxForeignBytes   = 1 << 20
	maxInformational  = 5
)

// Request is one request as it is written.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a new connection.
	NewConnection bool
	// Matches reports whether an answer belongs to the request.
	Matches func(http.Header) bool
}

// Error is a failed exchange.
type Error struct {
	// NotSent means that nothing of the request has reached the server.
	NotSent bool
	// Reused means that the connection had carried a request before.
	Reused bool
	Cause  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// conn is one connection. It carries one request at a time.
type conn struct {
	server    string
	nc        net.Conn
	br        *bufio.Reader
	idleUntil time.Time
}

// Response is the answer of a backend server. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 where the server does not state it.
	Length int64
	// Body reads the body; an error other than io.EOF means that it is not whole.
	Body io.Reader

	pools    *Pools
	conn     *conn
	response *http.Response
	stop     func() bool
	reusable bool
	written  <-chan error
}

// Start sends a request and waits for the head of its answer. The connection
// closes when ctx ends before Close.
func (p *Pools) Start(ctx context.Context, server, address string, r *Request) (*Response, error) {
	c, reused, err := p.connect(ctx, server, address, r.NewConnection)
	if err != nil {
		return nil, &Error{NotSent: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { netconn.Abort(c.nc) })
	answer, err := c.exchange(r)
	if err != nil {
		stop()
		netconn.Abort(c.nc)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Reused: reused, Cause: err}
	}
	answer.pools, answer.stop = p, stop
	return answer, nil
}

func (p *Pools) connect(ctx context.Context, server, address string, fresh bool) (*conn, bool, error) {
	if !fresh {
		if c := p.take(server, time.Now()); c != nil {
			return c, true, nil
		}
	}
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, false, errors.Wrap(err, "connect")
	}
	return &conn{server: server, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes)}, false, nil
}

func (c *conn) exchange(r *Request) (*Response, error) {
	head := r.head()
	written := make(chan error, 1)
	if len(r.Body) <= inlineBodyBytes {
		_, err := c.nc.Write(append(head, r.Body...))
		if err != nil {
			return nil, errors.Wrap(err, "send the request")
		}
		written <- nil
	} else {
		go func() { written <- c.writeLong(head, r.Body) }()
	}
	response, skipped, err := c.readOwnHead(r)
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: response.Body,
		conn: c, response: response, written: written,
		reusable: !response.Close && !skipped,
	}, nil
}

func (c *conn) writeLong(head, body []byte) error {
	if _, err := c.nc.Write(head); err != nil {
		return err
	}
	_, err := c.nc.Write(body)
	return err
}

// readOwnHead skips answers that belong to earlier requests.
func (c *conn) readOwnHead(r *Request) (*http.Response, bool, error) {
	for skipped := 0; ; skipped++ {
		response, err := c.readHead(r.Method)
		if err != nil {
			return nil, false, err
		}
		if r.Matches == nil || r.Matches(response.Header) {
			return response, skipped > 0, nil
		}
		if skipped == maxForeignAnswers || response.Close {
			return nil, false, errors.New("the answer belongs to another request")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil || n == maxForeignBytes {
			return nil, false, errors.New("an answer to another request does not end")
		}
	}
}

func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInformational {
		response, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
	return nil, errors.New("too many informational answers")
}

// Close ends the use of an answer. The connection is kept only where the body
// was read to its end and nothing follows it.
func (a *Response) Close() {
	if !a.stop() || !a.whole() {
		netconn.Abort(a.conn.nc)
		return
	}
	a.conn.idleUntil = time.Now().Add(idleTime(a.Header))
	a.pools.put(a.conn)
}

func (a *Response) whole() bool {
	if !a.reusable || a.conn.br.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	// A body that was read to its end returns EOF again; one that has no length
	// ended with the connection.
	n, err := a.response.Body.Read(make([]byte, 1))
	return n == 0 && err == io.EOF && a.conn.br.Buffered() == 0 && !a.response.Close
}

// idleTime returns how long a connection may be reused.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return max(time.Duration(n)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}

// head renders the request line and the headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer takes every write
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

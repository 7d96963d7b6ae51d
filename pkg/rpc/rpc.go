// Package rpc implements JSON-RPC 2.0 connections over TCP between the processes of fescuehub.
// Errors keep their kind, outcome and remedy when they cross a connection.
package rpc

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/netconn"
	"github.com/fescuehub/fescuehub/pkg/panics"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	defaultDialTimeout = 2 * time.Second
	// CallTimeout limits the duration of one call.
	CallTimeout = 3 * time.Second
	// problemCode is the JSON-RPC error code of an error that carries a problem.Error.
	problemCode = -32050
)

// Method handles one call or notification. Its result is discarded for a notification.
type Method func(ctx context.Context, peer *Conn, params json.RawMessage) (any, error)

// Methods maps method names to their implementations.
type Methods map[string]Method

// Typed adapts a method whose parameters have type P. The returned Method fails with an error of
// kind BadRequest if the parameters cannot be decoded.
func Typed[P any](method func(ctx context.Context, peer *Conn, params P) (any, error)) Method {
	return func(ctx context.Context, peer *Conn, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, problem.New(problem.BadRequest, "run the same release on every instance", "malformed parameters: %v", err)
		}
		return method(ctx, peer, params)
	}
}

// Conn is one connection. Both ends can call methods of the other.
type Conn struct {
	rpc    *jsonrpc2.Conn
	nc     net.Conn
	active netconn.Instant
	// calls holds an element for each call that runs; nil if their number is not bounded.
	calls chan struct{}
}

// Dial connects to an address within defaultDialTimeout and serves methods to the peer. The
// connection ends with ctx. The error has the kind Unavailable.
func Dial(ctx context.Context, address string, methods Methods) (*Conn, error) {
	return DialTimeout(ctx, defaultDialTimeout, address, methods)
}

// DialTimeout is like Dial with the given timeout.
func DialTimeout(ctx context.Context, timeout time.Duration, address string, methods Methods) (*Conn, error) {
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, unavailable(address, err)
	}
	return newConn(ctx, nc, methods, tally.NoopScope.Counter("broken"), nil), nil
}

// errorCounter counts the messages that a connection could not read or write. It implements
// jsonrpc2.Logger, to which the connection reports each of them.
type errorCounter struct{ counter tally.Counter }

// Printf implements jsonrpc2.Logger.
func (c errorCounter) Printf(string, ...any) { c.counter.Inc(1) }

func newConn(ctx context.Context, nc net.Conn, methods Methods, brokenMessages tally.Counter, bounds *Bounds) *Conn {
	c := &Conn{nc: nc}
	c.active.Set(time.Now())
	if bounds != nil {
		c.calls = make(chan struct{}, maxCallsPerConn)
	}
	ready := make(chan struct{})
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		<-ready
		return c.handle(ctx, methods, req)
	})
	c.rpc = jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(nc, lineCodec{nc, bounds, &c.active}), c.boundCalls(handler),
		jsonrpc2.SetLogger(errorCounter{brokenMessages}))
	close(ready)
	return c
}

// boundCalls returns a handler that runs each call in a goroutine of its own, at most cap(c.calls) at a time.
func (c *Conn) boundCalls(h jsonrpc2.Handler) jsonrpc2.Handler {
	if c.calls == nil {
		return jsonrpc2.AsyncHandler(h)
	}
	return jsonrpc2HandlerFunc(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
		c.calls <- struct{}{}
		go func() {
			defer func() { <-c.calls }()
			h.Handle(ctx, conn, req)
		}()
	})
}

// jsonrpc2HandlerFunc is a function that implements jsonrpc2.Handler.
type jsonrpc2HandlerFunc func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request)

// Handle implements jsonrpc2.Handler.
func (f jsonrpc2HandlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	f(ctx, conn, req)
}

func (c *Conn) handle(ctx context.Context, methods Methods, req *jsonrpc2.Request) (any, error) {
	method, ok := methods[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	params := json.RawMessage("null")
	if req.Params != nil {
		params = *req.Params
	}
	var result any
	var err error
	if panicked := panics.Catch(func() { result, err = method(ctx, c, params) }); panicked != nil {
		err = problem.New(problem.Internal, "report the defect with this text", "method %s failed: %v", req.Method, panicked)
	}
	if err != nil {
		return nil, encodeError(err)
	}
	return result, nil
}

// Call calls a method of the peer and decodes its result into result, within CallTimeout. The error
// is the problem.Error that the method returned, or has the kind Unavailable.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if err := c.rpc.Call(ctx, method, params, result); err != nil {
		return decodeError(method, err)
	}
	return nil
}

// Notify sends a notification, a call without a reply.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	return c.rpc.Notify(ctx, method, params)
}

// Done returns a channel that is closed when the connection has closed.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close closes the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Server serves methods on a listener.
type Server struct {
	listener       net.Listener
	methods        Methods
	brokenMessages tally.Counter
	// bounds is nil if the connections are not bounded.
	bounds *Bounds
	mu     sync.Mutex
	conns  map[*Conn]struct{}
}

// NewServer returns a server on an open listener. It counts the messages that it cannot read or
// write in the counter rpc_broken_messages of scope.
func NewServer(listener net.Listener, scope tally.Scope, methods Methods) *Server {
	return &Server{
		listener:       listener,
		methods:        methods,
		brokenMessages: scope.Counter("rpc_broken_messages"),
		conns:          make(map[*Conn]struct{}),
	}
}

// Run accepts connections until ctx ends or the listener fails, then closes all of them.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	defer s.closeAll()
	for {
		nc, err := s.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		s.makeRoom()
		s.add(newConn(ctx, nc, s.methods, s.brokenMessages, s.bounds))
	}
}

func (s *Server) add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	go func() {
		<-c.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		go c.Close()
	}
}

func encodeError(err error) error {
	p := problem.Of(err)
	e := &jsonrpc2.Error{Code: problemCode, Message: p.Detail}
	e.SetError(p)
	return e
}

func decodeError(method string, err error) error {
	e, ok := err.(*jsonrpc2.Error)
	if !ok || e.Code != problemCode || e.Data == nil {
		return unavailable(method, err)
	}
	var p problem.Error
	if json.Unmarshal(*e.Data, &p) != nil {
		return unavailable(method, err)
	}
	return &p
}

func unavailable(subject string, cause error) error {
	return problem.New(problem.Unavailable, "no action is needed; the connection is reopened automatically", "%s: %v", subject, cause)
}

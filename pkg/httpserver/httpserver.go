// Package httpserver runs an HTTP server with the time-outs, limits and middleware that all processes
// of fescuehub share.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/urfave/negroni/v3"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// shutdownPollInterval is the time between two checks for requests in flight.
	shutdownPollInterval = 10 * time.Millisecond
)

// Listen opens a listener on a TCP address. The error has the kind BadSettings and contains the name
// of the setting that holds the address.
func Listen(setting, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, problem.New(problem.BadSettings,
			"stop the process that uses the address, or change "+setting,
			"%s %s cannot be opened: %v", setting, address, err)
	}
	return l, nil
}

// Server is an HTTP server on an open listener.
type Server struct {
	server   *http.Server
	conns    *Listener
	stopping atomic.Bool
}

// New returns a server that calls handler behind the common middleware, which counts requests and
// panics in scope.
func New(listener net.Listener, scope tally.Scope, handler http.Handler) *Server {
	return NewWithContext(context.Background(), listener, scope, handler)
}

// NewWithContext is like New, with base as the parent of the context of each request.
func NewWithContext(base context.Context, listener net.Listener, scope tally.Scope, handler http.Handler) *Server {
	chain := negroni.New(instrument(scope))
	chain.UseHandler(handler)
	limits := ConnLimits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s := &Server{conns: NewListener(listener, func() ConnLimits { return limits })}
	s.server = &http.Server{
		Handler:        s.closeWhenStopping(chain),
		BaseContext:    func(net.Listener) context.Context { return base },
		ConnState:      s.conns.ConnState,
		MaxHeaderBytes: maxHeaderBytes,
	}
	return s
}

// closeWhenStopping makes the connection of a request close after the response once the server stops.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Run serves requests until Shutdown is called or the listener fails.
func (s *Server) Run() error {
	err := s.server.Serve(s.conns)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// Shutdown stops accepting connections and waits for the requests on those that were accepted. If ctx
// ends first, it closes all connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.conns.StopAccepting()
	s.conns.waitStopped()
	defer func() { _ = s.server.Close() }() // the listener is closed already
	for s.conns.CloseIdle() > 0 {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "shut down HTTP server")
		}
		wait.For(ctx, shutdownPollInterval)
	}
	return nil
}

// instrument counts requests and handler panics, and answers a panic with an error of kind Internal.
// It does not recover http.ErrAbortHandler, which closes the connection so that the caller detects a
// truncated answer.
func instrument(scope tally.Scope) negroni.Handler {
	requests := scope.Counter("http_requests")
	panics := scope.Counter("http_panics")
	return negroni.HandlerFunc(func(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
		requests.Inc(1)
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler {
				panic(v)
			}
			panics.Inc(1)
			problem.Write(w, problem.New(problem.Internal, "report this with the log of the process", "%v", v))
		}()
		next(w, r)
	})
}

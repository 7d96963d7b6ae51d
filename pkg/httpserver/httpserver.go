// Package httpserver runs an HTTP server with the bounds that every process of
// fescuehub uses.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/urfave/negroni/v3"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Listen opens a TCP address. The error has the kind BadSettings and names the
// setting that gave the address.
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
	listener net.Listener
}

// New returns a server of the handler behind the common middleware.
func New(listener net.Listener, scope tally.Scope, handler http.Handler) *Server {
	return NewWithContext(context.Background(), listener, scope, handler)
}

// NewWithContext returns a server whose requests have base as the parent of
// their context.
func NewWithContext(base context.Context, listener net.Listener, scope tally.Scope, handler http.Handler) *Server {
	chain := negroni.New(counting(scope))
	chain.UseHandler(handler)
	return &Server{
		listener: listener,
		server: &http.Server{
			Handler:           chain,
			BaseContext:       func(net.Listener) context.Context { return base },
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
}

// Run serves until Shutdown or until the listener fails.
func (s *Server) Run() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// Shutdown stops taking requests and waits for those in flight until ctx ends.
// Then it closes every connection.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		_ = s.server.Close()
		return errors.Wrap(err, "shut down HTTP")
	}
	return nil
}

// counting counts requests and answers by status class, and turns a panic of
// a handler into a typed answer. http.ErrAbortHandler passes: it breaks the
// connection so that the caller sees a truncated answer as such.
func counting(scope tally.Scope) negroni.Handler {
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

// Package lifecycle drains a process: it counts the requests in flight, drives the state machine of
// package drain, and signals when the process may end.
package lifecycle

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// closeTimeout bounds the shutdown of the servers after the drain has ended.
const closeTimeout = 2 * time.Second

const advanceInterval = 20 * time.Millisecond

// Lifecycle manages the drain of one process. It is safe for concurrent use.
type Lifecycle struct {
	log      *zap.Logger
	mu       sync.Mutex
	progress *drain.Progress
	inFlight int
	started  bool
	ended    chan struct{}
}

// New returns a lifecycle in the phase Serving.
func New(log *zap.Logger, plan drain.Plan) *Lifecycle {
	return &Lifecycle{log: log, progress: drain.New(plan), ended: make(chan struct{})}
}

// Begin admits one request. While draining, it returns an error of the kind Draining with the
// outcome NotRun. Each admitted request must be ended by Done.
func (l *Lifecycle) Begin() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.progress.AcceptsWork() {
		return drainingError("this instance is draining and accepts no new requests")
	}
	l.inFlight++
	return nil
}

// Admit returns an error of the kind Draining with the outcome NotRun if this instance drains and may end before a
// request with the given deadline does.
func (l *Lifecycle) Admit(deadline time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.progress.Admits(time.Now(), deadline) {
		return drainingError("this instance is draining and may end before the request does")
	}
	return nil
}

func drainingError(reason string) error {
	return problem.New(problem.Draining, "request the addresses again and send the request to one of them", "%s", reason).
		WithOutcome(problem.NotRun).WithRetryAfter(time.Second)
}

// Done ends one admitted request.
func (l *Lifecycle) Done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// InFlight returns the number of admitted requests that have not ended.
func (l *Lifecycle) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Phase returns the current phase.
func (l *Lifecycle) Phase() drain.Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.Phase()
}

// Drain starts the drain. A second call ends it immediately.
func (l *Lifecycle) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logPhase(l.progress.Start(time.Now(), l.inFlight))
	if !l.started {
		l.started = true
		go l.run()
	}
}

// AbortedRequests returns the number of requests that were in flight when the drain ended by its
// timeout or by a second call of Drain.
func (l *Lifecycle) AbortedRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.AbortedRequests()
}

// AbortedError returns the error of requests that are in flight when the drain ends. Its outcome is
// NotKnown.
func AbortedError() error {
	return problem.New(problem.Draining, "send the request again if it is idempotent, or raise shutdownSeconds",
		"this instance ended before the request did").WithOutcome(problem.NotKnown)
}

// Err returns an error if the end of the drain aborted requests.
func (l *Lifecycle) Err() error {
	if n := l.AbortedRequests(); n > 0 {
		return problem.New(problem.Draining, "raise shutdownSeconds, and send SIGTERM only once", "%d requests were aborted by the shutdown", n)
	}
	return nil
}

// Ended returns a channel that is closed when the process may end.
func (l *Lifecycle) Ended() <-chan struct{} { return l.ended }

// Server is a server that is shut down when the process ends.
type Server interface {
	// Shutdown stops accepting requests and waits for those in flight until ctx ends.
	Shutdown(ctx context.Context) error
}

// WaitAndShutdown waits until ctx or the drain has ended. It then calls stop, cancels the requests
// in flight with AbortedError, and shuts down the servers.
func (l *Lifecycle) WaitAndShutdown(ctx context.Context, stop func(), cancelRequests context.CancelCauseFunc, servers ...Server) {
	select {
	case <-ctx.Done():
	case <-l.ended:
	}
	stop()
	cancelRequests(AbortedError())
	shutdownCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(shutdownCtx)
	}
}

func (l *Lifecycle) run() {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	defer close(l.ended)
	for range ticker.C {
		if l.step() == drain.Ended {
			return
		}
	}
}

func (l *Lifecycle) step() drain.Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.progress.Phase()
	after := l.progress.Advance(time.Now(), l.inFlight)
	if before != after {
		l.logPhase(after)
	}
	return after
}

func (l *Lifecycle) logPhase(p drain.Phase) {
	l.log.Info("drain phase", zap.Stringer("phase", p), zap.Int("inFlight", l.inFlight), zap.Int("aborted", l.progress.AbortedRequests()))
}

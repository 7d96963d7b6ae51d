// Package lifecycle drives the drain of a process: it counts the requests in
// flight, advances the decision of package drain, and tells when to end.
package lifecycle

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// closeBound bounds the closing of the servers after the drain has ended.
const closeBound = 2 * time.Second

const advanceInterval = 20 * time.Millisecond

// Lifecycle is the drain of one process. It is safe for concurrent use.
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

// Begin admits one request. The error has the kind Draining and the outcome
// NotRun. Every admitted request must be ended by Done.
func (l *Lifecycle) Begin() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.progress.AcceptsWork() {
		return problem.New(problem.Draining, "ask for addresses again and send the request there",
			"this instance is leaving").WithOutcome(problem.NotRun).WithRetryAfter(time.Second)
	}
	l.inFlight++
	return nil
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

// Phase returns the present phase.
func (l *Lifecycle) Phase() drain.Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.Phase()
}

// Drain begins to leave. A second call ends the process at once.
func (l *Lifecycle) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(l.progress.Start(time.Now(), l.inFlight))
	if !l.started {
		l.started = true
		go l.advance()
	}
}

// AbortedRequests returns the number of requests that the bound, or a second order to
// drain, has cut off.
func (l *Lifecycle) AbortedRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.AbortedRequests()
}

// AbortedError is what requests in flight end with when the drain ends before them.
// Its outcome is NotKnown.
func AbortedError() error {
	return problem.New(problem.Draining, "send the request again if it is idempotent, or raise shutdownSeconds",
		"this instance ended before the request did").WithOutcome(problem.NotKnown)
}

// Err returns an error if the drain has cut requests off.
func (l *Lifecycle) Err() error {
	if n := l.AbortedRequests(); n > 0 {
		return problem.New(problem.Draining, "raise shutdownSeconds, and send one SIGTERM only", "%d requests were cut off", n)
	}
	return nil
}

// Ended is closed when the process may end.
func (l *Lifecycle) Ended() <-chan struct{} { return l.ended }

// Server is what a process closes when it ends.
type Server interface {
	// Shutdown stops taking requests and waits for those in flight until ctx
	// ends.
	Shutdown(ctx context.Context) error
}

// WaitAndShutdown waits until ctx or the drain has ended. Then it calls stop, ends
// the requests in flight with CutError, and closes the servers.
func (l *Lifecycle) WaitAndShutdown(ctx context.Context, stop func(), cutOff context.CancelCauseFunc, servers ...Server) {
	select {
	case <-ctx.Done():
	case <-l.ended:
	}
	stop()
	cutOff(AbortedError())
	closing, cancel := context.WithTimeout(context.Background(), closeBound)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(closing)
	}
}

func (l *Lifecycle) advance() {
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
		l.note(after)
	}
	return after
}

func (l *Lifecycle) note(p drain.Phase) {
	l.log.Info("drain phase", zap.Stringer("phase", p), zap.Int("inFlight", l.inFlight), zap.Int("cut", l.progress.AbortedRequests()))
}

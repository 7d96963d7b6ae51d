package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// stallPatience is the time without an event after which a stream is given up, in multiples of
	// the time after which a caller is expected to disconnect. A caller that waits longer than
	// expected still gets the events of a slow stream.
	stallPatience = 2
	// stallGrace is the time from the expiry of a stall timer to the end of the stream: events that
	// arrived while this process was suspended are passed on within it.
	stallGrace = 200 * time.Millisecond
)

var errStalled = errors.New("event stream stalled: the backend server sent no complete event in time")

// stallTimeout returns how long a stream may bring no complete event. Comments and incomplete events
// do not count, so a server that sends a byte now and then does not keep a stream open.
func (x *exchange) stallTimeout() time.Duration { return stallPatience * x.callerPatience() }

// stallTimer cancels an attempt unless it is reset in time. It is safe for concurrent use.
type stallTimer struct {
	timeout time.Duration
	cancel  context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	inGrace bool
	done    bool
}

func newStallTimer(timeout time.Duration, cancel context.CancelCauseFunc) *stallTimer {
	t := &stallTimer{timeout: timeout, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.onTimer)
	return t
}

func (t *stallTimer) onTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.done:
	case t.inGrace:
		t.done = true
		t.cancel(errStalled)
	default:
		t.inGrace = true
		t.timer.Reset(stallGrace)
	}
}

// reset starts the time again.
func (t *stallTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.done {
		t.inGrace = false
		t.timer.Reset(t.timeout)
	}
}

// stop ends the timer without a cancellation.
func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// expired reports whether the timer has cancelled the attempt.
func (t *stallTimer) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.done
}

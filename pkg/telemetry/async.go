package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the total size of the buffered lines.
	maxPendingBytes = 512 << 10
	// flushInterval is the pause between writes, so that several lines are combined into one write.
	flushInterval = 50 * time.Millisecond
)

// AsyncWriter buffers lines and writes them to another writer in the background, so that a blocked
// output never blocks the callers. Lines that exceed the buffer are dropped and counted. It is safe
// for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	// writeMu serialises writes to out.
	writeMu sync.Mutex
}

// NewAsyncWriter returns a writer that writes to out in the background.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers the complete line or drops it, and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync writes the buffered lines. It stops waiting after flushInterval, in case the output is
// blocked, and always returns nil.
func (w *AsyncWriter) Sync() error {
	done := make(chan struct{})
	go func() {
		w.flush()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushInterval):
	}
	return nil
}

func (w *AsyncWriter) run() {
	for range w.wake {
		w.flush()
		time.Sleep(flushInterval)
	}
}

func (w *AsyncWriter) flush() {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"log lines were dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // a failure cannot be reported: the log is the output
	}
}

package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the lines that wait to be written.
	maxPendingBytes = 512 << 10
	// flushPause gathers lines into one write.
	flushPause = 50 * time.Millisecond
)

// AsyncWriter writes in the background: a blocked writer below it never blocks
// a caller. Lines that find no room are dropped and counted. It is safe for
// concurrent use.
type AsyncWriter struct {
	to      io.Writer
	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	// writing is held while the writer below is in use.
	writing sync.Mutex
}

// NewAsyncWriter returns a writer that writes to another one in the background.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{to: to, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer. It always takes the whole line or drops it.
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

// Sync writes what is pending, for as long as a usual write takes: it gives up
// where the writer below is blocked.
func (w *AsyncWriter) Sync() error {
	done := make(chan struct{})
	go func() {
		w.flush()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushPause):
	}
	return nil
}

func (w *AsyncWriter) run() {
	for range w.wake {
		w.flush()
		time.Sleep(flushPause)
	}
}

func (w *AsyncWriter) flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"log lines were dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.to.Write(lines) // there is no other place to report it
	}
}

package cli

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// drainCounter records the calls of Drain.
type drainCounter struct{ started, drains chan struct{} }

// Drain implements drainer.
func (d *drainCounter) Drain() { d.drains <- struct{}{} }

// Run implements drainer.
func (d *drainCounter) Run(ctx context.Context) error {
	close(d.started)
	<-ctx.Done()
	return nil
}

// TestRepeatedStopSignal guards against a supervisor that repeats SIGTERM within the grace period and so cuts off the
// requests that a process of a site finishes. A second SIGINT, which a person sends, ends it at once.
func TestRepeatedStopSignal(t *testing.T) {
	site := func(s os.Signal) bool { return endsSiteAtOnce(s, zap.NewNop()) }
	for name, c := range map[string]struct {
		endsAtOnce func(os.Signal) bool
		second     syscall.Signal
		drains     int
	}{
		"site, SIGTERM twice":        {site, syscall.SIGTERM, 1},
		"site, SIGTERM then SIGINT":  {site, syscall.SIGINT, 2},
		"other, SIGTERM twice":       {anySignal, syscall.SIGTERM, 2},
		"other, SIGTERM then SIGINT": {anySignal, syscall.SIGINT, 2},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			process := &drainCounter{started: make(chan struct{}), drains: make(chan struct{}, 8)}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = runUntilSignal(ctx, process, c.endsAtOnce) // Run returns no error
			}()
			defer func() {
				cancel()
				<-done
			}()
			<-process.started
			for _, sig := range []syscall.Signal{syscall.SIGTERM, c.second} {
				if err := syscall.Kill(os.Getpid(), sig); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			if got := len(process.drains); got != c.drains {
				t.Errorf("%d calls of Drain, want %d", got, c.drains)
			}
		})
	}
}

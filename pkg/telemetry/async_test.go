package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// gatedWriter blocks writes until gate is closed.
type gatedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	<-g.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *gatedWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// TestBlockedOutputDoesNotBlockLogging guards against a process that stalls because its log output
// blocks. It logs 10,000 lines, more than a million bytes, to a blocked output and checks that the
// number of dropped lines is logged once the output accepts writes again.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &gatedWriter{gate: make(chan struct{})}
	log := telemetry.NewLogger(telemetry.NewAsyncWriter(out), "p", "n")
	began := time.Now()
	for range 10_000 {
		log.Info("request", zap.String("request", "0123456789abcdef"))
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("logging 10,000 lines took %v, want at most 3s", took)
	}
	close(out.gate)
	for end := time.Now().Add(3 * time.Second); !strings.Contains(out.text(), "log lines were dropped"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the dropped lines were not reported in the log")
		}
	}
}

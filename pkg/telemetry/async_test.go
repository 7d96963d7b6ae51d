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

// gated blocks writes until it is opened.
type gated struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *gated) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *gated) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// TestBlockedOutputStallsNobody: a million bytes of lines to an output that
// blocks take no longer than their encoding, and what was dropped is told.
func TestBlockedOutputStallsNobody(t *testing.T) {
	out := &gated{open: make(chan struct{})}
	log := telemetry.NewLogger(telemetry.NewAsyncWriter(out), "p", "n")
	began := time.Now()
	for range 10_000 {
		log.Info("request", zap.String("request", "0123456789abcdef"))
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("10,000 lines took %v", took)
	}
	close(out.open)
	for end := time.Now().Add(3 * time.Second); !strings.Contains(out.text(), "log lines were dropped"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the dropped lines are not told")
		}
	}
}

package cli

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestEndlessStatusIsGivenUp guards against a command that keeps all that a process sends without end.
func TestEndlessStatusIsGivenUp(t *testing.T) {
	const maxAllocated = 64 << 20
	chunk := strings.Repeat(`{"name":"x"},`, 4096)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := w.Write([]byte("["))
		for err == nil {
			_, err = w.Write([]byte(chunk))
		}
	}))
	defer server.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	var list []statusRow
	if err := getJSON(context.Background(), server.URL, &list); err == nil {
		t.Error("a response without an end was decoded")
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated || time.Since(began) > operatorTimeout+time.Second {
		t.Errorf("took %v and %d MiB of memory, want at most %v and %d MiB", time.Since(began), allocated>>20, operatorTimeout, maxAllocated>>20)
	}
}

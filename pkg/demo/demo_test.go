package demo

import (
	"context"
	"io"
	"strings"
	"testing"
)

func TestRunStopsWithoutErrorWhenCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out strings.Builder
	if err := Run(ctx, Arcos, &out, io.Discard); err != nil || !strings.Contains(out.String(), "Interrupted") {
		t.Fatalf("Run returned %v and printed %q, want no error and Interrupted in the output", err, out.String())
	}
}

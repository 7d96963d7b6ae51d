// Package wait pauses a goroutine.
package wait

import (
	"context"
	"time"
)

// For returns after the duration, or when ctx ends.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

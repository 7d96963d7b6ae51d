// Package wait provides a pause that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For blocks for the duration d or until ctx ends. It returns at once if d is not positive.
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

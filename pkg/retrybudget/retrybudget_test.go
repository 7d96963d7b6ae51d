package retrybudget_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuehub/fescuehub/pkg/retrybudget"
)

var start = time.Unix(1_700_000_000, 0)

// TestEntriesStayWithinSharedBudget: every request fails at once at all entries. In any window
// their retries together stay within the ratio and floor, although each entry gets the counts of
// the others late.
func TestEntriesStayWithinSharedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := retrybudget.Limits{Ratio: 0.2, Floor: 94, Window: 3 * time.Second}
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		every := rapid.IntRange(1, 4).Draw(t, "ticks between messages")
		perTick := rapid.IntRange(0, 6).Draw(t, "requests")
		attempts := rapid.IntRange(1, 8).Draw(t, "retries")
		budgets := make([]*retrybudget.Budget, entries)
		for i := range budgets {
			budgets[i] = retrybudget.New(limits, start)
		}
		exchange := func(now time.Time) {
			for i, b := range budgets {
				counts := b.Snapshot(now)
				for j, other := range budgets {
					if i != j {
						other.SetEntryCounts(fmt.Sprint(i), counts)
					}
				}
			}
		}
		exchange(start)
		type tick struct{ requests, retries int }
		var history []tick
		for n := range 100 {
			now := start.Add(time.Duration(n) * 100 * time.Millisecond)
			if n%every == 0 {
				exchange(now)
			}
			var current tick
			for _, b := range budgets {
				for range perTick {
					b.RecordRequest(now, "s")
					current.requests++
				}
				for range attempts {
					if b.Acquire(now, "s") {
						current.retries++
					}
				}
			}
			history = append(history, current)
			var window tick
			for _, h := range history[max(0, len(history)-30):] {
				window.requests += h.requests
				window.retries += h.retries
			}
			if allowed := 0.2*float64(window.requests) + 94; float64(window.retries) > allowed {
				t.Fatalf("tick %d: %d retries in a window, %v are allowed", n, window.retries, allowed)
			}
		}
	})
}

// TestBudgetIsUsed checks that a single entry can use most of the floor, and can retry again in the
// next window.
func TestBudgetIsUsed(t *testing.T) {
	b := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Floor: 94, Window: 10 * time.Second}, start)
	retries := 0
	for range 200 {
		if b.Acquire(start, "s") {
			retries++
		}
	}
	if retries < 60 || retries > 94 {
		t.Errorf("got %d retries, want 60 to 94", retries)
	}
	later := start.Add(11 * time.Second)
	b.Snapshot(later)
	if !b.Acquire(later, "s") {
		t.Error("the budget is not restored after a window")
	}
}

// TestWindowExpiresAfterPause checks that a process that was suspended for long does not count
// requests from before.
func TestWindowExpiresAfterPause(t *testing.T) {
	b := retrybudget.New(retrybudget.Limits{Ratio: 1, Floor: 1, Window: 10 * time.Second}, start)
	b.RecordRequest(start, "s")
	if got := b.Snapshot(start.Add(time.Hour))["s"]; got.Requests != 0 {
		t.Errorf("got counts %+v after a pause of an hour, want none", got)
	}
}

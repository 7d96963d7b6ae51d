package retrybudget_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuehub/fescuehub/pkg/retrybudget"
)

var start = time.Unix(1_700_000_000, 0)

// TestEntriesStayWithinTheBudgetTogether answers a load in which every request
// fails at once at all entries: in any window their repeats stay within the
// operators' ratio and floor, though counts reach the others late.
func TestEntriesStayWithinTheBudgetTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := retrybudget.Limits{Ratio: 0.2, Floor: 94, Window: 3 * time.Second}
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		every := rapid.IntRange(1, 4).Draw(t, "ticks between messages")
		perTick := rapid.IntRange(0, 6).Draw(t, "requests")
		wanted := rapid.IntRange(1, 8).Draw(t, "repeats")
		budgets := make([]*retrybudget.Budget, entries)
		for i := range budgets {
			budgets[i] = retrybudget.New(limits, start)
		}
		share := func(now time.Time) {
			for i, b := range budgets {
				counts := b.Snapshot(now)
				for j, other := range budgets {
					if i != j {
						other.SetEntryCounts(fmt.Sprint(i), counts)
					}
				}
			}
		}
		share(start)
		type tick struct{ requests, repeats int }
		var history []tick
		for n := range 100 {
			now := start.Add(time.Duration(n) * 100 * time.Millisecond)
			if n%every == 0 {
				share(now)
			}
			var did tick
			for _, b := range budgets {
				for range perTick {
					b.RecordRequest(now, "s")
					did.requests++
				}
				for range wanted {
					if b.Acquire(now, "s") {
						did.repeats++
					}
				}
			}
			history = append(history, did)
			var window tick
			for _, h := range history[max(0, len(history)-30):] {
				window.requests += h.requests
				window.repeats += h.repeats
			}
			if allowed := 0.2*float64(window.requests) + 94; float64(window.repeats) > allowed {
				t.Fatalf("tick %d: %d repeats in a window, %v are allowed", n, window.repeats, allowed)
			}
		}
	})
}

// TestBudgetIsUsed: one entry alone gets most of the floor.
func TestBudgetIsUsed(t *testing.T) {
	b := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Floor: 94, Window: 10 * time.Second}, start)
	taken := 0
	for range 200 {
		if b.Acquire(start, "s") {
			taken++
		}
	}
	if taken < 60 || taken > 94 {
		t.Errorf("%d repeats", taken)
	}
	later := start.Add(11 * time.Second)
	b.Snapshot(later)
	if !b.Acquire(later, "s") {
		t.Error("the budget does not come back after a window")
	}
}

// TestWindowEndsAfterAFreeze: a process that slept for long counts nothing of
// before.
func TestWindowEndsAfterAFreeze(t *testing.T) {
	b := retrybudget.New(retrybudget.Limits{Ratio: 1, Floor: 1, Window: 10 * time.Second}, start)
	b.RecordRequest(start, "s")
	if got := b.Snapshot(start.Add(time.Hour))["s"]; got.Requests != 0 {
		t.Errorf("%+v", got)
	}
}

package limits

import (
	"fmt"
	"io"
)

// Result holds the tables of all measurements.
type Result struct {
	Seed       uint64          `json:"seed"`
	Overload   []OverloadRow   `json:"overload"`
	Batch      []BatchRow      `json:"batch"`
	RetryAfter []RetryAfterRow `json:"returns"`
	SharedPool []SharedPoolRow `json:"entries"`
}

// Measure runs all measurements.
func Measure(seed uint64) Result {
	return Result{Seed: seed, Overload: Overload(seed), Batch: Batch(seed), RetryAfter: RetryAfter(seed), SharedPool: SharedPool(seed)}
}

// Write prints the tables.
func (r Result) Write(w io.Writer) {
	fmt.Fprintf(w, "Overload (seed %d): %d slots, mean service %v, capacity %.0f requests/s, queue limit %d\n", r.Seed, slots, meanService, capacity(), queueLimit)
	fmt.Fprintln(w, "load  who    policy              goodput  small p95 s  small wait p95 s  small answered  refused told p95 s  wasted slots  batch answered  longest batch wait s")
	for _, o := range r.Overload {
		who := "all"
		if o.OnlyLarge {
			who = "large"
		}
		fmt.Fprintf(w, "%4.1f  %-5s  %-18s  %6.1f%%  %11.2f  %16.2f  %13.1f%%  %18.2f  %11.1f%%  %13.1f%%  %20.1f\n",
			o.Load, who, o.Policy, 100*o.Goodput, o.SmallP95Seconds, o.SmallWaitP95Seconds, 100*o.SmallAnswered,
			o.RefusedP95Seconds, 100*o.WastedSlots, 100*o.BatchAnswered, o.LongestBatchWaitSeconds)
	}
	fmt.Fprintf(w, "\nBatch class: %d slots, interactive load %.1f of the capacity, %.0f batch request/s\n", batchSlots, interactiveLoad, batchRate)
	fmt.Fprintln(w, "policy                 batch/s  longest batch wait s  small wait p95 s  goodput")
	for _, b := range r.Batch {
		fmt.Fprintf(w, "%-21s  %7.2f  %20.1f  %16.2f  %6.1f%%\n", b.Policy, b.BatchPerSecond, b.LongestWaitSeconds, b.SmallWaitP95Seconds, 100*b.Goodput)
	}
	fmt.Fprintf(w, "\nRetry-After: %d callers within %v on a pool at load %.1f\n", burstCallers, burstTime, baseLoad)
	fmt.Fprintln(w, "policy      peak returns/s  tries  answered  95% of the answers within s")
	for _, b := range r.RetryAfter {
		fmt.Fprintf(w, "%-10s  %14d  %5d  %7.1f%%  %27.1f\n", b.Policy, b.PeakPerSecond, b.Tries, 100*b.Answered, b.SecondsToAnswer95)
	}
	fmt.Fprintf(w, "\nShared pool: %d entries, %d replicas of %d\n", entryCount, replicaCount, replicaConcurrency)
	fmt.Fprintln(w, "load  skewed  policy           goodput  agents' refusals per answer  refused after admission  p95 s")
	for _, e := range r.SharedPool {
		fmt.Fprintf(w, "%4.1f  %-6t  %-15s  %6.1f%%  %27.3f  %22.2f%%  %5.2f\n", e.Load, e.Skewed, e.Policy, 100*e.Goodput, e.RefusalsPerAnswer, 100*e.LateRefused, e.P95Seconds)
	}
}

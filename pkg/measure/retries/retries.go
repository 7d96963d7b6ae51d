package retries

import (
	"fmt"
	"io"

	"github.com/fescuehub/fescuehub/pkg/measure/virtualtime"
	"github.com/fescuehub/fescuehub/pkg/retry"
)

// Result holds the tables of all measurements.
type Result struct {
	Seed   uint64      `json:"seed"`
	Outage []OutageRow `json:"outage"`
	Hedges []HedgeRow  `json:"hedges"`
}

// Measure runs all measurements.
func Measure(seed uint64) Result {
	result := Result{Seed: seed}
	for _, ejection := range []bool{false, true} {
		for _, failure := range []Failure{FailMidAttempt, RefuseAttempt} {
			for _, load := range []float64{0.4, 0.7, 0.9} {
				result.Outage = append(result.Outage,
					simulateOutage("never", neverRetry{}, failure, load, ejection, false, seed),
					simulateOutage("always", alwaysRetry{}, failure, load, ejection, false, seed),
					simulateOutage("budget", newBudgetPolicy(), failure, load, ejection, false, seed),
					simulateOutage("fescuehub", newBudgetPolicy(), failure, load, ejection, true, seed),
				)
			}
		}
	}
	result.Hedges = Hedges(seed)
	return result
}

func newBudgetPolicy() retryPolicy {
	return budgetPolicy{retry.New(retry.DefaultLimits, virtualtime.Epoch)}
}

// Write prints the tables.
func (r Result) Write(w io.Writer) {
	fmt.Fprintf(w, "Outage of half a pool for %v (seed %d): %d replicas of %d, mean service %v, deadline %v\n", outageLength, r.Seed, replicas, concurrency, meanService, requestTimeout)
	fmt.Fprintln(w, "Attempts are multiples of the requests that arrive. budget: the retry policy alone; fescuehub: with the entry's queue before it.")
	fmt.Fprintln(w, "ejection  half        load  policy     servers during  servers peak after  agents during  back within s  answered during  answered after")
	for _, o := range r.Outage {
		fmt.Fprintf(w, "%-8t  %-10s  %.1f   %-9s  %13.2fx  %17.2fx  %12.2fx  %13.0f  %14.1f%%  %13.1f%%\n",
			o.Ejection, o.Failure, o.Load, o.Policy, o.ServerAttemptsDuring, o.ServerAttemptsPeakAfter, o.AgentAttemptsDuring, o.RecoverySeconds, 100*o.AnsweredDuring, 100*o.AnsweredAfter)
	}
	fmt.Fprintf(w, "\nHedges: one replica of %d is %dx slower for %v in every %v\n", replicas, stallFactor, stallLength, stallPeriod)
	fmt.Fprintln(w, "load  policy              p50 s  p95 s  p99 s  attempts per request  slot time per request s")
	for _, h := range r.Hedges {
		fmt.Fprintf(w, "%.1f   %-18s  %5.2f  %5.2f  %5.2f  %20.3f  %23.2f\n", h.Load, h.Policy, h.P50Seconds, h.P95Seconds, h.P99Seconds, h.AttemptsPerRequest, h.SlotSecondsPerRequest)
	}
}

package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counts are the numbers of requests of a run by result.
type Counts struct {
	Sent int `json:"sent"`
	// Completed requests got a complete response that belongs to the request.
	Completed int `json:"whole"`
	// Wrong requests got a response that ended without an error but does not belong to the
	// request, or that reports a second execution.
	Wrong int `json:"wrong"`
	// Refused requests got a typed error, RetryAfter of them with a retry time.
	Refused    int `json:"refused"`
	RetryAfter int `json:"retryAfter"`
	// Failed requests were interrupted or timed out.
	Failed int `json:"failed"`
	// WritesUnknown counts the writes that may or may not have run.
	WritesUnknown int `json:"writesNotKnown"`
	// NotSent requests were dropped because MaxInFlight requests were in flight.
	NotSent int `json:"notSent"`
}

// Latencies summarises a histogram as a count, percentiles and the maximum, in milliseconds.
// P999 is the 99.9th percentile.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50MS"`
	P95   float64 `json:"p95MS"`
	P99   float64 `json:"p99MS"`
	P999  float64 `json:"p999MS"`
	Max   float64 `json:"maxMS"`
}

// Result is the result of one run. All times but BetweenTokens count from the planned arrival.
type Result struct {
	Options        Options `json:"options"`
	ElapsedSeconds float64 `json:"elapsedSeconds"`
	Counts         Counts  `json:"counts"`
	// Kinds counts refusals by kind and outcome, as in "overloaded not-run", and failures by kind
	// with the prefix "broken ".
	Kinds          map[string]int `json:"kinds"`
	FirstToken     Latencies      `json:"firstToken"`
	BetweenTokens  Latencies      `json:"betweenTokens"`
	CompleteAnswer Latencies      `json:"wholeAnswer"`
	Writes         Latencies      `json:"writes"`
	// Refusals are the times until the end of the refused and failed requests.
	Refusals Latencies `json:"refusals"`
}

func (r *recorder) result(o Options, elapsed time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Result{
		Options: o, ElapsedSeconds: elapsed.Seconds(), Counts: r.counts, Kinds: maps.Clone(r.kinds),
		FirstToken: latenciesOf(r.firstToken), BetweenTokens: latenciesOf(r.betweenTokens),
		CompleteAnswer: latenciesOf(r.completeAnswer), Writes: latenciesOf(r.writes), Refusals: latenciesOf(r.refusals),
	}
}

func latenciesOf(h *hdrhistogram.Histogram) Latencies {
	ms := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / 1000 }
	return Latencies{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// named returns the latencies with their display names, in display order.
func (r *Result) named() []namedLatencies {
	return []namedLatencies{
		{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}, {"whole answer", r.CompleteAnswer},
		{"writes", r.Writes}, {"not answered", r.Refusals},
	}
}

type namedLatencies struct {
	name      string
	latencies Latencies
}

// Write prints the result.
func (r *Result) Write(w io.Writer) {
	c := r.Counts
	fmt.Fprintf(w, "%d sent in %.1f s: %d completed, %d wrong, %d refused (%d with Retry-After), %d failed, %d writes with unknown outcome, %d not sent\n",
		c.Sent, r.ElapsedSeconds, c.Completed, c.Wrong, c.Refused, c.RetryAfter, c.Failed, c.WritesUnknown, c.NotSent)
	for _, k := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Fprintf(w, "  %-40s %d\n", k, r.Kinds[k])
	}
	fmt.Fprintln(w, "ms               count      p50      p95      p99    p99.9      max")
	for _, n := range r.named() {
		t := n.latencies
		fmt.Fprintf(w, "%-14s %7d %8.1f %8.1f %8.1f %8.1f %8.1f\n", n.name, t.Count, t.P50, t.P95, t.P99, t.P999, t.Max)
	}
}

// Change is one figure of two results A and B. Factor is B/A, or 0 if A is 0.
type Change struct {
	Name   string  `json:"name"`
	A      float64 `json:"a"`
	B      float64 `json:"b"`
	Factor float64 `json:"factor"`
}

// Compare returns the figures of two results side by side.
func Compare(a, b *Result) []Change {
	changes := []Change{
		newChange("whole part of sent", fraction(a.Counts.Completed, a.Counts.Sent), fraction(b.Counts.Completed, b.Counts.Sent)),
		newChange("refused part of sent", fraction(a.Counts.Refused, a.Counts.Sent), fraction(b.Counts.Refused, b.Counts.Sent)),
		newChange("wrong", float64(a.Counts.Wrong), float64(b.Counts.Wrong)),
	}
	right := b.named()
	for i, left := range a.named() {
		changes = append(changes,
			newChange(left.name+" p50 ms", left.latencies.P50, right[i].latencies.P50),
			newChange(left.name+" p95 ms", left.latencies.P95, right[i].latencies.P95),
			newChange(left.name+" p99 ms", left.latencies.P99, right[i].latencies.P99))
	}
	return changes
}

func newChange(name string, a, b float64) Change {
	c := Change{Name: name, A: a, B: b}
	if a != 0 {
		c.Factor = b / a
	}
	return c
}

func fraction(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// WriteChanges prints a comparison. A factor of 0 means that A is 0.
func WriteChanges(w io.Writer, changes []Change) {
	fmt.Fprintln(w, "figure                          A           B     B/A")
	for _, c := range changes {
		fmt.Fprintf(w, "%-22s %10.3f  %10.3f  %6.2f\n", c.Name, c.A, c.B, c.Factor)
	}
}

package load

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// The range of the histograms in microseconds, and their precision.
const (
	lowestMicros      = 1
	highestMicros     = 20 * 60 * 1_000_000
	significantDigits = 3
)

// recorder collects the results of the requests. It is safe for concurrent use.
type recorder struct {
	mu                                                          sync.Mutex
	firstToken, betweenTokens, completeAnswer, writes, refusals *hdrhistogram.Histogram
	counts                                                      Counts
	kinds                                                       map[string]int
}

func newRecorder() *recorder {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return &recorder{firstToken: h(), betweenTokens: h(), completeAnswer: h(), writes: h(), refusals: h(), kinds: make(map[string]int)}
}

// recordDuration adds d to the histogram, limited to its range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// addToken records one token of a stream. previous is the time of the token before it, zero for
// the first token.
func (r *recorder) addToken(planned, previous, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if previous.IsZero() {
		recordDuration(r.firstToken, now.Sub(planned))
		return
	}
	recordDuration(r.betweenTokens, now.Sub(previous))
}

// addAnswer records a response that ended without an error. correct reports whether it is the
// complete response to this request.
func (r *recorder) addAnswer(a Arrival, planned time.Time, correct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	if !correct {
		r.counts.Wrong++
		return
	}
	r.counts.Completed++
	h := r.completeAnswer
	if a.Kind == Write {
		h = r.writes
	}
	recordDuration(h, time.Since(planned))
}

// addRefusal records a typed error response.
func (r *recorder) addRefusal(a Arrival, planned time.Time, res *http.Response) {
	var doc problem.Document
	_ = json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&doc)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	r.counts.Refused++
	if doc.RetryAfterSeconds > 0 {
		r.counts.RetryAfter++
	}
	if a.Kind == Write && doc.Outcome != problem.NotRun {
		r.counts.WritesUnknown++
	}
	r.kinds[string(doc.Title)+" "+string(doc.Outcome)]++
	recordDuration(r.refusals, time.Since(planned))
}

// addFailure records a request without a complete response or a typed error.
func (r *recorder) addFailure(a Arrival, planned time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	r.counts.Failed++
	if a.Kind == Write {
		r.counts.WritesUnknown++
	}
	r.kinds["broken "+string(problem.Of(err).Kind)]++
	recordDuration(r.refusals, time.Since(planned))
}

func (r *recorder) addNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.NotSent++
}

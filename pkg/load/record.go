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

// The range and precision of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 20 * 60 * 1_000_000
	digits        = 3
)

// recorder collects what callers got. It is safe for concurrent use.
type recorder struct {
	mu                                      sync.Mutex
	firstToken, between, answer, write, end *hdrhistogram.Histogram
	counts                                  Counts
	kinds                                   map[string]int
}

func newRecorder() *recorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &recorder{firstToken: h(), between: h(), answer: h(), write: h(), end: h(), kinds: make(map[string]int)}
}

func note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// token records one event of a stream. before is zero for the first.
func (r *recorder) token(planned, before, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before.IsZero() {
		note(r.firstToken, now.Sub(planned))
		return
	}
	note(r.between, now.Sub(before))
}

// answered records an answer that came to its end. own is false where it is not
// the complete answer to this very request.
func (r *recorder) answered(a Arrival, planned time.Time, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	if !own {
		r.counts.Wrong++
		return
	}
	r.counts.Completed++
	h := r.answer
	if a.Kind == Write {
		h = r.write
	}
	note(h, time.Since(planned))
}

// refused records a typed error in place of an answer.
func (r *recorder) refused(a Arrival, planned time.Time, res *http.Response) {
	var doc problem.Document
	_ = json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(&doc)
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
	note(r.end, time.Since(planned))
}

// failed records a request without a whole answer or a typed error.
func (r *recorder) failed(a Arrival, planned time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	r.counts.Failed++
	if a.Kind == Write {
		r.counts.WritesUnknown++
	}
	r.kinds["broken "+string(problem.Of(err).Kind)]++
	note(r.end, time.Since(planned))
}

func (r *recorder) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.NotSent++
}

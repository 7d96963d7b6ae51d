// Package weightstore implements a stand-in for the platform's rate-limited store of model weights.
package weightstore

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/standin/faults"
)

// Faults are the faults that can be injected into the store.
type Faults struct {
	// Outage makes every read fail.
	Outage bool `json:"outage,omitempty"`
	// SlowMS is a delay before every read, in milliseconds.
	SlowMS int `json:"slowMS,omitempty"`
	// TruncateReads is the number of reads to truncate in the middle.
	TruncateReads int `json:"truncateReads,omitempty"`
}

const chunkBytes = 64 << 10

// Service is a simulated weight store. It is safe for concurrent use.
type Service struct {
	Faults *faults.Injector[Faults]

	objectBytes int
	limiter     *rate.Limiter
}

// New returns a store in which every object has objectBytes bytes. It limits the rate over all
// readers to bytesPerSecond.
func New(objectBytes, bytesPerSecond int) *Service {
	return &Service{
		Faults:      faults.NewInjector[Faults](),
		objectBytes: objectBytes,
		limiter:     rate.NewLimiter(rate.Limit(bytesPerSecond), max(bytesPerSecond/10, chunkBytes)),
	}
}

// Handler returns a handler for GET /weights/{model}/{object} and the faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{object}", s.serveRead)
	mux.Handle(faults.Path, s.Faults)
	return mux
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	f := s.Faults.Get()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Outage {
		problem.Write(w, problem.New(problem.Unavailable, "wait for the end of the outage", "outage"))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(s.objectBytes))
	remaining := s.objectBytes
	if f.TruncateReads > 0 {
		s.Faults.Update(func(f *Faults) { f.TruncateReads-- })
		remaining /= 2
	}
	s.send(r.Context(), w, remaining)
}

func (s *Service) send(ctx context.Context, w http.ResponseWriter, remaining int) {
	chunk := make([]byte, chunkBytes)
	for remaining > 0 {
		n := min(remaining, chunkBytes)
		if err := s.limiter.WaitN(ctx, n); err != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		remaining -= n
	}
}

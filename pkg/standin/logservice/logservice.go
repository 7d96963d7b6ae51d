// Package logservice implements a stand-in for the platform's append-only log service. It keeps all
// streams in memory.
package logservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	peer "github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/standin/faults"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

// Faults are the faults that can be injected into the service.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage,omitempty"`
	// SlowMS is a delay before every call, in milliseconds.
	SlowMS int `json:"slowMS,omitempty"`
	// LoseReplies is the number of appends to execute without a reply.
	LoseReplies int `json:"loseReplies,omitempty"`
	// OutageAfterLoss sets Outage when a reply is lost.
	OutageAfterLoss bool `json:"outageAfterLoss,omitempty"`
	// OldReplicaRecords is the number of the newest records that reads do not return, as if they
	// were served by a replica that lags behind.
	OldReplicaRecords int `json:"oldReplicaRecords,omitempty"`
}

// Options sets the limits of the service.
type Options struct {
	// AppendsPerSecond limits the rate of appends over all streams.
	AppendsPerSecond int
	// Retention is the time after which a record expires.
	Retention time.Duration
}

const (
	defaultPageRecords = 1000
	maxPageRecords     = 10_000
	maxWait            = 30 * time.Second
)

// Service is a simulated log service. It is safe for concurrent use.
type Service struct {
	Faults *faults.Injector[Faults]

	options Options
	limiter *rate.Limiter
	mu      sync.Mutex
	streams map[string]*stream
}

type stream struct {
	first   int64
	records []peer.Record
	// appended is closed when a record is appended or the stream is reset.
	appended chan struct{}
}

// New returns a service without streams.
func New(options Options) *Service {
	return &Service{
		Faults:  faults.NewInjector[Faults](),
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.AppendsPerSecond), options.AppendsPerSecond),
		streams: make(map[string]*stream),
	}
}

// Handler returns a handler for the protocol of the log service and the faults, and for two paths
// for tests: POST /reset deletes every stream, as if the service had lost its data in a restart;
// POST /expire?stream=S deletes all records of stream S but the newest.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.withFaults(s.serveAppend))
	mux.HandleFunc("GET /streams/{stream}/records", s.withFaults(s.serveRead))
	mux.HandleFunc("POST /reset", s.serveReset)
	mux.HandleFunc("POST /expire", s.serveExpire)
	mux.Handle(faults.Path, s.Faults)
	return mux
}

// withFaults wraps a handler with the faults SlowMS and Outage.
func (s *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults.Get()
		wait.For(r.Context(), time.Duration(f.SlowMS)*time.Millisecond)
		if f.Outage {
			problem.Write(w, problem.New(problem.LogUnavailable, "wait for the end of the outage", "outage"))
			return
		}
		next(w, r)
	}
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	if !s.limiter.Allow() {
		problem.Write(w, problem.New(problem.Overloaded, "append less often", "over %d appends a second", s.options.AppendsPerSecond))
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, peer.MaxRecordBytes))
	if err != nil {
		problem.Write(w, problem.New(problem.TooLarge, "append a smaller record", "%v", err))
		return
	}
	offset := s.append(r.PathValue("stream"), data)
	if s.consumeReplyLoss() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, peer.AppendReply{Offset: offset})
}

// consumeReplyLoss reports whether to lose the reply to this append, and decrements the number of
// replies left to lose.
func (s *Service) consumeReplyLoss() bool {
	lost := false
	s.Faults.Update(func(f *Faults) {
		if f.LoseReplies > 0 {
			f.LoseReplies--
			f.Outage = f.Outage || f.OutageAfterLoss
			lost = true
		}
	})
	return lost
}

func (s *Service) append(name string, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.getOrCreateStream(name)
	offset := st.first + int64(len(st.records))
	st.records = append(st.records, peer.Record{Offset: offset, TimeMS: time.Now().UnixMilli(), Data: data})
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		problem.Write(w, problem.New(problem.BadRequest, "pass from=OFFSET", "%v", err))
		return
	}
	limit := parseLimit(q.Get("max"))
	waitMS, _ := strconv.Atoi(q.Get("waitMS"))
	deadline := time.Now().Add(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	for {
		page, appended := s.page(r.PathValue("stream"), from, limit)
		remaining := time.Until(deadline)
		if len(page.Records) > 0 || remaining <= 0 {
			writeJSON(w, page)
			return
		}
		if s.Faults.Get().Outage {
			problem.Write(w, problem.New(problem.LogUnavailable, "wait for the end of the outage", "outage"))
			return
		}
		s.waitForAppend(r.Context(), appended, remaining)
		if r.Context().Err() != nil {
			return
		}
	}
}

// waitForAppend waits until appended is closed, the faults change, ctx ends or the remaining time has
// passed.
func (s *Service) waitForAppend(ctx context.Context, appended <-chan struct{}, remaining time.Duration) {
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-appended:
	case <-s.Faults.Changed():
	case <-timer.C:
	}
}

func (s *Service) page(name string, from int64, limit int) (peer.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.getOrCreateStream(name)
	s.dropExpired(st)
	visible := max(0, len(st.records)-s.Faults.Get().OldReplicaRecords)
	records := st.records[:visible]
	page := peer.Page{First: st.first, Next: st.first + int64(visible)}
	start := min(max(from-st.first, 0), int64(visible))
	end := min(start+int64(limit), int64(visible))
	page.Records = records[start:end:end]
	return page, st.appended
}

// dropExpired deletes the records that are older than the retention time. The caller must hold s.mu.
func (s *Service) dropExpired(st *stream) {
	cutoff := time.Now().Add(-s.options.Retention).UnixMilli()
	n := 0
	for n < len(st.records) && st.records[n].TimeMS < cutoff {
		n++
	}
	st.drop(n)
}

func (st *stream) drop(n int) {
	st.first += int64(n)
	st.records = st.records[n:]
}

func (s *Service) serveReset(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, st := range s.streams {
		close(st.appended)
		s.streams[name] = newStream()
	}
	writeJSON(w, struct{}{})
}

func (s *Service) serveExpire(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.getOrCreateStream(r.URL.Query().Get("stream"))
	st.drop(max(0, len(st.records)-1))
	writeJSON(w, struct{}{})
}

// getOrCreateStream returns the stream with the name. The caller must hold s.mu.
func (s *Service) getOrCreateStream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

func newStream() *stream {
	return &stream{appended: make(chan struct{})}
}

func parseLimit(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return defaultPageRecords
	}
	return min(n, maxPageRecords)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

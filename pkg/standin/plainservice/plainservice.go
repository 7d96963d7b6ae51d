// Package plainservice is a stand-in for a plain service. It counts the
// executions of every idempotency key, so that a double run shows.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/standin/faults"
)

// Faults are the switchable faults of the service.
type Faults struct {
	// Refuse answers 503 without executing.
	Refuse bool `json:"refuse,omitempty"`
	// DelayMS is the time between execution and answer, in milliseconds.
	DelayMS int `json:"delayMS,omitempty"`
	// LoseAnswers is the number of calls that are executed without an answer.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// TruncateAnswers is the number of answers cut in the middle.
	TruncateAnswers int `json:"truncateAnswers,omitempty"`
}

// Execution counts the runs of one key.
type Execution struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// Answer is the body of a successful call.
type Answer struct {
	Server    string `json:"server"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	Execution int    `json:"execution"`
	Echo      string `json:"echo,omitempty"`
}

const maxBodyBytes = 4 << 20

// Service is the stand-in.
type Service struct {
	Faults *faults.Injector[Faults]

	name   string
	mu     sync.Mutex
	counts map[string]int
}

// New returns a service that has executed nothing.
func New(name string) *Service {
	return &Service{Faults: faults.NewInjector[Faults](), name: name, counts: make(map[string]int)}
}

// Handler serves calls on every path, the faults, and GET /executions.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /executions", s.serveExecutions)
	mux.Handle(faults.Path, s.Faults)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// Executions returns the count of every key.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Execution, 0, len(s.counts))
	for k, n := range s.counts {
		list = append(list, Execution{k, n})
	}
	return list
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Executions())
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		problem.Write(w, problem.New(problem.TooLarge, "send a smaller body", "%v", err))
		return
	}
	f := s.Faults.Get()
	if f.Refuse {
		problem.Write(w, problem.New(problem.Unavailable, "try again later", "refused"))
		return
	}
	key := r.Header.Get("Idempotency-Key")
	answer := Answer{Server: s.name, Method: r.Method, Path: r.URL.Path, Key: key, Execution: s.execute(key), Echo: string(body)}
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	s.answer(w, answer)
}

func (s *Service) execute(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[key]++
	return s.counts[key]
}

func (s *Service) answer(w http.ResponseWriter, answer Answer) {
	if s.take(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(answer)
	if s.take(func(f *Faults) *int { return &f.TruncateAnswers }) {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (s *Service) take(counter func(*Faults) *int) bool {
	taken := false
	s.Faults.Update(func(f *Faults) {
		if n := counter(f); *n > 0 {
			*n--
			taken = true
		}
	})
	return taken
}

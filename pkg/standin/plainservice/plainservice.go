// Package plainservice implements a stand-in for a plain service. It counts the executions of every
// idempotency key, so that tests can detect duplicate executions.
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

// Faults are the faults that can be injected into the service.
type Faults struct {
	// Refuse makes the service refuse calls with status 503 and certify that it has not executed them.
	Refuse bool `json:"refuse,omitempty"`
	// FailWith is the status with which the service answers calls that it has executed; 0 means success.
	FailWith int `json:"failWith,omitempty"`
	// DelayMS is the delay between execution and answer, in milliseconds.
	DelayMS int `json:"delayMS,omitempty"`
	// LoseAnswers is the number of calls to execute without an answer.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// TruncateAnswers is the number of answers to truncate in the middle.
	TruncateAnswers int `json:"truncateAnswers,omitempty"`
}

// Execution is the number of executions of one idempotency key.
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

// Service is a simulated plain service. It is safe for concurrent use.
type Service struct {
	Faults *faults.Injector[Faults]

	name   string
	mu     sync.Mutex
	counts map[string]int
}

// New returns a service without executions. Its answers contain name as the server.
func New(name string) *Service {
	return &Service{Faults: faults.NewInjector[Faults](), name: name, counts: make(map[string]int)}
}

// Handler returns a handler for GET /executions, the faults, and calls on all other paths.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /executions", s.serveExecutions)
	mux.Handle(faults.Path, s.Faults)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// Executions returns the number of executions of every key.
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
		problem.Write(w, problem.New(problem.Unavailable, "try again later", "calls are refused").WithOutcome(problem.NotRun))
		return
	}
	key := r.Header.Get("Idempotency-Key")
	answer := Answer{Server: s.name, Method: r.Method, Path: r.URL.Path, Key: key, Execution: s.execute(key), Echo: string(body)}
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.FailWith != 0 {
		http.Error(w, "the action was carried out, and then the service failed", f.FailWith)
		return
	}
	s.sendAnswer(w, answer)
}

func (s *Service) execute(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[key]++
	return s.counts[key]
}

func (s *Service) sendAnswer(w http.ResponseWriter, answer Answer) {
	if s.consumeFault(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(answer)
	if s.consumeFault(func(f *Faults) *int { return &f.TruncateAnswers }) {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// consumeFault reports whether the counter is positive, and decrements it.
func (s *Service) consumeFault(counter func(*Faults) *int) bool {
	consumed := false
	s.Faults.Update(func(f *Faults) {
		if n := counter(f); *n > 0 {
			*n--
			consumed = true
		}
	})
	return consumed
}

// Package faults injects faults into a stand-in while it runs, under control of HTTP requests. A
// stand-in is a simulated peer for tests and demonstrations.
package faults

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
)

// Path is the URL path at which a stand-in serves its Injector.
const Path = "/faults"

const maxBodyBytes = 1 << 16

// Injector holds the active faults. T is a struct with JSON fields whose zero value means no fault.
// Injector is safe for concurrent use.
type Injector[T any] struct {
	mu      sync.Mutex
	current T
	changed chan struct{}
}

// NewInjector returns an Injector without active faults.
func NewInjector[T any]() *Injector[T] {
	return &Injector[T]{changed: make(chan struct{})}
}

// Get returns the active faults.
func (s *Injector[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Set replaces the active faults and closes the channel returned by Changed.
func (s *Injector[T]) Set(faults T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Update applies change to the active faults. It does not close the channel returned by Changed.
func (s *Injector[T]) Update(change func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.current)
}

// Changed returns a channel that the next call of Set closes.
func (s *Injector[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// ServeHTTP replaces the active faults (PUT) and responds with them as JSON (any method).
func (s *Injector[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			problem.Write(w, problem.New(problem.TooLarge, "send a smaller document", "%v", err))
			return
		}
		var next T
		if list := strictjson.Decode(body, &next); len(list) > 0 {
			problem.Write(w, problem.New(problem.BadRequest, "correct the document", "%s", strictjson.Join(list)))
			return
		}
		s.Set(next)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Get())
}

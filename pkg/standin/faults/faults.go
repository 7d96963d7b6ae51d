// Package faults switches the faults of a stand-in on and off over HTTP while
// it runs.
package faults

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
)

// Path is where a stand-in serves its switch.
const Path = "/faults"

const maxBodyBytes = 1 << 16

// Injector holds the faults that are on. T is a struct of JSON fields whose zero
// value means no fault.
type Injector[T any] struct {
	mu      sync.Mutex
	current T
	changed chan struct{}
}

// NewInjector returns a Switch with no fault on.
func NewInjector[T any]() *Injector[T] {
	return &Injector[T]{changed: make(chan struct{})}
}

// Get returns the faults that are on.
func (s *Injector[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Set replaces the faults that are on.
func (s *Injector[T]) Set(faults T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Update changes the faults that are on.
func (s *Injector[T]) Update(change func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.current)
}

// Changed returns a channel that is closed at the next Set.
func (s *Injector[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// ServeHTTP reads (GET) or replaces (PUT) the faults.
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

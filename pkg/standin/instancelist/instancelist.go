// Package instancelist is a stand-in for the platform's lagging list of live
// and leaving instances.
package instancelist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	peer "github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/standin/faults"
)

// Faults are the switchable faults of the list.
type Faults struct {
	// Outage refuses every reading.
	Outage bool `json:"outage,omitempty"`
	// Frozen hides every change made while it is on.
	Frozen bool `json:"frozen,omitempty"`
	// LagMS is the age of what is served, in milliseconds.
	LagMS int `json:"lagMS,omitempty"`
}

const maxBodyBytes = 1 << 16

// Service is the stand-in.
type Service struct {
	Faults *faults.Switch[Faults]

	mu       sync.Mutex
	current  map[string]peer.Instance
	revision int64
	history  []reading
	frozen   *peer.List
}

type reading struct {
	at   time.Time
	list peer.List
}

// New returns a service with the given instances.
func New(instances []peer.Instance) *Service {
	s := &Service{Faults: faults.NewSwitch[Faults](), current: make(map[string]peer.Instance)}
	for _, i := range instances {
		s.current[i.Name] = i
	}
	s.record()
	return s
}

// Put adds or replaces an instance.
func (s *Service) Put(i peer.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current[i.Name] = i
	s.record()
}

// Remove deletes an instance.
func (s *Service) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, name)
	s.record()
}

// Handler serves the published protocol (GET /instances), edits by the test
// (PUT and DELETE /instances/{name}) and the faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", s.serveList)
	mux.HandleFunc("PUT /instances/{name}", s.servePut)
	mux.HandleFunc("DELETE /instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.Remove(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.Handle(faults.Path, s.Faults)
	return mux
}

func (s *Service) serveList(w http.ResponseWriter, _ *http.Request) {
	f := s.Faults.Get()
	if f.Outage {
		problem.Write(w, problem.New(problem.Unavailable, "wait for the end of the outage", "outage"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.visible(f))
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	var i peer.Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&i); err != nil {
		problem.Write(w, problem.New(problem.BadRequest, "send an instance", "%v", err))
		return
	}
	i.Name = r.PathValue("name")
	s.Put(i)
	w.WriteHeader(http.StatusNoContent)
}

// visible returns the list that a reader sees under the faults.
func (s *Service) visible(f Faults) peer.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen {
		if s.frozen == nil {
			s.frozen = &s.history[len(s.history)-1].list
		}
		return *s.frozen
	}
	s.frozen = nil
	horizon := time.Now().Add(-time.Duration(f.LagMS) * time.Millisecond)
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(horizon) {
			return s.history[i].list
		}
	}
	if f.LagMS > 0 {
		return s.history[0].list
	}
	return s.history[len(s.history)-1].list
}

func (s *Service) record() {
	s.revision++
	list := peer.List{Revision: s.revision}
	for _, i := range s.current {
		list.Instances = append(list.Instances, i)
	}
	slices.SortFunc(list.Instances, func(a, b peer.Instance) int { return strings.Compare(a.Name, b.Name) })
	s.history = append(s.history, reading{time.Now(), list})
}

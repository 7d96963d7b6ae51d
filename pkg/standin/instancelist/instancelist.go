// Package instancelist is a stand-in for the platform's lagging list of live
// and leaving instances.
package instancelist

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

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
	// Empty serves a list without instances, under a new revision.
	Empty bool `json:"empty,omitempty"`
	// LagMS is the age of what is served, in milliseconds.
	LagMS int `json:"lagMS,omitempty"`
}

const (
	maxBodyBytes = 1 << 16
	// emptyAhead is how far the revision of an empty list is ahead.
	emptyAhead = 1 << 40
)

// Service is the stand-in.
type Service struct {
	Faults *faults.Injector[Faults]

	epoch    string
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
	s := &Service{Faults: faults.NewInjector[Faults](), current: make(map[string]peer.Instance), epoch: uuid.NewString()}
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
// (PUT and DELETE /instances/{name}, PUT /instances/{name}/state) and the faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", s.serveList)
	mux.HandleFunc("PUT /instances/{name}", s.servePut)
	mux.HandleFunc("PUT /instances/{name}/state", s.servePutState)
	mux.HandleFunc("DELETE /instances/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.Remove(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.Handle(faults.Path, s.Faults)
	return mux
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	f := s.Faults.Get()
	if f.Outage {
		problem.Write(w, problem.New(problem.Unavailable, "wait for the end of the outage", "outage"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	list := s.visible(f)
	if r.URL.Query().Get("epoch") == s.epoch {
		list = s.since(since, list)
	}
	_ = json.NewEncoder(w).Encode(list)
}

// since returns what has changed in the list since a revision, or the whole
// list where that revision is not known or is newer.
func (s *Service) since(revision int64, list peer.List) peer.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, found := slices.BinarySearchFunc(s.history, revision, func(r reading, want int64) int { return cmp.Compare(r.list.Revision, want) })
	if !found || revision > list.Revision || len(list.Instances) == 0 {
		return list
	}
	return difference(s.history[at].list, list)
}

// difference returns the rows of to that are not in from, and the names of
// those that are gone.
func difference(from, to peer.List) peer.List {
	out := peer.List{Epoch: to.Epoch, Revision: to.Revision, Since: from.Revision}
	old := make(map[string]peer.Instance, len(from.Instances))
	for _, i := range from.Instances {
		old[i.Name] = i
	}
	for _, i := range to.Instances {
		if old[i.Name] != i {
			out.Instances = append(out.Instances, i)
		}
		delete(old, i.Name)
	}
	for _, i := range from.Instances {
		if _, gone := old[i.Name]; gone {
			out.Removed = append(out.Removed, i.Name)
		}
	}
	return out
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

// servePutState changes the state of one instance: {"state":"leaving"}.
func (s *Service) servePutState(w http.ResponseWriter, r *http.Request) {
	var change peer.Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&change); err != nil {
		problem.Write(w, problem.New(problem.BadRequest, "send a state", "%v", err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.current[r.PathValue("name")]
	if !ok {
		problem.Write(w, problem.New(problem.BadRequest, "name an instance of the list", "unknown instance"))
		return
	}
	i.State = change.State
	s.current[i.Name] = i
	s.record()
	w.WriteHeader(http.StatusNoContent)
}

// visible returns the list that a reader sees under the faults.
func (s *Service) visible(f Faults) peer.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Empty {
		return peer.List{Epoch: s.epoch, Revision: s.revision + emptyAhead}
	}
	if s.hold(f); s.frozen != nil {
		return *s.frozen
	}
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

// hold keeps the list that is served while the list is frozen. It runs before
// each change, so that the first one is hidden too.
func (s *Service) hold(f Faults) {
	switch {
	case !f.Frozen:
		s.frozen = nil
	case s.frozen == nil:
		s.frozen = &s.history[len(s.history)-1].list
	}
}

func (s *Service) record() {
	if len(s.history) > 0 {
		s.hold(s.Faults.Get())
	}
	s.revision++
	list := peer.List{Epoch: s.epoch, Revision: s.revision}
	for _, i := range s.current {
		list.Instances = append(list.Instances, i)
	}
	slices.SortFunc(list.Instances, func(a, b peer.Instance) int { return strings.Compare(a.Name, b.Name) })
	s.history = append(s.history, reading{time.Now(), list})
}

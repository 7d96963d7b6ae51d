// Package instancelist implements a stand-in for the platform's list of live and leaving instances,
// which lags behind the actual state of the instances.
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

// Faults are the faults that can be injected into the list.
type Faults struct {
	// Outage makes every read fail.
	Outage bool `json:"outage,omitempty"`
	// Frozen hides all changes made while it is set.
	Frozen bool `json:"frozen,omitempty"`
	// Empty makes the service return a list without instances, under a new revision.
	Empty bool `json:"empty,omitempty"`
	// LagMS is the age of the list returned, in milliseconds.
	LagMS int `json:"lagMS,omitempty"`
}

const (
	maxBodyBytes = 1 << 16
	// emptyRevisionOffset is added to the revision of the list that the fault Empty returns, so
	// that it differs from every other revision.
	emptyRevisionOffset = 1 << 40
)

// Service is a simulated instance list. It is safe for concurrent use.
type Service struct {
	Faults *faults.Injector[Faults]

	epoch    string
	mu       sync.Mutex
	current  map[string]peer.Instance
	revision int64
	// history holds all versions of the list, in ascending order of revision.
	history []timedList
	// frozen is the list to return while the fault Frozen is set.
	frozen *peer.List
}

type timedList struct {
	at   time.Time
	list peer.List
}

// New returns a service whose list contains the given instances.
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

// Handler returns a handler for the protocol of the instance list (GET /instances), the faults, and
// edits by tests (PUT and DELETE /instances/{name}, PUT /instances/{name}/state).
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
		list = s.changesSince(since, list)
	}
	_ = json.NewEncoder(w).Encode(list)
}

// changesSince returns the changes between the given revision and list. It returns the complete list
// if the revision is unknown or newer than list, or if list is empty.
func (s *Service) changesSince(revision int64, list peer.List) peer.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, found := slices.BinarySearchFunc(s.history, revision, func(r timedList, want int64) int { return cmp.Compare(r.list.Revision, want) })
	if !found || revision > list.Revision || len(list.Instances) == 0 {
		return list
	}
	return diff(s.history[index].list, list)
}

// diff returns the instances that were added or changed between from and to, and the names of those
// that were removed.
func diff(from, to peer.List) peer.List {
	out := peer.List{Epoch: to.Epoch, Revision: to.Revision, Since: from.Revision}
	previous := make(map[string]peer.Instance, len(from.Instances))
	for _, i := range from.Instances {
		previous[i.Name] = i
	}
	for _, i := range to.Instances {
		if previous[i.Name] != i {
			out.Instances = append(out.Instances, i)
		}
		delete(previous, i.Name)
	}
	for _, i := range from.Instances {
		if _, removed := previous[i.Name]; removed {
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

// servePutState changes the state of one instance. The body has the form {"state":"leaving"}.
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

// visible returns the list that a read returns under the given faults.
func (s *Service) visible(f Faults) peer.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Empty {
		return peer.List{Epoch: s.epoch, Revision: s.revision + emptyRevisionOffset}
	}
	if s.updateFrozen(f); s.frozen != nil {
		return *s.frozen
	}
	cutoff := time.Now().Add(-time.Duration(f.LagMS) * time.Millisecond)
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(cutoff) {
			return s.history[i].list
		}
	}
	if f.LagMS > 0 {
		return s.history[0].list
	}
	return s.history[len(s.history)-1].list
}

// updateFrozen saves the latest list if the fault Frozen is set and no list is saved, and discards
// the saved list if the fault is cleared. It also runs before each change, so that the first change
// after the fault was set is hidden. The caller must hold s.mu.
func (s *Service) updateFrozen(f Faults) {
	switch {
	case !f.Frozen:
		s.frozen = nil
	case s.frozen == nil:
		s.frozen = &s.history[len(s.history)-1].list
	}
}

// record appends the current instances to the history as a new revision. The caller must hold s.mu,
// unless s is not shared yet.
func (s *Service) record() {
	if len(s.history) > 0 {
		s.updateFrozen(s.Faults.Get())
	}
	s.revision++
	list := peer.List{Epoch: s.epoch, Revision: s.revision}
	for _, i := range s.current {
		list.Instances = append(list.Instances, i)
	}
	slices.SortFunc(list.Instances, func(a, b peer.Instance) int { return strings.Compare(a.Name, b.Name) })
	s.history = append(s.history, timedList{time.Now(), list})
}

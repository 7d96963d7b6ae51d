// Package configuration holds the configuration in force at a process and keeps
// it up to date: a Follower performs the I/O that the state machine of package
// configread asks for, with the log service and the peers of the process.
package configuration

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// View is the configuration at one offset, decoded for lookups. It is immutable
// after its publication.
type View struct {
	State  configfold.State
	routes map[string]routeView
	pools  map[string]poolView
}

type routeView struct {
	revision int64
	route    tables.Route
	// organisations holds the organisations by name, with the revision of each.
	organisations map[string]organisationView
}

type organisationView struct {
	revision     int64
	organisation tables.Organisation
}

type poolView struct {
	revision int64
	pool     tables.Pool
}

// NewView returns the view of a state.
func NewView(s configfold.State) *View { return (&View{}).Next(s) }

// Next returns the view of a later state. It shares unchanged entries with v.
func (v *View) Next(s configfold.State) *View {
	next := &View{State: s, routes: make(map[string]routeView, len(s.Routes)), pools: make(map[string]poolView, len(s.Pools))}
	for name, e := range s.Routes {
		next.routes[name] = v.routes[name].next(e, v.State.Organisations[name], s.Organisations[name])
	}
	for name, e := range s.Pools {
		next.pools[name] = v.pools[name].next(e)
	}
	return next
}

func (p poolView) next(e configfold.Entry) poolView {
	if p.revision == e.Revision {
		return p
	}
	next := poolView{revision: e.Revision}
	_ = json.Unmarshal(e.Value, &next.pool)
	return next
}

func (r routeView) next(e configfold.Entry, oldOrganisations, list map[string]configfold.Entry) routeView {
	if r.revision == e.Revision && sameEntries(oldOrganisations, list) {
		return r
	}
	next := routeView{revision: e.Revision, organisations: make(map[string]organisationView, len(list))}
	_ = json.Unmarshal(e.Value, &next.route)
	next.route.Organisations = make([]tables.Organisation, 0, len(list))
	for name, oe := range list {
		view := r.organisations[name]
		if view.revision != oe.Revision {
			view = organisationView{revision: oe.Revision}
			_ = json.Unmarshal(oe.Value, &view.organisation)
		}
		next.organisations[name] = view
		next.route.Organisations = append(next.route.Organisations, view.organisation)
	}
	return next
}

func sameEntries(a, b map[string]configfold.Entry) bool {
	if len(a) != len(b) {
		return false
	}
	for name, e := range a {
		if b[name].Revision != e.Revision {
			return false
		}
	}
	return true
}

// Route returns a route and its pool by the name of the route. The error kinds
// are UnknownRoute and MissingPool.
func (v *View) Route(name string) (tables.Route, tables.Pool, error) {
	r, ok := v.routes[name]
	if !ok {
		return tables.Route{}, tables.Pool{}, problem.New(problem.UnknownRoute,
			"use a route of the table, or add this one with fescuehub config apply", "there is no route %q", name).WithOutcome(problem.NotRun)
	}
	p, ok := v.pools[r.route.Pool]
	if !ok {
		return tables.Route{}, tables.Pool{}, problem.New(problem.MissingPool,
			"add the pool with fescuehub config apply", "route %q names the missing pool %q", name, r.route.Pool).WithOutcome(problem.NotRun)
	}
	return r.route, p.pool, nil
}

// Pool returns a pool by its name.
func (v *View) Pool(name string) (tables.Pool, bool) {
	p, ok := v.pools[name]
	return p.pool, ok
}

// PoolRevision returns the version of the configuration that last changed the
// pool, 0 if the pool does not exist.
func (v *View) PoolRevision(name string) int64 { return v.pools[name].revision }

// Store holds the view in force. It is safe for concurrent use.
type Store struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	changed chan struct{}
}

// NewStore returns a store that holds the empty configuration.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.view.Store(NewView(configfold.Empty()))
	return s
}

// View returns the view in force.
func (s *Store) View() *View { return s.view.Load() }

// Publish puts a state in force and reports whether it did. A state whose offset
// is not higher than the one in force is ignored: the configuration never
// reverts.
func (s *Store) Publish(state configfold.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.view.Load()
	if state.Offset <= current.State.Offset {
		return false
	}
	s.view.Store(current.Next(state))
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next publication. Call it
// before View, so that no publication is missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

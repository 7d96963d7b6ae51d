// Package configuration holds the configuration in force at a process.
package configuration

import (
	"encoding/json"
	"sync/atomic"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Stream is the stream of the log that holds the edits.
const Stream = "configuration"

// View is the configuration at one offset. It is never changed after it has
// been published.
type View struct {
	State  configfold.State
	routes map[string]tables.Route
	pools  map[string]tables.Pool
}

// NewView returns the view of a state.
func NewView(s configfold.State) *View {
	v := &View{State: s, routes: make(map[string]tables.Route), pools: make(map[string]tables.Pool)}
	for name, e := range s.Routes {
		var r tables.Route
		_ = json.Unmarshal(e.Value, &r)
		v.routes[name] = r
	}
	for name, e := range s.Pools {
		var p tables.Pool
		_ = json.Unmarshal(e.Value, &p)
		v.pools[name] = p
	}
	return v
}

// Route returns the route and its pool. The error kinds are UnknownRoute and
// MissingPool.
func (v *View) Route(name string) (tables.Route, tables.Pool, error) {
	r, ok := v.routes[name]
	if !ok {
		return tables.Route{}, tables.Pool{}, problem.New(problem.UnknownRoute,
			"use a route of the table, or add this one with fescuehub config apply", "there is no route %q", name).WithOutcome(problem.NotRun)
	}
	p, ok := v.pools[r.Pool]
	if !ok {
		return tables.Route{}, tables.Pool{}, problem.New(problem.MissingPool,
			"add the pool with fescuehub config apply", "route %q names the missing pool %q", name, r.Pool).WithOutcome(problem.NotRun)
	}
	return r, p, nil
}

// Pool returns a pool.
func (v *View) Pool(name string) (tables.Pool, bool) {
	p, ok := v.pools[name]
	return p, ok
}

// Store holds the view in force. It is safe for concurrent use.
type Store struct {
	view    atomic.Pointer[View]
	changed chan struct{}
}

// NewStore returns a store that holds the empty configuration.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}, 1)}
	s.view.Store(NewView(configfold.Empty()))
	return s
}

// View returns the view in force.
func (s *Store) View() *View { return s.view.Load() }

// Publish puts a state in force. A state with a lower offset than the one in
// force is ignored: the configuration never reverts.
func (s *Store) Publish(state configfold.State) bool {
	next := NewView(state)
	for {
		old := s.view.Load()
		if state.Offset <= old.State.Offset {
			return false
		}
		if s.view.CompareAndSwap(old, next) {
			s.signal()
			return true
		}
	}
}

// Changed receives a value after a publication. Several publications may give
// one value.
func (s *Store) Changed() <-chan struct{} { return s.changed }

func (s *Store) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

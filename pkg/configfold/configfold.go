// Package configfold computes the configuration from the records of the log.
// The fold is deterministic: its outcome depends on the records alone, not on
// the reader's clock, its version, or how often it started. The rules of a fold
// version never change after its first release; new rules get a new version.
package configfold

import (
	"encoding/json"
	"maps"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// FoldVersion is the newest version of the fold that this binary knows.
const FoldVersion = 1

// Table names one of the two tables.
type Table string

// The tables.
const (
	Routes Table = "routes"
	Pools  Table = "pools"
)

// Change sets or deletes one entry of a table, or one organisation of a route.
type Change struct {
	Table Table  `json:"table"`
	Name  string `json:"name"`
	// Organisation of the route, empty where the change is to the entry itself.
	// An organisation is edited on its own, so that a route with thousands of
	// them costs no more bytes a change than one without.
	Organisation string `json:"organisation,omitempty"`
	// Base is the revision of the entry that the edit was made from, 0 where
	// the entry did not exist.
	Base int64 `json:"base"`
	// Value is the new entry, absent where the entry is deleted. It is kept as
	// written, so that fields unknown to this binary survive.
	Value json.RawMessage `json:"value,omitempty"`
}

// Edit is a record of the log: changes that are accepted all together or not
// at all.
type Edit struct {
	FoldVersion int          `json:"foldVersion"`
	ID          ident.EditID `json:"id"`
	Changes     []Change     `json:"changes"`
}

// Entry is one entry of a table with the revision that the fold gave it: the
// version of the configuration that last changed it.
type Entry struct {
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// State is the configuration after the record at Offset. It is never changed
// after it has been made; the next state shares what did not change.
type State struct {
	// Offset of the last record folded, -1 before the first.
	Offset int64 `json:"offset"`
	// Version counts the edits accepted.
	Version int64 `json:"version"`
	// Digest of all records up to Offset, and Previous that of all before it.
	Digest   Digest `json:"digest"`
	Previous Digest `json:"previous"`
	// FoldVersion is the highest fold version of an accepted edit: what a
	// binary must know to fold on from here.
	FoldVersion int              `json:"foldVersion"`
	Routes      map[string]Entry `json:"routes"`
	Pools       map[string]Entry `json:"pools"`
	// Organisations of each route, by route and organisation.
	Organisations map[string]map[string]Entry `json:"organisations"`
}

// Result says what the fold made of one record.
type Result struct {
	ID       ident.EditID       `json:"id"`
	Offset   int64              `json:"offset"`
	Accepted bool               `json:"accepted"`
	Version  int64              `json:"version"`
	Faults   []strictjson.Fault `json:"faults,omitempty"`
}

// Empty returns the state before the first record.
func Empty() State {
	return State{Offset: -1, Routes: map[string]Entry{}, Pools: map[string]Entry{}, Organisations: map[string]map[string]Entry{}}
}

// Fold applies the record at offset. The error kind is NewerRecord where this
// binary cannot fold the record: the reader must stop there and keep what is
// in force.
func Fold(s State, offset int64, record []byte) (State, Result, error) {
	edit, faults, err := decode(offset, record)
	if err != nil {
		return s, Result{}, err
	}
	next := s
	if len(faults) == 0 {
		next, faults = s.accept(edit)
	}
	next.Offset = offset
	next.Previous = s.Digest
	next.Digest = s.Digest.Extend(offset, record)
	return next, Result{ID: edit.ID, Offset: offset, Accepted: len(faults) == 0, Version: next.Version, Faults: faults}, nil
}

// accept returns the state with the edit, or s and the faults.
func (s State) accept(edit Edit) (State, []strictjson.Fault) {
	next := s
	next.Version++
	next.FoldVersion = max(s.FoldVersion, edit.FoldVersion)
	next.Routes = maps.Clone(s.Routes)
	next.Pools = maps.Clone(s.Pools)
	next.Organisations = maps.Clone(s.Organisations)
	touched := make(map[string]bool)
	var faults []strictjson.Fault
	for _, c := range edit.Changes {
		faults = append(faults, next.apply(c, touched)...)
	}
	if len(faults) == 0 {
		faults = next.checkWhole(s)
	}
	if len(faults) > 0 {
		return s, faults
	}
	return next, nil
}

func (s *State) apply(c Change, touched map[string]bool) []strictjson.Fault {
	entries := s.entries(c, touched)
	if entries == nil {
		return []strictjson.Fault{{Place: c.place(), Detail: "unknown table", Remedy: `write "routes" or "pools"`}}
	}
	if entries[c.key()].Revision != c.Base {
		return []strictjson.Fault{{Place: c.place(), Detail: "the entry has changed since this edit was made", Remedy: "run fescuehub config show, make the edit again on it, and apply"}}
	}
	if c.Value == nil {
		delete(entries, c.key())
		return nil
	}
	if faults := checkValue(c); len(faults) > 0 {
		return faults
	}
	entries[c.key()] = Entry{Revision: s.Version, Value: c.Value}
	return nil
}

// entries returns the map that the change is to, as a copy that may be
// changed.
func (s *State) entries(c Change, touched map[string]bool) map[string]Entry {
	switch {
	case c.Table == Pools && c.Organisation == "":
		return s.Pools
	case c.Table == Routes && c.Organisation == "":
		return s.Routes
	case c.Table != Routes:
		return nil
	}
	if !touched[c.Name] {
		touched[c.Name] = true
		s.Organisations[c.Name] = cloneOrEmpty(s.Organisations[c.Name])
	}
	return s.Organisations[c.Name]
}

func cloneOrEmpty(in map[string]Entry) map[string]Entry {
	if in == nil {
		return make(map[string]Entry)
	}
	return maps.Clone(in)
}

// key is the name of the entry in its map.
func (c Change) key() string {
	if c.Organisation != "" {
		return c.Organisation
	}
	return c.Name
}

func (c Change) place() string {
	if c.Organisation != "" {
		return string(c.Table) + "." + c.Name + ".organisations." + c.Organisation
	}
	return string(c.Table) + "." + c.Name
}

func checkValue(c Change) []strictjson.Fault {
	switch {
	case c.Organisation != "":
		var o tables.Organisation
		if err := json.Unmarshal(c.Value, &o); err != nil || o.Name != c.Organisation {
			return notThis(c, "organisation")
		}
		return tables.CheckOrganisation(c.place(), o)
	case c.Table == Pools:
		var p tables.Pool
		if err := json.Unmarshal(c.Value, &p); err != nil || p.Name != c.Name {
			return notThis(c, "pool")
		}
		return tables.CheckPool(p)
	}
	var r tables.Route
	if err := json.Unmarshal(c.Value, &r); err != nil || r.Name != c.Name || len(r.Organisations) > 0 {
		return notThis(c, "route")
	}
	return tables.CheckRoute(r)
}

func notThis(c Change, what string) []strictjson.Fault {
	return []strictjson.Fault{{Place: c.place(), Detail: "the value is not this " + what, Remedy: "publish edits with fescuehub config apply"}}
}

// checkWhole checks what concerns several entries, given the state
// before the edit.
func (s *State) checkWhole(before State) []strictjson.Fault {
	var faults []strictjson.Fault
	for name, e := range s.Routes {
		var r tables.Route
		_ = json.Unmarshal(e.Value, &r)
		if _, ok := s.Pools[r.Pool]; !ok {
			faults = append(faults, tables.MissingPool(r))
		}
		faults = append(faults, tables.CheckOrganisationCount(name, len(s.Organisations[name]))...)
	}
	for name, list := range s.Organisations {
		_, listed := s.Routes[name]
		switch {
		case len(list) == 0 && listed && before.Routes[name].Revision == s.Routes[name].Revision && len(before.Organisations[name]) > 0:
			faults = append(faults, strictjson.NewFault("routes."+name+".organisations",
				"the edit takes the last organisation away, which would open the route to every one", "run fescuehub config show, make the edit again on it, and apply"))
		case len(list) == 0:
			delete(s.Organisations, name)
		case !listed:
			faults = append(faults, strictjson.NewFault("routes."+name+".organisations",
				"organisations are left of a route that is not in the table", "run fescuehub config show, make the edit again on it, and apply"))
		}
	}
	strictjson.Sort(faults)
	return faults
}

// Package configfold computes the configuration by folding the records of the
// log. The fold is deterministic: its result depends on the records alone, not
// on the reader's clock, its release, or its restarts. The rules of a fold
// version never change after its first release; new rules get a new version.
package configfold

import (
	"encoding/json"
	"maps"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// FoldVersion is the newest fold version that this binary supports.
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
	// Organisation is an organisation of the route Name, empty if the change is
	// to the entry itself. Organisations are changed one by one, so that the size
	// of a change does not grow with the thousands that a route may list.
	Organisation string `json:"organisation,omitempty"`
	// Base is the revision of the entry that the edit was made from, 0 if the
	// entry did not exist.
	Base int64 `json:"base"`
	// Value is the new entry, absent if the entry is deleted. It is kept as
	// written, to preserve fields that this binary does not know.
	Value json.RawMessage `json:"value,omitempty"`
}

// Edit is a record of the log: a set of changes that is accepted or rejected as
// a whole.
type Edit struct {
	FoldVersion int          `json:"foldVersion"`
	ID          ident.EditID `json:"id"`
	Changes     []Change     `json:"changes"`
}

// Entry is one entry of a table. Its revision is the version of the
// configuration that last changed it.
type Entry struct {
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// State is the configuration after the record at Offset. It is immutable; the
// next state shares the unchanged entries.
type State struct {
	// Offset is the offset of the last folded record, -1 before the first.
	Offset int64 `json:"offset"`
	// Version is the number of accepted edits.
	Version int64 `json:"version"`
	// Digest covers all records up to Offset, Previous all records before it.
	Digest   Digest `json:"digest"`
	Previous Digest `json:"previous"`
	// FoldVersion is the highest fold version of an accepted edit: the least that
	// a binary must support to fold further records onto this state.
	FoldVersion int              `json:"foldVersion"`
	Routes      map[string]Entry `json:"routes"`
	Pools       map[string]Entry `json:"pools"`
	// Organisations holds the organisations of each route, by route name and
	// organisation name.
	Organisations map[string]map[string]Entry `json:"organisations"`
}

// Result is the outcome of folding one record.
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

// Fold applies the record at offset to s. A rejected edit advances the offset
// and the digest only. The error kind is NewerRecord if this binary does not
// support the record's fold version: the reader must stop there and keep the
// configuration in force.
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

// accept returns the state after the edit, or s and the faults for which the
// edit is rejected.
func (s State) accept(edit Edit) (State, []strictjson.Fault) {
	next := s
	next.Version++
	next.FoldVersion = max(s.FoldVersion, edit.FoldVersion)
	next.Routes = maps.Clone(s.Routes)
	next.Pools = maps.Clone(s.Pools)
	next.Organisations = maps.Clone(s.Organisations)
	copied := make(map[string]bool)
	var faults []strictjson.Fault
	for _, c := range edit.Changes {
		faults = append(faults, next.apply(c, copied)...)
	}
	if len(faults) == 0 {
		faults = next.checkReferences(s)
	}
	if len(faults) > 0 {
		return s, faults
	}
	return next, nil
}

// apply applies one change in place. copied holds the routes whose
// organisations have been copied already.
func (s *State) apply(c Change, copied map[string]bool) []strictjson.Fault {
	entries := s.entries(c, copied)
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

// entries returns the map that the change modifies, as a copy that this state
// does not share with the previous one; nil for an unknown table.
func (s *State) entries(c Change, copied map[string]bool) map[string]Entry {
	switch {
	case c.Table == Pools && c.Organisation == "":
		return s.Pools
	case c.Table == Routes && c.Organisation == "":
		return s.Routes
	case c.Table != Routes:
		return nil
	}
	if !copied[c.Name] {
		copied[c.Name] = true
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

// key returns the key of the entry in its map.
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

// checkValue returns the faults of a new value on its own.
func checkValue(c Change) []strictjson.Fault {
	switch {
	case c.Organisation != "":
		var o tables.Organisation
		if err := json.Unmarshal(c.Value, &o); err != nil || o.Name != c.Organisation {
			return valueMismatch(c, "organisation")
		}
		return tables.CheckOrganisation(c.place(), o)
	case c.Table == Pools:
		var p tables.Pool
		if err := json.Unmarshal(c.Value, &p); err != nil || p.Name != c.Name {
			return valueMismatch(c, "pool")
		}
		return tables.CheckPool(p)
	}
	var r tables.Route
	if err := json.Unmarshal(c.Value, &r); err != nil || r.Name != c.Name || len(r.Organisations) > 0 {
		return valueMismatch(c, "route")
	}
	return tables.CheckRoute(r)
}

func valueMismatch(c Change, what string) []strictjson.Fault {
	return []strictjson.Fault{{Place: c.place(), Detail: "the value is not this " + what, Remedy: "publish edits with fescuehub config apply"}}
}

// checkReferences returns the faults that involve several entries, and drops empty
// lists of organisations. before is the state before the edit.
func (s *State) checkReferences(before State) []strictjson.Fault {
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

// Package configfold computes the configuration from the records of the log.
// The fold is deterministic: its outcome depends on the records alone, not on
// the reader's clock, its version, or how often it started.
package configfold

import (
	"encoding/json"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
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

// Change sets or deletes one entry of a table.
type Change struct {
	Table Table  `json:"table"`
	Name  string `json:"name"`
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

// State is the configuration after the record at Offset.
type State struct {
	// Offset of the last record folded, -1 before the first.
	Offset int64 `json:"offset"`
	// Version counts the edits accepted.
	Version int64            `json:"version"`
	Routes  map[string]Entry `json:"routes"`
	Pools   map[string]Entry `json:"pools"`
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
	return State{Offset: -1, Routes: map[string]Entry{}, Pools: map[string]Entry{}}
}

// Fold applies the record at offset. The error kind is NewerRecord where this
// binary cannot fold the record: the reader must stop there and keep what is
// in force.
func Fold(s State, offset int64, record []byte) (State, Result, error) {
	var edit Edit
	if err := json.Unmarshal(record, &edit); err != nil {
		return skip(s, offset, edit, "the record is not an edit", "publish edits with fescuehub config apply")
	}
	if edit.FoldVersion > FoldVersion {
		return s, Result{}, problem.New(problem.NewerRecord, "upgrade this instance",
			"the record at offset %d needs fold version %d, this binary knows %d", offset, edit.FoldVersion, FoldVersion)
	}
	next := s.clone()
	next.Offset = offset
	next.Version++
	faults := next.applyAll(edit.Changes)
	if len(faults) > 0 {
		s.Offset = offset
		return s, Result{ID: edit.ID, Offset: offset, Version: s.Version, Faults: faults}, nil
	}
	return next, Result{ID: edit.ID, Offset: offset, Accepted: true, Version: next.Version}, nil
}

func skip(s State, offset int64, edit Edit, detail, remedy string) (State, Result, error) {
	s.Offset = offset
	fault := strictjson.Fault{Place: "record", Detail: detail, Remedy: remedy}
	return s, Result{ID: edit.ID, Offset: offset, Version: s.Version, Faults: []strictjson.Fault{fault}}, nil
}

func (s *State) applyAll(changes []Change) []strictjson.Fault {
	var faults []strictjson.Fault
	for _, c := range changes {
		faults = append(faults, s.apply(c)...)
	}
	if len(faults) > 0 {
		return faults
	}
	return s.checkReferences()
}

func (s *State) apply(c Change) []strictjson.Fault {
	place := string(c.Table) + "." + c.Name
	entries := s.table(c.Table)
	if entries == nil {
		return []strictjson.Fault{{Place: place, Detail: "unknown table", Remedy: `write "routes" or "pools"`}}
	}
	if entries[c.Name].Revision != c.Base {
		return []strictjson.Fault{{Place: place, Detail: "the entry has changed since this edit was made", Remedy: "run fescuehub config show, make the edit again on it, and apply"}}
	}
	if c.Value == nil {
		delete(entries, c.Name)
		return nil
	}
	if faults := checkValue(c); len(faults) > 0 {
		return faults
	}
	entries[c.Name] = Entry{Revision: s.Version, Value: c.Value}
	return nil
}

func checkValue(c Change) []strictjson.Fault {
	if c.Table == Pools {
		var p tables.Pool
		if err := json.Unmarshal(c.Value, &p); err != nil || p.Name != c.Name {
			return []strictjson.Fault{{Place: "pools." + c.Name, Detail: "the value is not this pool", Remedy: "publish edits with fescuehub config apply"}}
		}
		return tables.CheckPool(p)
	}
	var r tables.Route
	if err := json.Unmarshal(c.Value, &r); err != nil || r.Name != c.Name {
		return []strictjson.Fault{{Place: "routes." + c.Name, Detail: "the value is not this route", Remedy: "publish edits with fescuehub config apply"}}
	}
	return tables.CheckRoute(r)
}

func (s *State) checkReferences() []strictjson.Fault {
	var faults []strictjson.Fault
	for _, e := range s.Routes {
		var r tables.Route
		_ = json.Unmarshal(e.Value, &r)
		if _, ok := s.Pools[r.Pool]; !ok {
			faults = append(faults, tables.MissingPool(r))
		}
	}
	return faults
}

func (s *State) table(t Table) map[string]Entry {
	switch t {
	case Routes:
		return s.Routes
	case Pools:
		return s.Pools
	}
	return nil
}

func (s State) clone() State {
	c := s
	c.Routes = cloneEntries(s.Routes)
	c.Pools = cloneEntries(s.Pools)
	return c
}

func cloneEntries(in map[string]Entry) map[string]Entry {
	out := make(map[string]Entry, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}

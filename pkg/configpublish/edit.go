package configpublish

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Diff returns the edit that turns the state into the tables. Entries
// that are equal are left out; entries that the tables lack are deleted.
func Diff(s configfold.State, t Tables, id ident.EditID) configfold.Edit {
	edit := configfold.Edit{FoldVersion: configfold.FoldVersion, ID: id}
	edit.Changes = append(edit.Changes, changes(configfold.Change{Table: configfold.Pools}, s.Pools, t.Pools)...)
	edit.Changes = append(edit.Changes, changes(configfold.Change{Table: configfold.Routes}, s.Routes, t.Routes)...)
	names := maps.Clone(t.Organisations)
	if names == nil {
		names = make(map[string]map[string]json.RawMessage)
	}
	for route := range s.Organisations {
		names[route] = t.Organisations[route]
	}
	for _, route := range slices.Sorted(maps.Keys(names)) {
		form := configfold.Change{Table: configfold.Routes, Name: route}
		list := changes(form, s.Organisations[route], names[route])
		edit.Changes = append(edit.Changes, list...)
		if opens(s, t, route) && !touches(edit.Changes, route) {
			edit.Changes = append(edit.Changes, configfold.Change{Table: configfold.Routes, Name: route, Base: s.Routes[route].Revision, Value: t.Routes[route]})
		}
	}
	return edit
}

// opens reports whether the tables open a route to every organisation that now
// lists some. Such an edit changes the route itself too, so that the fold can
// tell it from one that takes away the last of several by a race.
func opens(s configfold.State, t Tables, route string) bool {
	_, stays := t.Routes[route]
	return stays && len(s.Organisations[route]) > 0 && len(t.Organisations[route]) == 0
}

func touches(list []configfold.Change, route string) bool {
	return slices.ContainsFunc(list, func(c configfold.Change) bool {
		return c.Table == configfold.Routes && c.Name == route && c.Organisation == ""
	})
}

// changes returns the changes of one map of entries, by name. form names the
// table, and the route where the entries are its organisations.
func changes(form configfold.Change, now map[string]configfold.Entry, wanted map[string]json.RawMessage) []configfold.Change {
	var out []configfold.Change
	change := func(name string, value json.RawMessage) {
		c := form
		if form.Name == "" {
			c.Name = name
		} else {
			c.Organisation = name
		}
		c.Base, c.Value = now[name].Revision, value
		out = append(out, c)
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if old, ok := now[name]; !ok || !sameJSON(old.Value, wanted[name]) {
			change(name, wanted[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if _, ok := wanted[name]; !ok {
			change(name, nil)
		}
	}
	return out
}

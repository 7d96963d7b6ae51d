package configpublish

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Diff returns the edit that turns the state into the tables. Equal entries are
// left out; entries that the tables lack are deleted.
func Diff(s configfold.State, t Tables, id ident.EditID) configfold.Edit {
	edit := configfold.Edit{FoldVersion: configfold.FoldVersion, ID: id}
	edit.Changes = append(edit.Changes, changes(configfold.Change{Table: configfold.Pools}, s.Pools, t.Pools)...)
	edit.Changes = append(edit.Changes, changes(configfold.Change{Table: configfold.Routes}, s.Routes, t.Routes)...)
	organisations := maps.Clone(t.Organisations)
	if organisations == nil {
		organisations = make(map[string]map[string]json.RawMessage)
	}
	for route := range s.Organisations {
		organisations[route] = t.Organisations[route]
	}
	for _, route := range slices.Sorted(maps.Keys(organisations)) {
		template := configfold.Change{Table: configfold.Routes, Name: route}
		list := changes(template, s.Organisations[route], organisations[route])
		edit.Changes = append(edit.Changes, list...)
		if opensRoute(s, t, route) && !changesRoute(edit.Changes, route) {
			edit.Changes = append(edit.Changes, configfold.Change{Table: configfold.Routes, Name: route, Base: s.Routes[route].Revision, Value: t.Routes[route]})
		}
	}
	return edit
}

// opensRoute reports whether the tables open a route to all organisations although
// the state restricts it to some. Such an edit also changes the route itself, so
// that the fold can distinguish it from an edit that removes the last listed
// organisation because a concurrent edit removed the others.
func opensRoute(s configfold.State, t Tables, route string) bool {
	_, stays := t.Routes[route]
	return stays && len(s.Organisations[route]) > 0 && len(t.Organisations[route]) == 0
}

// changesRoute reports whether a change is to the route itself.
func changesRoute(list []configfold.Change, route string) bool {
	return slices.ContainsFunc(list, func(c configfold.Change) bool {
		return c.Table == configfold.Routes && c.Name == route && c.Organisation == ""
	})
}

// changes returns the changes that turn the current entries into the wanted ones:
// first the updates and then the deletions, each sorted by name. template names
// the table, and also the route if the entries are the route's organisations.
func changes(template configfold.Change, current map[string]configfold.Entry, wanted map[string]json.RawMessage) []configfold.Change {
	var out []configfold.Change
	change := func(name string, value json.RawMessage) {
		c := template
		if template.Name == "" {
			c.Name = name
		} else {
			c.Organisation = name
		}
		c.Base, c.Value = current[name].Revision, value
		out = append(out, c)
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if old, ok := current[name]; !ok || !sameJSON(old.Value, wanted[name]) {
			change(name, wanted[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if _, ok := wanted[name]; !ok {
			change(name, nil)
		}
	}
	return out
}

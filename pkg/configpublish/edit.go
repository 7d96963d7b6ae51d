// Package configpublish turns an operator's tables into an edit of the
// configuration and publishes it.
package configpublish

import (
	"bytes"
	"encoding/json"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Difference returns the edit that turns the state into the document. Entries
// that are equal are left out; entries that the document lacks are deleted.
func Difference(s configfold.State, doc tables.Document) (configfold.Edit, error) {
	edit := configfold.Edit{FoldVersion: configfold.FoldVersion, ID: ident.NewEditID()}
	wantedPools := make(map[string]json.RawMessage, len(doc.Pools))
	for _, p := range doc.Pools {
		value, err := json.Marshal(p)
		if err != nil {
			return edit, err
		}
		wantedPools[p.Name] = value
	}
	wantedRoutes := make(map[string]json.RawMessage, len(doc.Routes))
	for _, r := range doc.Routes {
		value, err := json.Marshal(r)
		if err != nil {
			return edit, err
		}
		wantedRoutes[r.Name] = value
	}
	edit.Changes = append(edit.Changes, changes(configfold.Pools, s.Pools, wantedPools)...)
	edit.Changes = append(edit.Changes, changes(configfold.Routes, s.Routes, wantedRoutes)...)
	return edit, nil
}

func changes(table configfold.Table, now map[string]configfold.Entry, wanted map[string]json.RawMessage) []configfold.Change {
	var out []configfold.Change
	for name, value := range wanted {
		old, ok := now[name]
		if ok && bytes.Equal(old.Value, value) {
			continue
		}
		out = append(out, configfold.Change{Table: table, Name: name, Base: old.Revision, Value: value})
	}
	for name, old := range now {
		if _, ok := wanted[name]; !ok {
			out = append(out, configfold.Change{Table: table, Name: name, Base: old.Revision})
		}
	}
	return out
}

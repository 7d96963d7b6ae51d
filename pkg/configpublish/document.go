package configpublish

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Document returns the tables of a state, sorted by name.
func Document(s configfold.State) tables.Document {
	doc := tables.Document{Routes: []tables.Route{}, Pools: []tables.Pool{}}
	for _, e := range s.Routes {
		var r tables.Route
		_ = json.Unmarshal(e.Value, &r)
		doc.Routes = append(doc.Routes, r)
	}
	for _, e := range s.Pools {
		var p tables.Pool
		_ = json.Unmarshal(e.Value, &p)
		doc.Pools = append(doc.Pools, p)
	}
	slices.SortFunc(doc.Routes, func(a, b tables.Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(doc.Pools, func(a, b tables.Pool) int { return strings.Compare(a.Name, b.Name) })
	return doc
}

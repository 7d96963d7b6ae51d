package configpublish

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/configfold"
)

// Document is the file that an operator edits. Every field is kept as written,
// including fields that this binary does not know.
type Document struct {
	Routes []json.RawMessage `json:"routes"`
	Pools  []json.RawMessage `json:"pools"`
}

// DocumentOf returns the tables of a state, sorted by name.
func DocumentOf(s configfold.State) Document {
	doc := Document{Routes: []json.RawMessage{}, Pools: []json.RawMessage{}}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		doc.Routes = append(doc.Routes, withOrganisations(s.Routes[name].Value, s.Organisations[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		doc.Pools = append(doc.Pools, s.Pools[name].Value)
	}
	return doc
}

// withOrganisations returns the route with the list of its organisations added.
func withOrganisations(route json.RawMessage, list map[string]configfold.Entry) json.RawMessage {
	fields := make(map[string]json.RawMessage)
	if len(list) == 0 || json.Unmarshal(route, &fields) != nil {
		return route
	}
	values := make([]json.RawMessage, 0, len(list))
	for _, name := range slices.Sorted(maps.Keys(list)) {
		values = append(values, list[name].Value)
	}
	fields[organisationsField] = marshal(values)
	return marshal(fields)
}

// marshal encodes values that were decoded from JSON, which cannot fail.
func marshal(v any) json.RawMessage {
	data, _ := json.Marshal(v)
	return data
}

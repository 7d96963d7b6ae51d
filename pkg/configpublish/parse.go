package configpublish

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

const organisationsField = "organisations"

// Tables is an operator's document, split into the entries of the fold.
type Tables struct {
	Routes        map[string]json.RawMessage
	Pools         map[string]json.RawMessage
	Organisations map[string]map[string]json.RawMessage
}

// item is one JSON object of a document, by field name.
type item map[string]json.RawMessage

// rawDocument is a document with uninterpreted entries.
type rawDocument struct {
	Routes []item `json:"routes"`
	Pools  []item `json:"pools"`
}

// Parse decodes an operator's document and returns every fault in it. An unknown
// field is a fault, unless the same entry in force has the field with the same
// value: then a newer binary has written it, and it is kept.
func Parse(data []byte, inForce configfold.State) (Tables, []strictjson.Fault) {
	var raw rawDocument
	if err := json.Unmarshal(data, &raw); err != nil {
		_, faults := tables.Parse(data)
		return Tables{}, faults
	}
	if _, faults := tables.Parse(withoutKeptFields(data, raw, inForce)); len(faults) > 0 {
		return Tables{}, faults
	}
	return split(raw), nil
}

// withoutKeptFields returns the document without the unknown fields that Parse keeps,
// so that the check of the document does not report them.
func withoutKeptFields(data []byte, raw rawDocument, s configfold.State) []byte {
	var top item
	if json.Unmarshal(data, &top) != nil {
		return data
	}
	changed := false
	routes := make([]item, len(raw.Routes))
	for i, r := range raw.Routes {
		name := nameOf(r)
		kept := r.withoutKept(fieldNames[tables.Route](), s.Routes[name].Value)
		kept, listChanged := kept.withoutKeptInList(s.Organisations[name])
		routes[i] = kept
		changed = changed || listChanged || len(kept) != len(r)
	}
	pools := make([]item, len(raw.Pools))
	for i, p := range raw.Pools {
		pools[i] = p.withoutKept(fieldNames[tables.Pool](), s.Pools[nameOf(p)].Value)
		changed = changed || len(pools[i]) != len(p)
	}
	if !changed {
		return data
	}
	top["routes"] = marshal(routes)
	top["pools"] = marshal(pools)
	return marshal(top)
}

// withoutKept returns the item without those unknown fields that the entry in
// force has with the same value.
func (it item) withoutKept(known []string, inForce json.RawMessage) item {
	var current item
	if json.Unmarshal(inForce, &current) != nil {
		return it
	}
	out := make(item, len(it))
	for field, value := range it {
		if slices.Contains(known, field) || !sameJSON(current[field], value) {
			out[field] = value
		}
	}
	return out
}

// withoutKeptInList applies withoutKept to each organisation of a route. It reports
// whether an organisation has changed.
func (it item) withoutKeptInList(inForce map[string]configfold.Entry) (item, bool) {
	var list []item
	if len(inForce) == 0 || json.Unmarshal(it[organisationsField], &list) != nil {
		return it, false
	}
	changed := false
	for i, o := range list {
		list[i] = o.withoutKept(fieldNames[tables.Organisation](), inForce[nameOf(o)].Value)
		changed = changed || len(list[i]) != len(o)
	}
	if !changed {
		return it, false
	}
	out := make(item, len(it))
	for field, value := range it {
		out[field] = value
	}
	out[organisationsField] = marshal(list)
	return out, true
}

// split splits a valid document into the entries of the fold.
func split(raw rawDocument) Tables {
	t := Tables{
		Routes:        make(map[string]json.RawMessage),
		Pools:         make(map[string]json.RawMessage),
		Organisations: make(map[string]map[string]json.RawMessage),
	}
	for _, p := range raw.Pools {
		t.Pools[nameOf(p)] = marshal(p)
	}
	for _, r := range raw.Routes {
		name := nameOf(r)
		var list []item
		_ = json.Unmarshal(r[organisationsField], &list)
		delete(r, organisationsField)
		t.Routes[name] = marshal(r)
		t.Organisations[name] = make(map[string]json.RawMessage, len(list))
		for _, o := range list {
			t.Organisations[name][nameOf(o)] = marshal(o)
		}
	}
	return t
}

func nameOf(it item) string {
	var name string
	_ = json.Unmarshal(it["name"], &name)
	return name
}

// sameJSON reports whether two values are equal, regardless of the order of
// fields and of white space.
func sameJSON(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, errX := decodeNumbers(a)
	y, errY := decodeNumbers(b)
	return errX == nil && errY == nil && reflect.DeepEqual(x, y)
}

func decodeNumbers(data []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var v any
	err := dec.Decode(&v)
	return v, err
}

// fieldNames returns the JSON names of the fields of T.
func fieldNames[T any]() []string {
	return strictjson.FieldNames(reflect.TypeFor[T]())
}

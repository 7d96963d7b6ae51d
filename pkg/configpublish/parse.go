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

// Tables is an operator's document, taken apart into the entries of the fold.
type Tables struct {
	Routes        map[string]json.RawMessage
	Pools         map[string]json.RawMessage
	Organisations map[string]map[string]json.RawMessage
}

// item is one object of a document, field by field.
type item map[string]json.RawMessage

// rawDocument is a document whose fields are not interpreted.
type rawDocument struct {
	Routes []item `json:"routes"`
	Pools  []item `json:"pools"`
}

// Parse reads an operator's document and lists every fault in it. A field that
// this binary does not know is a fault, unless the same entry in force has it
// with the same value: then a newer binary wrote it and it is kept.
func Parse(data []byte, inForce configfold.State) (Tables, []strictjson.Fault) {
	var raw rawDocument
	if err := json.Unmarshal(data, &raw); err != nil {
		_, faults := tables.Parse(data)
		return Tables{}, faults
	}
	if _, faults := tables.Parse(withoutKept(data, raw, inForce)); len(faults) > 0 {
		return Tables{}, faults
	}
	return takeApart(raw), nil
}

// withoutKept returns the document without the unknown fields that are kept.
func withoutKept(data []byte, raw rawDocument, s configfold.State) []byte {
	var top item
	if json.Unmarshal(data, &top) != nil {
		return data
	}
	changed := false
	routes := make([]item, len(raw.Routes))
	for i, r := range raw.Routes {
		name := nameOf(r)
		kept := r.without(fieldNames[tables.Route](), s.Routes[name].Value)
		kept, listChanged := kept.withoutInList(s.Organisations[name])
		routes[i] = kept
		changed = changed || listChanged || len(kept) != len(r)
	}
	pools := make([]item, len(raw.Pools))
	for i, p := range raw.Pools {
		pools[i] = p.without(fieldNames[tables.Pool](), s.Pools[nameOf(p)].Value)
		changed = changed || len(pools[i]) != len(p)
	}
	if !changed {
		return data
	}
	top["routes"] = marshal(routes)
	top["pools"] = marshal(pools)
	return marshal(top)
}

// without returns the item without the unknown fields that the entry in force
// has with the same value.
func (it item) without(known []string, inForce json.RawMessage) item {
	var old item
	if json.Unmarshal(inForce, &old) != nil {
		return it
	}
	out := make(item, len(it))
	for field, value := range it {
		if slices.Contains(known, field) || !sameJSON(old[field], value) {
			out[field] = value
		}
	}
	return out
}

func (it item) withoutInList(inForce map[string]configfold.Entry) (item, bool) {
	var list []item
	if len(inForce) == 0 || json.Unmarshal(it[organisationsField], &list) != nil {
		return it, false
	}
	changed := false
	for i, o := range list {
		list[i] = o.without(fieldNames[tables.Organisation](), inForce[nameOf(o)].Value)
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

// takeApart splits a document without faults.
func takeApart(raw rawDocument) Tables {
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

// sameJSON reports whether two values are equal but for the order of fields
// and white space.
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

// fieldNames returns the names of the fields of T in JSON.
func fieldNames[T any]() []string {
	return strictjson.FieldNames(reflect.TypeFor[T]())
}

// Package strictjson decodes JSON that a person wrote and lists every fault
// with its place: syntax, unknown fields and wrong types.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Place is a path such as "routes[2].pool".
	Place  string `json:"place"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// NewFault returns a fault.
func NewFault(place, detail, remedy string) Fault {
	return Fault{Place: place, Detail: detail, Remedy: remedy}
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s (remedy: %s)", f.Place, f.Detail, f.Remedy)
}

// Sort orders the faults by place and detail.
func Sort(faults []Fault) {
	slices.SortFunc(faults, func(a, b Fault) int {
		return strings.Compare(a.Place+"\x00"+a.Detail, b.Place+"\x00"+b.Detail)
	})
}

// Join returns the faults as one text, one on a line.
func Join(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Decode reads data into the struct that into points to. It returns every
// fault found; into is complete only when there are none.
func Decode(data []byte, into any) []Fault {
	return decode(data, into, func(Fault) bool { return true })
}

// unknownField is the detail of a field that the struct does not have.
const unknownField = "unknown field"

// DecodeIgnoringUnknown decodes as Decode does a document of which only some fields are used:
// the others are no fault.
func DecodeIgnoringUnknown(data []byte, into any) []Fault {
	return decode(data, into, func(f Fault) bool { return f.Detail != unknownField })
}

func decode(data []byte, into any, counts func(Fault) bool) []Fault {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return []Fault{{"line " + lineOf(data, errorOffset(err, len(data))), err.Error(), "correct the JSON syntax"}}
	}
	if dec.More() {
		return []Fault{{"line " + lineOf(data, dec.InputOffset()), "text follows the document", "keep one JSON document in the file"}}
	}
	var faults []Fault
	for _, f := range check(tree, reflect.TypeOf(into).Elem(), "") {
		if counts(f) {
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return faults
	}
	if err := json.Unmarshal(data, into); err != nil {
		return []Fault{{"document", err.Error(), "correct the value"}}
	}
	return nil
}

// errorOffset returns where a syntax error stands; the end of the data where
// the document ends too early.
func errorOffset(err error, size int) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	return int64(size)
}

func check(node any, t reflect.Type, place string) []Fault {
	if node == nil {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return check(node, t.Elem(), place)
	case reflect.Struct:
		return checkObject(node, t, place)
	case reflect.Slice:
		return checkArray(node, t, place)
	case reflect.String:
		_, ok := node.(string)
		return wrongType(ok, place, "a string")
	case reflect.Bool:
		_, ok := node.(bool)
		return wrongType(ok, place, "true or false")
	case reflect.Int, reflect.Int64:
		n, ok := node.(json.Number)
		if ok {
			_, err := n.Int64()
			ok = err == nil
		}
		return wrongType(ok, place, "a whole number")
	case reflect.Float64:
		_, ok := node.(json.Number)
		return wrongType(ok, place, "a number")
	}
	return nil
}

func checkObject(node any, t reflect.Type, place string) []Fault {
	object, ok := node.(map[string]any)
	if !ok {
		return wrongType(false, place, "an object")
	}
	fields := fieldsOf(t)
	var faults []Fault
	for _, name := range sortedKeys(object) {
		at := join(place, name)
		ft, known := fields[name]
		if !known {
			faults = append(faults, Fault{at, unknownField, "remove it, or write one of: " + strings.Join(sortedKeys(fields), ", ")})
			continue
		}
		faults = append(faults, check(object[name], ft, at)...)
	}
	return faults
}

func checkArray(node any, t reflect.Type, place string) []Fault {
	list, ok := node.([]any)
	if !ok {
		return wrongType(false, place, "a list")
	}
	var faults []Fault
	for i, item := range list {
		faults = append(faults, check(item, t.Elem(), fmt.Sprintf("%s[%d]", place, i))...)
	}
	return faults
}

// FieldNames returns the names of the JSON fields of a struct type, sorted.
func FieldNames(t reflect.Type) []string { return sortedKeys(fieldsOf(t)) }

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "":
			for n, ft := range fieldsOf(f.Type) {
				fields[n] = ft
			}
		case name != "" && name != "-":
			fields[name] = f.Type
		}
	}
	return fields
}

func wrongType(ok bool, place, want string) []Fault {
	if ok {
		return nil
	}
	if place == "" {
		place = "document"
	}
	return []Fault{{place, "wrong type", "write " + want}}
}

func join(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func lineOf(data []byte, offset int64) string {
	n := min(int(offset), len(data))
	return fmt.Sprint(1 + bytes.Count(data[:n], []byte("\n")))
}

package strictjson

import (
	"encoding/json"
	"testing"
)

// FuzzDecode checks that data decoded without a fault is a single JSON document,
// and that every fault has a place and a remedy.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"name":"a","list":[{"n":1}]}`, `{"name":1}`, `{"x":[]} {}`, `{"list":[null,{"n":1.5}]}`, `[`, `{"n":1e400}`, "null"} {
		f.Add([]byte(seed))
	}
	type inner struct {
		N int     `json:"n"`
		F float64 `json:"f"`
	}
	type document struct {
		Name string   `json:"name"`
		On   bool     `json:"on"`
		List []inner  `json:"list"`
		Also *inner   `json:"also"`
		Tags []string `json:"tags"`
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d document
		faults := Decode(data, &d)
		if len(faults) == 0 && !json.Valid(data) {
			t.Fatalf("%q was decoded without a fault but is not valid JSON", data)
		}
		for _, fault := range faults {
			if fault.Place == "" || fault.Remedy == "" {
				t.Fatalf("%q: %v", data, fault)
			}
		}
	})
}

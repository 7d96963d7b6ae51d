package expertmap_test

import (
	"encoding/json"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// TestEncodedMapRoundTrip checks that a valid map is still valid after encoding and decoding, with
// the same ranks and each share within 1/10,000 for each replica.
func TestEncodedMapRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ranks = 16
		m := expertmap.Map{Version: expertmap.Version{Fencing: 3, Sequence: 1}, Ranks: ranks}
		for range rapid.IntRange(1, 3).Draw(t, "layers") {
			var layer expertmap.Layer
			for range rapid.IntRange(0, 5).Draw(t, "experts") {
				n := rapid.IntRange(1, 5).Draw(t, "replicas")
				first := rapid.IntRange(0, ranks-1).Draw(t, "rank")
				remaining := 1.0
				var replicas []expertmap.Replica
				for i := range n {
					share := remaining
					if i < n-1 {
						share = remaining * rapid.Float64Range(0, 1).Draw(t, "share")
					}
					remaining -= share
					replicas = append(replicas, expertmap.Replica{Rank: (first + 3*i) % ranks, Share: share})
				}
				layer = append(layer, replicas)
			}
			m.Layers = append(m.Layers, layer)
		}
		data, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		var decoded expertmap.Map
		if err := json.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		if err := decoded.Validate(); err != nil || decoded.Version != m.Version || len(decoded.Layers) != len(m.Layers) {
			t.Fatalf("%v: %s", err, data)
		}
		for l, layer := range m.Layers {
			for e, replicas := range layer {
				for i, r := range replicas {
					got := decoded.Layers[l][e][i]
					if got.Rank != r.Rank || math.Abs(got.Share-r.Share) > float64(len(replicas))/10_000 {
						t.Fatalf("layer %d expert %d replica %d: %+v for %+v", l, e, i, got, r)
					}
				}
			}
		}
	})
}

func TestMalformedLayersAreRefused(t *testing.T) {
	for _, text := range []string{`[[1,5000]]`, `[[1.5]]`, `{"a":1}`, `[["x"]]`} {
		var l expertmap.Layer
		if err := json.Unmarshal([]byte(text), &l); !problem.Is(err, problem.BadRequest) {
			t.Errorf("%s: %v", text, err)
		}
	}
	for _, text := range []string{`[[1,20000,2]]`, `[[1,-5,2]]`, `[[9]]`, `[[]]`} {
		m := expertmap.Map{Ranks: 4, Layers: make([]expertmap.Layer, 1)}
		if err := json.Unmarshal([]byte(text), &m.Layers[0]); err != nil {
			t.Errorf("%s: %v", text, err)
		}
		if err := m.Validate(); !problem.Is(err, problem.BadRequest) {
			t.Errorf("%s is accepted", text)
		}
	}
}

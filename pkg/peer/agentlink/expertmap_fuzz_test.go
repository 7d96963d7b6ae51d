package agentlink_test

import (
	"encoding/json"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
)

// FuzzOrderMap checks that every expert of a map that passes Validate is loaded by some rank.
func FuzzOrderMap(f *testing.F) {
	f.Add([]byte(`{"fencing":1,"map":{"version":{"fencing":1,"sequence":1},"ranks":2,"layers":[[[{"rank":0,"share":1}],[{"rank":1,"share":0.5},{"rank":0,"share":0.5}]]]}}`))
	f.Add([]byte(`{"map":{"ranks":1,"layers":[[null]]}}`))
	f.Add([]byte(`{"map":{"ranks":1,"layers":[[[{"rank":-1,"share":1}]]]}}`))
	f.Add([]byte(`{"map":{"ranks":1e9,"layers":[[[{"rank":0,"share":1e308},{"rank":1,"share":-1e308}]]]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var order agentlink.OrderMapRequest
		if json.Unmarshal(data, &order) != nil || order.Map.Validate() != nil {
			return
		}
		loaded := make(map[expertmap.Expert]bool)
		for _, layer := range order.Map.Layers {
			for _, replicas := range layer {
				for _, r := range replicas {
					for _, e := range order.Map.MissingExperts(r.Rank, nil) {
						loaded[e] = true
					}
				}
			}
		}
		for l, layer := range order.Map.Layers {
			for e := range layer {
				if !loaded[expertmap.Expert{Layer: l, Index: e}] {
					t.Fatalf("no rank loads expert %d of layer %d", e, l)
				}
			}
		}
	})
}

package evacuation_test

import (
	"fmt"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/evacuation"
)

// BenchmarkRound gives the cost of the messages of all other entries that an entry merges in one round, and of its
// own message, with three failure domains of which one is evacuated. Without a record both cost nothing.
func BenchmarkRound(b *testing.B) {
	for _, entries := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			k := started()
			for n, domain := range []string{"zone-a", "zone-b", "zone-c"} {
				k.Apply(evacuation.Record{Domain: domain, Evacuated: true, Offset: int64(10 + n)})
			}
			k.Apply(evacuation.Record{Domain: "zone-a", Offset: 20})
			reports := k.Reports(all)
			b.ReportAllocs()
			for b.Loop() {
				for range entries {
					k.Merge("front-2", reports)
				}
				k.Reports(all)
			}
		})
	}
}

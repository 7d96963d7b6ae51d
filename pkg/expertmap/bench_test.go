package expertmap_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// BenchmarkStep measures the processor time of one step at one rank and the size of its report.
func BenchmarkStep(b *testing.B) {
	for _, ranks := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			gates := make([]*expertmap.Gate, ranks)
			for i := range gates {
				gates[i] = expertmap.NewGate(i, ranks, ident.NewIncarnation(fmt.Sprintf("rank-%d", i)), expertmap.AllChecks)
				gates[i].Install(expertmap.Version{Fencing: 1, Sequence: 1})
			}
			barrier(gates, (*expertmap.Gate).ResendReport)
			b.ResetTimer()
			for b.Loop() {
				barrier(gates, (*expertmap.Gate).FinishStep)
			}
			report, _ := json.Marshal(*gates[0].FinishStep().Send)
			b.ReportMetric(float64(len(report)), "bytes/report")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*ranks), "ns/rank-step")
		})
	}
}

// barrier calls begin for every gate and delivers the reports until no gate sends another one.
func barrier(gates []*expertmap.Gate, begin func(*expertmap.Gate) expertmap.Actions) {
	var reports []expertmap.Report
	for _, g := range gates {
		if a := begin(g); a.Send != nil {
			reports = append(reports, *a.Send)
		}
	}
	for len(reports) > 0 {
		batch := reports
		reports = nil
		for _, r := range batch {
			for _, g := range gates {
				if a := g.Receive(r); a.Send != nil {
					reports = append(reports, *a.Send)
				}
			}
		}
	}
}

// BenchmarkMapBytes measures the size of an encoded map.
func BenchmarkMapBytes(b *testing.B) {
	for _, size := range []struct{ ranks, experts, layers int }{{8, 32, 8}, {32, 64, 8}, {128, 128, 8}, {128, 128, 32}} {
		b.Run(fmt.Sprintf("%dx%dx%d", size.ranks, size.experts, size.layers), func(b *testing.B) {
			m := expertmap.Map{Ranks: size.ranks, Layers: make([]expertmap.Layer, size.layers)}
			replicas := 0
			for l := range m.Layers {
				for e := range size.experts {
					m.Layers[l] = append(m.Layers[l], []expertmap.Replica{{Rank: e % size.ranks, Share: 0.61803398875}, {Rank: (e + 1) % size.ranks, Share: 0.38196601125}})
					replicas += 2
				}
			}
			var data []byte
			for b.Loop() {
				data, _ = json.Marshal(m)
			}
			b.ReportMetric(float64(len(data)), "bytes/map")
			b.ReportMetric(float64(len(data))/float64(replicas), "bytes/replica")
		})
	}
}

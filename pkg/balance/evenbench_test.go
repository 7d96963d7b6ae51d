package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// benchmarkFleet returns the balancer of an entry that knows a number of entries, the load reports of 72
// engines in 3 groups, and their service.
func benchmarkFleet(entries int, predicts bool) (x *balance.Balancer, reports [3][]balance.EngineLoad, service *fleet.Service) {
	limits := ratelimit.New("entry0")
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprint("entry", i))
	}
	if predicts {
		limits.SetEntries(start, names, entries)
	}
	x = balance.New(limits)
	list := servers(72)
	for i := range list {
		g := i / 24
		list[i].Group = fmt.Sprint("g", g)
		reports[g] = append(reports[g], balance.EngineLoad{Address: list[i].Address, Incarnation: 1, Running: i % 10, Age: 50 * time.Millisecond})
	}
	x.SetServers(list)
	for _, n := range names[1:] {
		x.SetEntryLoads(start, n, nil)
	}
	for g, loads := range reports {
		x.UpdateGroup(start, "s", fmt.Sprint("g", g), fleet.GroupOpen, loads)
	}
	return x, reports, &fleet.Service{Name: "s", Engine: &fleet.Engine{Slots: 10, MeanPromptTokens: 800, MeanAnswerTokens: 95, StepMS: 4.55, PerRequestMS: 1.09}}
}

// BenchmarkChoose measures the choice of one of 72 engines whose loads come from digests. The first choice of
// every 20 ms advances the prediction.
func BenchmarkChoose(b *testing.B) {
	for _, entries := range []int{10, 100, 300} {
		for _, predicts := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d entries, predicts %v", entries, predicts), func(b *testing.B) {
				x, _, service := benchmarkFleet(entries, predicts)
				random := func() float64 { return 0.37 }
				b.ReportAllocs()
				now := start
				for range b.N {
					if now = now.Add(4 * time.Millisecond); now.Sub(start) > time.Second {
						now = start
					}
					if _, ok := x.Choose(now, service, nil, random); !ok {
						b.Fatal("no engine was chosen")
					}
				}
			})
		}
	}
}

// BenchmarkUpdateGroup measures the receipt of a report of 24 engines.
func BenchmarkUpdateGroup(b *testing.B) {
	for _, entries := range []int{10, 100, 300} {
		for _, predicts := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d entries, predicts %v", entries, predicts), func(b *testing.B) {
				x, reports, service := benchmarkFleet(entries, predicts)
				x.Choose(start, service, nil, func() float64 { return 0.37 })
				b.ReportAllocs()
				for n := range b.N {
					x.UpdateGroup(start.Add(time.Duration(n)*33*time.Millisecond), "s", fmt.Sprint("g", n%3), fleet.GroupOpen, reports[n%3])
				}
			})
		}
	}
}

package rankcontrol_test

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// change is the change of a planned map after the demand has changed.
type change struct {
	ranks, copies int
	base, next    rankcontrol.Map
}

// plannedChanges returns stages in which each rank copies up to two experts after a change of all demand,
// for groups of the sizes in service and for a larger one.
func plannedChanges() []change {
	var changes []change
	for _, size := range []struct {
		ranks, sets, experts, places int
	}{{24, 16, 96, 5}, {63, 8, 252, 5}, {72, 12, 144, 3}, {129, 8, 258, 3}} {
		random := rand.New(rand.NewPCG(1, 2))
		newDemand := func() []evenplan.Demand {
			demand := make([]evenplan.Demand, size.sets)
			for s := range demand {
				sample := make([]float64, size.experts)
				for i, e := range random.Perm(size.experts) {
					sample[e] = 1 / math.Pow(float64(i+1), 0.8)
				}
				demand[s] = evenplan.Demand{sample}
			}
			return demand
		}
		limits := evenplan.Limits{Places: size.places, Spare: 2, MinCopyGain: 0.6 / float64(size.ranks), RankCopies: 2}
		// With copies that take almost no time, the stage uses all copies that the limits allow.
		cost := evenplan.StageCost{Copy: time.Nanosecond, Fixed: time.Second}
		base := evenplan.Make(limits, evenplan.Uniform(size.sets, size.experts, size.ranks), newDemand()).Sets
		plan := evenplan.MakeStaged(limits, base, newDemand(), cost)
		changes = append(changes, change{size.ranks, plan.Copies, base, plan.Sets})
	}
	return changes
}

// TestDeltaSize guards the time of a stage: the planner sends the changes of the map to all ranks over one
// link of 8 Mbit/s. That must take no longer than a tenth of a second for groups of up to 72 ranks. For 72 ranks,
// whose copies take 32 ms, it must take no longer than arming and switching, 50 ms.
func TestDeltaSize(t *testing.T) {
	const bytesPerSecond = 8_000_000 / 8
	for _, c := range plannedChanges() {
		delta := c.base.DeltaTo(c.next)
		got, err := c.base.WithDelta(delta)
		if err != nil || !reflect.DeepEqual(got, c.next) {
			t.Fatalf("%d ranks: the decoded map differs: %v", c.ranks, err)
		}
		sending := time.Duration(len(delta)*c.ranks) * time.Second / bytesPerSecond
		t.Logf("%d ranks copy %d experts: %d bytes for each rank, %v for all", c.ranks, c.copies, len(delta), sending)
		limit := 100 * time.Millisecond
		if c.ranks == 72 {
			limit = 50 * time.Millisecond
		}
		if c.ranks <= 72 && sending > limit {
			t.Errorf("%d ranks: sending %d bytes to each takes %v, want at most %v", c.ranks, len(delta), sending, limit)
		}
	}
}

// drawMap returns a map whose rows have no expert twice.
func drawMap(t *rapid.T, sets, ranks, experts int) rankcontrol.Map {
	m := make(rankcontrol.Map, sets)
	for s := range m {
		for range ranks {
			row := rapid.SliceOfNDistinct(rapid.IntRange(0, experts-1), 0, min(experts, 6), rapid.ID[int]).Draw(t, "row")
			m[s] = append(m[s], row)
		}
		m[s][0] = append([]int{experts - 1}, slices.DeleteFunc(m[s][0], func(e int) bool { return e == experts-1 })...)
	}
	return m
}

func sortedRows(m rankcontrol.Map) [][][]int {
	out := make([][][]int, len(m))
	for s, ranks := range m {
		for _, row := range ranks {
			out[s] = append(out[s], append([]int{}, slices.Sorted(slices.Values(row))...))
		}
	}
	return out
}

// TestDeltaRoundTrip guards against agents that give their engines another map than the planned one, also
// if the planner and the agent list the experts of a row in different orders.
func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets, ranks, experts := rapid.IntRange(1, 3).Draw(t, "sets"), rapid.IntRange(1, 9).Draw(t, "ranks"), rapid.IntRange(1, 40).Draw(t, "experts")
		base, next := drawMap(t, sets, ranks, experts), drawMap(t, sets, ranks, experts)
		delta := base.DeltaTo(next)
		received := rankcontrol.Map(sortedRows(base))
		got, err := received.WithDelta(delta)
		if err != nil || !reflect.DeepEqual(sortedRows(got), sortedRows(next)) {
			t.Fatalf("the decoded map is %v, want %v (error %v)", got, next, err)
		}
		if other := drawMap(t, sets, ranks, experts); !reflect.DeepEqual(sortedRows(other), sortedRows(base)) {
			if got, err := other.WithDelta(delta); err == nil && !reflect.DeepEqual(sortedRows(got), sortedRows(next)) {
				t.Fatalf("changes to another base give %v, want %v or an error", got, next)
			}
		}
		if cut := rapid.IntRange(0, len(delta)-1).Draw(t, "cut"); cut < len(delta) {
			if got, err := received.WithDelta(delta[:cut]); err == nil && !reflect.DeepEqual(sortedRows(got), sortedRows(next)) {
				t.Fatalf("%d of %d bytes of the changes give %v, want %v or an error", cut, len(delta), got, next)
			}
		}
	})
}

// TestDeltaOfOtherSizes guards the full map: changes cannot state a map of other sizes.
func TestDeltaOfOtherSizes(t *testing.T) {
	base := rankcontrol.Map(evenplan.Uniform(2, 6, 3))
	for name, other := range map[string]rankcontrol.Map{
		"no set": nil, "another number of sets": rankcontrol.Map(evenplan.Uniform(3, 6, 3)), "more ranks": rankcontrol.Map(evenplan.Uniform(2, 6, 4)),
		"more experts": rankcontrol.Map(evenplan.Uniform(2, 7, 3)), "one set with another number of ranks": {{{0, 5}, {1, 2}, {3, 4}, {}}, {{0, 5}, {1, 2}, {3, 4}}},
	} {
		if d := base.DeltaTo(other); d != "" {
			t.Errorf("%s: the changes are %q, want none", name, d)
		}
		if d := other.DeltaTo(base); d != "" {
			t.Errorf("%s as the base: the changes are %q, want none", name, d)
		}
	}
}

// TestDeltaOfAnotherRelease guards an upgrade, during which agents of both releases run: neither must
// take the changes of the other for its own format. Earlier releases encode packed rows in base64.
func TestDeltaOfAnotherRelease(t *testing.T) {
	base := rankcontrol.Map(evenplan.Uniform(2, 6, 3))
	if got, err := base.WithDelta("AQIBAQE="); err == nil {
		t.Errorf("the rows of an earlier release are accepted as %v", got)
	}
	next := rankcontrol.Map(evenplan.Uniform(2, 6, 3))
	next[0][0] = []int{0, 3, 5}
	text, err := json.Marshal(base.DeltaTo(next))
	if err != nil {
		t.Fatal(err)
	}
	var packedRows []byte
	if err := json.Unmarshal(text, &packedRows); err == nil {
		t.Errorf("an earlier release takes %s for packed rows", text)
	}
}

// FuzzDelta checks that any text decodes either to a map of the size of the base that can be stated as
// changes again, or to an error.
func FuzzDelta(f *testing.F) {
	base := rankcontrol.Map(evenplan.Uniform(2, 6, 3))
	next := rankcontrol.Map(evenplan.Uniform(2, 6, 3))
	next[1][2] = []int{0, 5}
	f.Add(string(base.DeltaTo(next)))
	f.Add("AQIBAQE=")
	f.Add("~")
	f.Add("~AAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := base.WithDelta(rankcontrol.Delta(text))
		if err != nil {
			return
		}
		if again, err := base.WithDelta(base.DeltaTo(got)); got.Shape() == base.Shape() && (err != nil || !reflect.DeepEqual(sortedRows(again), sortedRows(got))) {
			t.Fatalf("%v is decoded as %v: %v", got, again, err)
		}
	})
}

// BenchmarkDelta measures the changes of a planned map: their size, and the time to encode them once and to
// decode them at an agent.
func BenchmarkDelta(b *testing.B) {
	for _, c := range plannedChanges() {
		delta := c.base.DeltaTo(c.next)
		b.Run(strconv.Itoa(c.ranks)+"ranks/encode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.base.DeltaTo(c.next)
			}
			b.ReportMetric(float64(len(delta)), "bytes/rank")
		})
		b.Run(strconv.Itoa(c.ranks)+"ranks/decode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.base.WithDelta(delta); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

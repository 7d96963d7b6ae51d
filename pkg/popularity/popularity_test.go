package popularity_test

import (
	"math"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/popularity"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

func counts(born, step int64, chosen ...int64) rankcontrol.Counts {
	return rankcontrol.Counts{Incarnation: born, Step: step, ExpertCounts: chosen}
}

// TestWindowsAreCountedAndDecay guards against demand that includes choices from before the first
// read or from before a restart of the engine, and against counts that lose weight at a wrong rate.
func TestWindowsAreCountedAndDecay(t *testing.T) {
	var c popularity.WindowTracker
	if w := c.Next(counts(1, 5, 100, 200)); len(w.Roots) != 0 {
		t.Error("the first counts give a window")
	}
	w := c.Next(counts(1, 9, 1100, 210))
	e := popularity.New(2, 1, 2, time.Second)
	start := time.Unix(1_700_000_000, 0)
	e.DecayTo(start)
	e.Observe(0, w)
	e.MergeWindows()
	if got := e.TotalChoices(); math.Abs(got-1010) > 5 {
		t.Errorf("%v choices, want 1010", got)
	}
	e.DecayTo(start.Add(time.Second))
	if got := e.TotalChoices(); math.Abs(got-505) > 3 {
		t.Errorf("%v choices after a half-life, want 505", got)
	}
	if w := c.Next(counts(2, 10, 5000, 5000)); len(w.Roots) != 0 {
		t.Error("the first counts after a restart of the engine give a window")
	}
	if w := c.Next(counts(2, 11, 5000, 5000)); w.Max != 0 {
		t.Error("unchanged counts give a window that is not empty")
	}
}

// TestSamplesKeepRanksApart checks that each rank's own demand shows in a sample of its own, and
// that no demand is zero.
func TestSamplesKeepRanksApart(t *testing.T) {
	e := popularity.New(2, 1, 2, time.Second)
	e.DecayTo(time.Unix(0, 0))
	e.Observe(0, popularity.Window{Max: 100, Roots: []byte{255, 0}})
	e.Observe(1, popularity.Window{Max: 100, Roots: []byte{0, 255}})
	e.MergeWindows()
	samples := e.Samples()[0]
	if len(samples) != 2 || !(samples[0][0] > samples[0][1]) || !(samples[1][1] > samples[1][0]) || samples[0][1] <= 0 {
		t.Errorf("want two samples, each with the demand of its own rank: %v", samples)
	}
	empty := popularity.New(2, 1, 2, time.Second)
	if got := empty.Samples()[0]; len(got) != 1 {
		t.Errorf("want one sample without any demand: %v", got)
	}
}

// TestShiftDiscardsEarlierDemand guards against demand that moves to other experts at once: the
// estimate must follow within one window, and the usual variation of windows must not count as such
// a shift.
func TestShiftDiscardsEarlierDemand(t *testing.T) {
	e := popularity.New(1, 1, 4, 2*time.Second)
	now := time.Unix(0, 0)
	observe := func(roots ...byte) bool {
		now = now.Add(100 * time.Millisecond)
		e.DecayTo(now)
		e.Observe(0, popularity.Window{Max: 100_000, Roots: roots})
		return e.MergeWindows()
	}
	for n := range 20 {
		if observe(255, 120, byte(60+n%2*30), 60) {
			t.Fatalf("window %d is within the usual variation but counts as a shift", n)
		}
	}
	if !observe(60, 60, 120, 255) {
		t.Fatal("the shift was not detected")
	}
	if d := e.Samples()[0][0]; d[3] < 4*d[0] {
		t.Errorf("the earlier demand still counts: %v", d)
	}
}

// TestSamplesSkipRanksWithoutCounts guards a large group in which only some ranks are asked for
// their counts: each sample must hold an equal part of the ranks that reported, and the plan must
// be made for their demand.
func TestSamplesSkipRanksWithoutCounts(t *testing.T) {
	e := popularity.New(63, 1, 3, time.Second)
	e.DecayTo(time.Unix(0, 0))
	for r := 0; r < 63; r += 4 {
		e.Observe(r, popularity.Window{Max: 10_000, Roots: []byte{255, 128, 0}})
	}
	e.MergeWindows()
	samples := e.Samples()[0]
	if len(samples) != 4 {
		t.Fatalf("%d samples", len(samples))
	}
	for k, sample := range samples {
		if !(sample[0] > 3*sample[1] && sample[1] > 3*sample[2]) {
			t.Errorf("sample %d: %v", k, sample)
		}
	}
}

// TestWindowAcrossAShiftShowsTheNewDemand guards the first map after a shift: a window that began before it
// holds both demands, and a map planned for their mixture must be changed again at once.
func TestWindowAcrossAShiftShowsTheNewDemand(t *testing.T) {
	const experts = 40
	demandOf := func(most int) []float64 {
		d := make([]float64, experts)
		for i := range d {
			d[i] = 2000
			if i/4 == most {
				d[i] = 40_000
			}
		}
		return d
	}
	earlier, later := demandOf(0), demandOf(5)
	for _, share := range []float64{0, 0.3, 0.6} { // the share of the window before the shift
		e := popularity.New(1, 1, experts, 2*time.Second)
		now := time.Unix(0, 0)
		observe := func(share float64) bool {
			w := popularity.Window{Max: 40_000, Roots: make([]byte, experts)}
			for i := range w.Roots {
				w.Roots[i] = byte(math.Round(math.Sqrt((share*earlier[i]+(1-share)*later[i])/40_000) * math.MaxUint8))
			}
			now = now.Add(100 * time.Millisecond)
			e.DecayTo(now)
			e.Observe(0, w)
			return e.MergeWindows()
		}
		for range 20 {
			observe(1)
		}
		if !observe(share) {
			t.Fatalf("share %v: the shift was not detected", share)
		}
		for n := range 5 {
			if d := e.Samples()[0][0]; d[0] > 2*d[10] || d[20] < 5*d[0] {
				t.Errorf("share %v, %d windows after the shift: an expert in demand before it has %.4f, one in demand after it %.4f, the others %.4f", share, n, d[0], d[20], d[10])
			}
			observe(0)
		}
	}
}

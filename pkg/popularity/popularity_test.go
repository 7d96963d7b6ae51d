package popularity_test

import (
	"math"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/popularity"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

func counts(born, step int64, chosen ...int64) rankcontrol.Counts {
	return rankcontrol.Counts{Born: born, Step: step, Chosen: chosen}
}

func TestWindowsAreCutAndDecay(t *testing.T) {
	var c popularity.WindowTracker
	if w := c.Next(counts(1, 5, 100, 200)); len(w.Roots) != 0 {
		t.Error("the first counts have no window")
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
		t.Error("an engine that started anew counts from its start")
	}
	if w := c.Next(counts(2, 11, 5000, 5000)); w.Max != 0 {
		t.Error("nothing was chosen")
	}
}

// TestSamplesTellRanksApart: each rank's own demand shows in a sample of its
// own, and nothing is ever zero.
func TestSamplesTellRanksApart(t *testing.T) {
	e := popularity.New(2, 1, 2, time.Second)
	e.DecayTo(time.Unix(0, 0))
	e.Observe(0, popularity.Window{Max: 100, Roots: []byte{255, 0}})
	e.Observe(1, popularity.Window{Max: 100, Roots: []byte{0, 255}})
	e.MergeWindows()
	samples := e.Samples()[0]
	if len(samples) != 2 || !(samples[0][0] > samples[0][1]) || !(samples[1][1] > samples[1][0]) || samples[0][1] <= 0 {
		t.Errorf("%v", samples)
	}
	empty := popularity.New(2, 1, 2, time.Second)
	if got := empty.Samples()[0]; len(got) != 1 {
		t.Errorf("%v", got)
	}
}

// TestShiftForgetsWhatWasLiked answers a load in which other experts are in
// demand from one moment to the next: the plan must follow within one window, and
// the usual spread of windows must not count as such a change.
func TestShiftForgetsWhatWasLiked(t *testing.T) {
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
			t.Fatalf("window %d is within the usual spread", n)
		}
	}
	if !observe(60, 60, 120, 255) {
		t.Fatal("the shift was not seen")
	}
	if d := e.Samples()[0][0]; d[3] < 4*d[0] {
		t.Errorf("what was liked before still counts: %v", d)
	}
}

// TestSilentRanksLeaveNoGap answers a large group of which some ranks are asked
// for their counts: each sample holds an equal part of those that told, and the
// plan is made for what they like.
func TestSilentRanksLeaveNoGap(t *testing.T) {
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

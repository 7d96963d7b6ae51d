package mapswitch_test

import (
	"context"
	"errors"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// TestFencesRiseOverTimelines guards against a planner that is locked out for ever, or that shares
// its fences with another one, after the shared log was restored: the generation of the election goes
// back with the log, and is assigned again.
func TestFencesRiseOverTimelines(t *testing.T) {
	terms := []struct {
		timeline   sharedlog.Timeline
		generation int64
	}{{0, 9}, {1, 1}, {1, 2}, {1, 4000}, {2, 1}, {2, 3999}, {3, 0}, {sharedlog.MaxTimeline, 1}, {sharedlog.MaxTimeline, 1 << 23}}
	last := int64(-1)
	for _, term := range terms {
		fences := mapswitch.NewFenceCounter(term.timeline, term.generation)
		for range 3 {
			fence := nextVersion(t, fences)
			if fence <= last {
				t.Errorf("timeline %d, generation %d: fence %d does not exceed the earlier fence %d", term.timeline, term.generation, fence, last)
			}
			last = fence
		}
	}
}

// TestExhaustedFencesEndTheTerm guards against a planner whose fences grow into those of the next
// generation: the planner that is elected next would be refused by the ranks.
func TestExhaustedFencesEndTheTerm(t *testing.T) {
	fences, next := mapswitch.NewFenceCounter(1, 5), mapswitch.NewFenceCounter(1, 6)
	highest, err := int64(0), error(nil)
	for {
		var fence int64
		if fence, err = fences.NextVersion(); err != nil {
			break
		}
		highest = fence
	}
	if !errors.Is(err, mapswitch.ErrFencesExhausted) {
		t.Errorf("got %v, want ErrFencesExhausted", err)
	}
	if first := nextVersion(t, next); highest >= first {
		t.Errorf("generation 5 allocated fence %d, generation 6 begins with %d", highest, first)
	}
	g := newGroup(1, ranks, allChecks, faults{})
	f := &mapswitch.Group{Ranks: g.controls(identity), Epoch: g.epochNow(), Fences: fences}
	if err := f.Resolve(context.Background()); !errors.Is(err, mapswitch.ErrFencesExhausted) {
		t.Errorf("got %v from an order without a fence, want ErrFencesExhausted", err)
	}
}

package mapswitch_test

import (
	"context"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// modelLag is the age of the reports of a rank that is asked from afar.
const modelLag = 10 * time.Millisecond

// lagging is a rank whose reports do not show yet that it was armed at since.
type lagging struct {
	rankcontrol.Rank
	since time.Time
}

func (l lagging) Report(ctx context.Context) (fleet.EngineReport, error) {
	report, err := l.Rank.Report(ctx)
	report.Stale = true
	if time.Since(l.since) < modelLag {
		report.Armed, report.ArmedStep = 0, 0
	}
	return report, err
}

// takeOver lets a planner clear up what an earlier one left that stood still for
// seconds, went on, disarmed the other ranks and was shut out: the anchor holds the
// group, and was armed a moment ago.
func takeOver(t *testing.T, reportLag time.Duration) *group {
	t.Helper()
	g := newGroup(1, ranks, allChecks, faults{})
	ctx := context.Background()
	first := mapswitch.NewFenceCounter(1)
	version := first.NextVersion()
	order := func(r int, o rankcontrol.Order) {
		o.Epoch, o.Fence = g.epochNow(), first.NextVersion()
		if verdict, err := g.ranks[r].Order(ctx, o); err != nil || verdict != rankcontrol.Accepted && verdict != rankcontrol.InEffect {
			t.Fatalf("%s at rank %d: %s, %v", o.Operation, r, verdict, err)
		}
	}
	for r := range ranks {
		order(r, rankcontrol.Order{Operation: rankcontrol.Prepare, Version: version})
	}
	step := g.stepNow() + 5
	order(1, rankcontrol.Order{Operation: rankcontrol.Hold, Step: step})
	order(1, rankcontrol.Order{Operation: rankcontrol.Arm, Version: version, Step: step})
	since := time.Now()
	f := &mapswitch.Group{Anchor: 1, Epoch: g.epochNow(), Fences: mapswitch.NewFenceCounter(2), ReportLag: reportLag}
	f.Ranks = g.controls(func(r rankcontrol.Rank) rankcontrol.Rank {
		if r.(*rank) == g.ranks[1] {
			return lagging{r, since}
		}
		return r
	})
	if err := f.Resolve(ctx); err != nil {
		t.Fatal(err)
	}
	g.settle()
	return g
}

func (g *group) stepNow() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// TestLaggingReportsAreReadAgain: an order that a rank carried out a moment before
// it was shut off from its earlier planner must not be overlooked.
func TestLaggingReportsAreReadAgain(t *testing.T) {
	if g := takeOver(t, 2*modelLag); g.violation != "" {
		t.Error(g.violation)
	}
}

// TestLaggingReportsMislead: without reading again the same play breaks the rule.
func TestLaggingReportsMislead(t *testing.T) {
	if takeOver(t, time.Nanosecond).violation == "" {
		t.Error("no violation was found without it")
	}
}

package mapswitch_test

import (
	"context"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// modelReportLag is the maximum age of a report that is read from another instance.
const modelReportLag = 10 * time.Millisecond

// lagging is a rank whose reports are from another instance: they do not show the arming at the
// time since until modelReportLag later.
type lagging struct {
	rankcontrol.Rank
	since time.Time
}

func (l lagging) Report(ctx context.Context) (fleet.EngineReport, error) {
	report, err := l.Rank.Report(ctx)
	report.Stale = true
	if time.Since(l.since) < modelReportLag {
		report.Armed, report.ArmedStep = 0, 0
	}
	return report, err
}

func nextVersion(t *testing.T, f *mapswitch.FenceCounter) int64 {
	t.Helper()
	version, err := f.NextVersion()
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// resolveWithLaggingReport runs a second planner that resolves the state after a first one. The
// first planner was suspended for seconds, resumed, disarmed the other ranks and was fenced off.
// The anchor holds the group and was armed a moment ago, which its report does not show yet.
func resolveWithLaggingReport(t *testing.T, reportLag time.Duration) *group {
	t.Helper()
	g := newGroup(1, ranks, allChecks, faults{})
	ctx := context.Background()
	first := mapswitch.NewFenceCounter(1, 1)
	version := nextVersion(t, first)
	order := func(r int, o rankcontrol.Order) {
		o.Epoch, o.Fence = g.epochNow(), nextVersion(t, first)
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
	f := &mapswitch.Group{Anchor: 1, Epoch: g.epochNow(), Fences: mapswitch.NewFenceCounter(1, 2), ReportLag: reportLag}
	f.Ranks = g.controls(func(r rankcontrol.Rank) rankcontrol.Rank {
		if r.(*rank) == g.ranks[1] {
			return lagging{r, since}
		}
		return r
	})
	if err := f.Resolve(ctx); err != nil {
		t.Fatal(err)
	}
	g.deliverLateOrders()
	return g
}

func (g *group) stepNow() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// TestLaggingReportsAreReadAgain guards against overlooking an order that a rank carried out just
// before it was fenced off from the earlier planner.
func TestLaggingReportsAreReadAgain(t *testing.T) {
	if g := resolveWithLaggingReport(t, 2*modelReportLag); g.violation != "" {
		t.Error(g.violation)
	}
}

// TestReadingLaggingReportsOnceIsUnsafe checks that the same run violates the invariant if the
// reports are not read again.
func TestReadingLaggingReportsOnceIsUnsafe(t *testing.T) {
	if resolveWithLaggingReport(t, time.Nanosecond).violation == "" {
		t.Error("no violation was found although lagging reports were read only once")
	}
}

package mapswitch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

const ranks = 5

var allChecks = checks{fence: true, hold: true}

// stopAt ends or freezes a planner at its nth order.
type stopAt struct {
	mu     sync.Mutex
	left   int
	cancel context.CancelFunc
	// frozen is closed when the planner stands still; it goes on at thaw.
	frozen, thaw chan struct{}
}

// through returns a rank's control as the stopped planner sees it.
func (s *stopAt) through(r rankcontrol.Rank) rankcontrol.Rank { return stopped{r, s} }

type stopped struct {
	rankcontrol.Rank
	at *stopAt
}

func (s stopped) Order(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	s.at.mu.Lock()
	s.at.left--
	now := s.at.left == 0
	s.at.mu.Unlock()
	if now && s.at.cancel != nil {
		s.at.cancel()
	}
	if now && s.at.frozen != nil {
		close(s.at.frozen)
		<-s.at.thaw
	}
	return s.Rank.Order(ctx, o)
}

func same(r rankcontrol.Rank) rankcontrol.Rank { return r }

// plan prepares a map and switches to it.
func plan(ctx context.Context, g *group, controls []rankcontrol.Rank, fences *mapswitch.FenceCounter) error {
	f := &mapswitch.Group{Ranks: controls, Anchor: 1, Epoch: g.epochNow(), Fences: fences}
	if err := f.Resolve(ctx); err != nil {
		return err
	}
	version := fences.NextVersion()
	if err := f.Prepare(ctx, version, nil, 0, nil); err != nil {
		return err
	}
	return f.Switch(ctx, version)
}

func (g *group) epochNow() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}

// run plays one cell: the first planner stops at an order; a second one takes
// over; the first goes on if it was frozen. It returns the violation, if any, and
// the group.
func run(seed uint64, c checks, f faults, at int, how string) *group {
	g := newGroup(seed, ranks, c, f)
	g.idle = how == "idle"
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	first, endFirst := context.WithCancel(ctx)
	defer endFirst()
	s := &stopAt{left: at}
	var done sync.WaitGroup
	switch how {
	case "freeze":
		s.frozen, s.thaw = make(chan struct{}), make(chan struct{})
	default:
		s.cancel = endFirst
	}
	ended := make(chan struct{})
	done.Go(func() {
		defer close(ended)
		_ = plan(first, g, g.controls(s.through), mapswitch.NewFenceCounter(1)) // any outcome is allowed
	})
	if how == "freeze" {
		select {
		case <-s.frozen:
		case <-ended:
		}
	} else {
		<-ended
	}
	if how == "reform" {
		g.reform()
	}
	_ = plan(ctx, g, g.controls(same), mapswitch.NewFenceCounter(2)) // any outcome is allowed
	if s.thaw != nil {
		close(s.thaw)
	}
	done.Wait()
	g.settle()
	return g
}

var kinds = []faults{
	{}, {lost: 0.3}, {unanswered: 0.3}, {late: 0.3}, {lost: 0.15, unanswered: 0.15, late: 0.15},
}

// TestOneMapInEachPass plays every fault at every order of a switch: no pass
// begins while two ranks have different maps, and the group is let go in the end.
func TestOneMapInEachPass(t *testing.T) {
	for _, how := range []string{"kill", "freeze", "reform", "idle"} {
		for k, f := range kinds {
			t.Run(fmt.Sprintf("%s/%d", how, k), func(t *testing.T) {
				t.Parallel()
				for at := 1; at <= 3*ranks+4; at++ {
					for seed := range uint64(4) {
						g := run(seed, allChecks, f, at, how)
						if g.violation != "" {
							t.Fatalf("stopped at order %d, seed %d: %s", at, seed, g.violation)
						}
						checkReleased(t, g, at, seed)
					}
				}
			})
		}
	}
}

// checkReleased resolves once more, as a planner does in its next look, and
// then expects nothing to be held.
func checkReleased(t *testing.T, g *group, at int, seed uint64) {
	t.Helper()
	g.mu.Lock()
	g.faults, g.idle = faults{}, false
	g.mu.Unlock()
	f := &mapswitch.Group{Ranks: g.controls(same), Anchor: 1, Epoch: g.epochNow(), Fences: mapswitch.NewFenceCounter(3)}
	if err := f.Resolve(context.Background()); err != nil {
		t.Fatalf("stopped at order %d, seed %d: %v", at, seed, err)
	}
	g.settle()
	for i, r := range g.ranks {
		report, _ := r.Report(context.Background()) // the model always answers
		if report.HeldStep != 0 || g.violation != "" {
			t.Fatalf("stopped at order %d, seed %d: rank %d holds pass %d; %s", at, seed, i, report.HeldStep, g.violation)
		}
	}
}

// TestEachMechanismIsNeeded turns the ranks' checks off: the matrix must find
// it.
func TestEachMechanismIsNeeded(t *testing.T) {
	for name, c := range map[string]checks{"fence": {hold: true}, "hold": {fence: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, how := range []string{"freeze", "kill"} {
				for at := 1; at <= 3*ranks+4; at++ {
					for seed := range uint64(12) {
						if run(seed, c, kinds[4], at, how).violation != "" {
							return
						}
					}
				}
			}
			t.Error("no violation was found without it")
		})
	}
}

// TestSwitchChangesTheMap: without faults every rank has the new map.
func TestSwitchChangesTheMap(t *testing.T) {
	g := newGroup(1, ranks, allChecks, faults{})
	if err := plan(context.Background(), g, g.controls(same), mapswitch.NewFenceCounter(1)); err != nil {
		t.Fatal(err)
	}
	g.settle()
	var versions []int64
	for _, r := range g.ranks {
		report, _ := r.Report(context.Background()) // the model always answers
		versions = append(versions, report.Map)
		if report.Map == 0 || report.State != fleet.GroupOpen {
			t.Fatalf("versions %v", versions)
		}
	}
}

// TestMarginFitsTheArming answers orders that go unanswered while passes are
// long: the new map has to come as soon as all ranks can be armed, not after a
// fixed number of passes.
func TestMarginFitsTheArming(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		arming, pass time.Duration
		want         int64
	}{
		{50 * ms, 60 * ms, 2}, {50 * ms, 0, 2}, {100 * ms, 120 * ms, 2}, {100 * ms, 50 * ms, 3},
		{280 * ms, 120 * ms, 3}, {600 * ms, 40 * ms, 9}, {0, 60 * ms, 1}, {15 * ms, 250 * ms, 1},
	} {
		if got := mapswitch.HoldMargin(c.arming, c.pass); got != c.want {
			t.Errorf("arming %v, pass %v: %d passes, want %d", c.arming, c.pass, got, c.want)
		}
	}
}

// TestHoldsTheNextPass answers passes of a quarter of a second after a group has formed
// anew: where arming is short, the next pass has the new map already, also when one more
// begins between the report and the hold.
func TestHoldsTheNextPass(t *testing.T) {
	for _, begun := range []int{0, 1, 2} {
		g := newGroup(1, 3, allChecks, faults{})
		g.steady = true
		ranks := g.controls(func(r rankcontrol.Rank) rankcontrol.Rank { return &hasty{Rank: r, group: g, passes: begun} })
		group := &mapswitch.Group{Ranks: ranks, Epoch: 1, Fences: mapswitch.NewFenceCounter(1), PassTime: 250 * time.Millisecond, ArmingTime: 15 * time.Millisecond}
		for _, r := range g.ranks {
			r.prepared = 5
		}
		before := g.step
		if err := group.Switch(t.Context(), 5); err != nil {
			t.Fatalf("%d passes begun meanwhile: %v", begun, err)
		}
		g.settle()
		if g.violation != "" || g.ranks[0].version != 5 {
			t.Fatalf("%d passes begun meanwhile: version %d, %s", begun, g.ranks[0].version, g.violation)
		}
		if held := g.switched - before; held > int64(begun)+1 {
			t.Errorf("%d passes begun meanwhile: the map came after %d passes", begun, held)
		}
	}
}

// hasty is a rank whose group begins a pass just before each of its first holds.
type hasty struct {
	rankcontrol.Rank
	group  *group
	passes int
}

func (h *hasty) Order(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	if o.Operation == rankcontrol.Hold && h.passes > 0 {
		h.passes--
		h.group.mu.Lock()
		h.group.pass(1)
		h.group.mu.Unlock()
	}
	return h.Rank.Order(ctx, o)
}

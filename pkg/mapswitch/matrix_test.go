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

// plannerStop ends or suspends a planner at its nth order.
type plannerStop struct {
	mu        sync.Mutex
	remaining int
	cancel    context.CancelFunc
	// suspended is closed when the planner is suspended; it resumes when resume is closed.
	suspended, resume chan struct{}
}

// wrap wraps a rank's control for the planner that is to be stopped.
func (s *plannerStop) wrap(r rankcontrol.Rank) rankcontrol.Rank { return stoppingRank{r, s} }

type stoppingRank struct {
	rankcontrol.Rank
	stop *plannerStop
}

func (s stoppingRank) Order(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	s.stop.mu.Lock()
	s.stop.remaining--
	reached := s.stop.remaining == 0
	s.stop.mu.Unlock()
	if reached && s.stop.cancel != nil {
		s.stop.cancel()
	}
	if reached && s.stop.suspended != nil {
		close(s.stop.suspended)
		<-s.stop.resume
	}
	return s.Rank.Order(ctx, o)
}

func identity(r rankcontrol.Rank) rankcontrol.Rank { return r }

// prepareAndSwitch resolves pending state, prepares a map and switches to it, as a planner does.
func prepareAndSwitch(ctx context.Context, g *group, controls []rankcontrol.Rank, fences *mapswitch.FenceCounter) error {
	f := &mapswitch.Group{Ranks: controls, Anchor: 1, Epoch: g.epochNow(), Fences: fences}
	if err := f.Resolve(ctx); err != nil {
		return err
	}
	version, err := fences.NextVersion()
	if err != nil {
		return err
	}
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

// plannerFences returns the fences of the planners that are elected one after the other. In the mode
// "restore" the shared log is restored between the first election and the second one, so that the
// generation goes back while the timeline rises.
func plannerFences(mode string) (first, second, third *mapswitch.FenceCounter) {
	if mode == "restore" {
		return mapswitch.NewFenceCounter(1, 7), mapswitch.NewFenceCounter(2, 5), mapswitch.NewFenceCounter(2, 6)
	}
	return mapswitch.NewFenceCounter(1, 1), mapswitch.NewFenceCounter(1, 2), mapswitch.NewFenceCounter(1, 3)
}

// runTakeover runs one cell of the matrix: the first planner stops at an order, a second one takes
// over, and the first one resumes if it was suspended. It returns the group, which records a
// violation.
func runTakeover(seed uint64, c checks, f faults, at int, mode string) *group {
	g := newGroup(seed, ranks, c, f)
	g.idle = mode == "idle"
	firstFences, secondFences, _ := plannerFences(mode)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	first, endFirst := context.WithCancel(ctx)
	defer endFirst()
	s := &plannerStop{remaining: at}
	var done sync.WaitGroup
	switch mode {
	case "freeze", "restore":
		s.suspended, s.resume = make(chan struct{}), make(chan struct{})
	default:
		s.cancel = endFirst
	}
	ended := make(chan struct{})
	done.Go(func() {
		defer close(ended)
		_ = prepareAndSwitch(first, g, g.controls(s.wrap), firstFences) // any outcome is allowed
	})
	if s.suspended != nil {
		select {
		case <-s.suspended:
		case <-ended:
		}
	} else {
		<-ended
	}
	if mode == "reform" {
		g.reform()
	}
	_ = prepareAndSwitch(ctx, g, g.controls(identity), secondFences) // any outcome is allowed
	if s.resume != nil {
		close(s.resume)
	}
	done.Wait()
	g.deliverLateOrders()
	return g
}

var faultRates = []faults{
	{}, {lost: 0.3}, {unanswered: 0.3}, {late: 0.3}, {lost: 0.15, unanswered: 0.15, late: 0.15},
}

// TestEachPassUsesOneMap injects every fault at every order of a switch: no pass may begin while
// two ranks have different maps, and the group must be released in the end.
func TestEachPassUsesOneMap(t *testing.T) {
	for _, mode := range []string{"kill", "freeze", "reform", "idle", "restore"} {
		for k, f := range faultRates {
			t.Run(fmt.Sprintf("%s/%d", mode, k), func(t *testing.T) {
				t.Parallel()
				for at := 1; at <= 3*ranks+4; at++ {
					for seed := range uint64(4) {
						g := runTakeover(seed, allChecks, f, at, mode)
						if g.violation != "" {
							t.Fatalf("stopped at order %d, seed %d: %s", at, seed, g.violation)
						}
						checkReleased(t, g, mode, at, seed)
					}
				}
			})
		}
	}
}

// checkReleased resolves once more, as a planner does in its next round, and then expects that no
// rank holds the group.
func checkReleased(t *testing.T, g *group, mode string, at int, seed uint64) {
	t.Helper()
	_, _, fences := plannerFences(mode)
	g.mu.Lock()
	g.faults, g.idle = faults{}, false
	g.mu.Unlock()
	f := &mapswitch.Group{Ranks: g.controls(identity), Anchor: 1, Epoch: g.epochNow(), Fences: fences}
	if err := f.Resolve(context.Background()); err != nil {
		t.Fatalf("stopped at order %d, seed %d: %v", at, seed, err)
	}
	g.deliverLateOrders()
	for i, r := range g.ranks {
		report, _ := r.Report(context.Background()) // the model always answers
		if report.HeldStep != 0 || g.violation != "" {
			t.Fatalf("stopped at order %d, seed %d: rank %d holds pass %d; %s", at, seed, i, report.HeldStep, g.violation)
		}
	}
}

// TestMatrixFindsEachDisabledCheck disables the checks of the ranks one by one: the matrix must
// find a violation.
func TestMatrixFindsEachDisabledCheck(t *testing.T) {
	for name, c := range map[string]checks{"fence": {hold: true}, "hold": {fence: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, mode := range []string{"freeze", "kill"} {
				for at := 1; at <= 3*ranks+4; at++ {
					for seed := range uint64(12) {
						if runTakeover(seed, c, faultRates[4], at, mode).violation != "" {
							return
						}
					}
				}
			}
			t.Error("no violation was found with the check disabled")
		})
	}
}

// TestSwitchChangesTheMapOfEveryRank guards against a switch without faults that leaves a rank on
// the initial map.
func TestSwitchChangesTheMapOfEveryRank(t *testing.T) {
	g := newGroup(1, ranks, allChecks, faults{})
	if err := prepareAndSwitch(context.Background(), g, g.controls(identity), mapswitch.NewFenceCounter(1, 1)); err != nil {
		t.Fatal(err)
	}
	g.deliverLateOrders()
	var versions []int64
	for _, r := range g.ranks {
		report, _ := r.Report(context.Background()) // the model always answers
		versions = append(versions, report.Map)
		if report.Map == 0 || report.State != fleet.GroupOpen {
			t.Fatalf("a rank uses the initial map or is not open: map versions %v", versions)
		}
	}
}

// TestHoldMarginCoversArmingTime guards against a fixed number of passes before the held one: when
// orders go unanswered while passes are long, the new map must come into use as soon as all ranks
// can be armed.
func TestHoldMarginCoversArmingTime(t *testing.T) {
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

// TestSwitchHoldsTheNextPass guards against needless passes under the old map. Passes take a quarter
// of a second each after a group has formed again. If arming is short, the next pass must use the
// new map, also if a pass begins between the report and the order to hold.
func TestSwitchHoldsTheNextPass(t *testing.T) {
	for _, begun := range []int{0, 1, 2} {
		g := newGroup(1, 3, allChecks, faults{})
		g.steady = true
		ranks := g.controls(func(r rankcontrol.Rank) rankcontrol.Rank { return &passBeforeHold{Rank: r, group: g, passes: begun} })
		group := &mapswitch.Group{Ranks: ranks, Epoch: 1, Fences: mapswitch.NewFenceCounter(1, 1), PassTime: 250 * time.Millisecond, ArmingTime: 15 * time.Millisecond}
		for _, r := range g.ranks {
			r.prepared = 5
		}
		before := g.step
		if err := group.Switch(t.Context(), 5); err != nil {
			t.Fatalf("%d passes begun meanwhile: %v", begun, err)
		}
		g.deliverLateOrders()
		if g.violation != "" || g.ranks[0].version != 5 {
			t.Fatalf("%d passes begun meanwhile: version %d, %s", begun, g.ranks[0].version, g.violation)
		}
		if held := g.switched - before; held > int64(begun)+1 {
			t.Errorf("%d passes begun meanwhile: the map came into use after %d passes", begun, held)
		}
	}
}

// passBeforeHold is a rank whose group begins a pass just before each of the first orders
// to hold.
type passBeforeHold struct {
	rankcontrol.Rank
	group  *group
	passes int
}

func (r *passBeforeHold) Order(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	if o.Operation == rankcontrol.Hold && r.passes > 0 {
		r.passes--
		r.group.mu.Lock()
		r.group.beginPasses(1)
		r.group.mu.Unlock()
	}
	return r.Rank.Order(ctx, o)
}

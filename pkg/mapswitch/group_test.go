package mapswitch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// errNoAnswer is the error of an order that was lost or whose answer was lost.
var errNoAnswer = errors.New("no answer")

// checks selects the safety checks of the ranks; tests disable them one by one.
type checks struct{ fence, hold bool }

// faults holds the probabilities that an order is lost, carried out without an answer, or carried
// out late without an answer.
type faults struct{ lost, unanswered, late float64 }

// group models a group of ranks that may begin a pass whenever an order arrives. It follows the
// operators' protocol for orders about expert maps.
type group struct {
	mu     sync.Mutex
	random *rand.Rand
	checks checks
	faults faults
	epoch  int64
	step   int64
	ranks  []*rank
	// late holds the orders that are carried out later.
	late      []func()
	violation string
	// idle groups begin no passes.
	idle bool
	// steady groups begin no pass of their own when an order arrives.
	steady bool
	// switched is the pass in which a rank last changed its map.
	switched int64
}

type rank struct {
	group            *group
	version          int64
	prepared         int64
	highest          int64
	armed, armedStep int64
	held             int64
	fence            int64
}

func newGroup(seed uint64, ranks int, c checks, f faults) *group {
	g := &group{random: rand.New(rand.NewPCG(seed, 7)), checks: c, faults: f, epoch: 1, step: 10}
	for range ranks {
		g.ranks = append(g.ranks, &rank{group: g})
	}
	return g
}

// controls returns the control of every rank, wrapped by through.
func (g *group) controls(wrap func(rankcontrol.Rank) rankcontrol.Rank) []rankcontrol.Rank {
	var out []rankcontrol.Rank
	for _, r := range g.ranks {
		out = append(out, wrap(r))
	}
	return out
}

// beginPasses begins up to n passes, and stops before a held one. The caller holds mu.
func (g *group) beginPasses(n int) {
	for range n {
		if g.idle {
			return
		}
		next := g.step + 1
		for _, r := range g.ranks {
			if g.checks.hold && r.held == next {
				return
			}
		}
		g.step = next
		for _, r := range g.ranks {
			if r.armed != 0 && r.armedStep == next {
				r.version, r.armed, r.armedStep = r.armed, 0, 0
				g.switched = next
			}
		}
		for i, r := range g.ranks {
			if r.version != g.ranks[0].version && g.violation == "" {
				g.violation = fmt.Sprintf("pass %d: rank 0 has version %d, rank %d version %d", next, g.ranks[0].version, i, r.version)
			}
		}
	}
}

// deliverLateOrders carries out the late orders and lets the group begin passes.
func (g *group) deliverLateOrders() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, run := range g.late {
		run()
		g.beginPasses(1)
	}
	g.late = nil
	g.beginPasses(6)
}

// reform starts a new epoch of the group.
func (g *group) reform() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	for _, r := range g.ranks {
		*r = rank{group: g, fence: r.fence}
	}
}

func (r *rank) Report(context.Context) (fleet.EngineReport, error) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return fleet.EngineReport{
		Epoch: g.epoch, Step: g.step, Map: r.version, Prepared: r.prepared,
		Armed: r.armed, ArmedStep: r.armedStep, HeldStep: r.held, State: fleet.GroupOpen,
	}, nil
}

func (r *rank) Counts(context.Context) (rankcontrol.Counts, error) {
	return rankcontrol.Counts{}, nil
}

func (r *rank) Experts(context.Context) ([][]int, error) { return nil, nil }

func (r *rank) Order(ctx context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	if !g.steady {
		g.beginPasses(g.random.IntN(2))
	}
	if len(g.late) > 0 && g.random.Float64() < 0.1 {
		run := g.late[0]
		g.late = g.late[1:]
		run()
		g.beginPasses(g.random.IntN(2))
	}
	outcome := g.random.Float64()
	switch f := g.faults; {
	case outcome < f.lost:
		return "", errNoAnswer
	case outcome < f.lost+f.unanswered:
		r.execute(o)
		return "", errNoAnswer
	case outcome < f.lost+f.unanswered+f.late:
		g.late = append(g.late, func() { r.execute(o) })
		return "", errNoAnswer
	}
	return r.execute(o), nil
}

// execute carries out an order. The caller holds mu.
func (r *rank) execute(o rankcontrol.Order) rankcontrol.Verdict {
	g := r.group
	if g.checks.fence && o.Fence < r.fence {
		return rankcontrol.Fenced
	}
	if o.Epoch != g.epoch {
		return rankcontrol.StateConflict
	}
	verdict := r.apply(o)
	if verdict != rankcontrol.StateConflict { // an order in conflict with the state does not raise the fence
		r.fence = max(r.fence, o.Fence)
	}
	return verdict
}

func (r *rank) apply(o rankcontrol.Order) rankcontrol.Verdict {
	switch o.Operation {
	case rankcontrol.Prepare:
		if o.Version <= r.highest && o.Version != r.prepared || r.armed != 0 {
			return rankcontrol.StateConflict
		}
		r.prepared, r.highest = o.Version, max(r.highest, o.Version)
		return rankcontrol.Accepted
	case rankcontrol.Arm:
		if o.Version != r.prepared || o.Step <= r.group.step {
			return rankcontrol.StateConflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case rankcontrol.Disarm:
		if o.Version == r.version && o.Version != 0 {
			return rankcontrol.StateConflict
		}
		if r.armed == o.Version {
			r.armed, r.armedStep = 0, 0
		}
	case rankcontrol.Hold:
		if o.Step <= r.group.step || r.held != 0 && r.held != o.Step {
			return rankcontrol.StateConflict
		}
		r.held = o.Step
	case rankcontrol.Release:
		if r.held == o.Step {
			r.held = 0
		}
	}
	return rankcontrol.InEffect
}

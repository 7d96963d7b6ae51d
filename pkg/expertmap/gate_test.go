package expertmap_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// largeGroup runs the gates of a group in rounds. Each round delivers the reports of the previous
// one in random order; some are lost and some are delivered twice.
type largeGroup struct {
	t            *testing.T
	random       *rand.Rand
	gates        []*expertmap.Gate
	incarnations []int
	sent         []expertmap.Report
	used         map[int64]expertmap.Version
	steps        int
}

func newLargeGroup(t *testing.T, ranks int, seed uint64) *largeGroup {
	g := &largeGroup{t: t, random: rand.New(rand.NewPCG(seed, 1)), used: make(map[int64]expertmap.Version), incarnations: make([]int, ranks)}
	g.gates = make([]*expertmap.Gate, ranks)
	for i := range ranks {
		g.restart(i, expertmap.Version{})
	}
	return g
}

func (g *largeGroup) restart(rank int, v expertmap.Version) {
	g.incarnations[rank]++
	id := ident.Incarnation(fmt.Sprintf("%d@%d", rank, g.incarnations[rank]))
	g.gates[rank] = expertmap.NewGate(rank, len(g.gates), id, expertmap.AllChecks)
	g.gates[rank].Install(v)
}

func (g *largeGroup) act(a expertmap.Actions) {
	if a.Send != nil {
		g.sent = append(g.sent, *a.Send)
	}
	if a.Enter == nil {
		return
	}
	v, seen := g.used[a.Enter.Step]
	if seen && v != a.Enter.Version {
		g.t.Fatalf("step %d is run with maps %s and %s", a.Enter.Step, v, a.Enter.Version)
	}
	if !seen {
		g.steps++
	}
	g.used[a.Enter.Step] = a.Enter.Version
}

// round ends the running steps and delivers the reports of the previous round.
func (g *largeGroup) round(lost float64) {
	for _, gate := range g.gates {
		if gate.Running() {
			g.act(gate.FinishStep())
		} else if g.random.IntN(2) == 0 {
			g.act(gate.ResendReport())
		}
	}
	batch := g.sent
	g.sent = nil
	for _, i := range g.random.Perm(len(batch)) {
		for to, gate := range g.gates {
			chance := g.random.Float64()
			if chance < lost {
				continue
			}
			g.act(gate.Receive(batch[i]))
			if chance > 1-lost {
				g.act(g.gates[to].Receive(batch[g.random.IntN(len(batch))]))
			}
		}
	}
}

// TestLargeGroupSwitchesUnderLossAndRestarts runs a group of 128 ranks that load three maps in turn
// while reports are lost and ranks restart.
func TestLargeGroupSwitchesUnderLossAndRestarts(t *testing.T) {
	const ranks, lossyRounds, quietRounds, maps = 128, 24, 8, 3
	g := newLargeGroup(t, ranks, 1)
	for round := range lossyRounds {
		v := expertmap.Version{Fencing: 1, Sequence: int64(1 + round*maps/lossyRounds)}
		for _, gate := range g.gates {
			if g.random.IntN(4) == 0 {
				gate.Install(v)
			}
		}
		if round%8 == 4 {
			g.restart(g.random.IntN(ranks), v)
		}
		g.round(0.002)
	}
	newest := expertmap.Version{Fencing: 1, Sequence: maps}
	before := g.steps
	for _, gate := range g.gates {
		gate.Install(newest)
	}
	for range quietRounds {
		g.round(0)
	}
	for i, gate := range g.gates {
		if gate.Current() != newest {
			t.Fatalf("rank %d uses %s", i, gate.Current())
		}
	}
	if g.steps < before+3 {
		t.Fatalf("%d steps in %d rounds without faults", g.steps-before, quietRounds)
	}
}

func TestFenceRefusesAnOlderLeaseAlsoAfterRestart(t *testing.T) {
	f := expertmap.NewFence(false)
	f.ObserveLoaded([]expertmap.Version{{Fencing: 4, Sequence: 1}})
	if err := f.Admit(3); !problem.Is(err, problem.FencedOff) {
		t.Fatalf("an order of lease 3 after a map of lease 4: %v", err)
	}
	if err := f.Admit(5); err != nil {
		t.Fatal(err)
	}
	if err := f.Admit(4); !problem.Is(err, problem.FencedOff) {
		t.Fatalf("an order of lease 4 after one of lease 5: %v", err)
	}
}

// TestNewestClaimHoldsLease guards against two holders after concurrent claims, a claim of a lease
// that its holder renews, and an expired lease that nobody claims.
func TestNewestClaimHoldsLease(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b := expertmap.NewLease("a", expertmap.DefaultLeaseTimes, now), expertmap.NewLease("b", expertmap.DefaultLeaseTimes, now)
	claimA, _ := a.DueRecord(now)
	claimB, _ := b.DueRecord(now)
	both := []expertmap.LeaseEntry{{Offset: 0, Record: claimA}, {Offset: 1, Record: claimB}}
	a.Observe(now, both)
	b.Observe(now, both)
	if _, held := a.Held(); held {
		t.Fatal("the older claim holds the lease")
	}
	if fencing, held := b.Held(); !held || fencing != 2 {
		t.Fatalf("the newest claim has number %d, held %v", fencing, held)
	}
	late := now.Add(expertmap.DefaultLeaseTimes.ExpireAfter)
	renewal, due := b.DueRecord(late)
	if !due || renewal.Fencing != 2 {
		t.Fatalf("renewal %+v, due %v", renewal, due)
	}
	a.Observe(late, []expertmap.LeaseEntry{{Offset: 2, Record: renewal}})
	if r, due := a.DueRecord(late); due {
		t.Fatalf("a claims a renewed lease: %+v", r)
	}
	if r, due := a.DueRecord(late.Add(expertmap.DefaultLeaseTimes.ExpireAfter)); !due || r.Fencing != 0 {
		t.Fatalf("a does not claim a lapsed lease: %+v, due %v", r, due)
	}
}

// TestPublisherTargetsNewestMapAndStopsAfterLaterLease guards against ranks that are left with
// different maps of an earlier lease, and against new maps of a planner whose lease was superseded.
func TestPublisherTargetsNewestMapAndStopsAfterLaterLease(t *testing.T) {
	p := expertmap.NewPublisher(2, 3)
	earlier := expertmap.Version{Fencing: 2, Sequence: 7}
	p.Observe(0, []expertmap.Version{earlier})
	if p.AllReported() || p.Converged() {
		t.Fatal("only one of two ranks has reported")
	}
	p.Observe(1, nil)
	if behind := p.RanksBehind(); p.Target() != earlier || len(behind) != 1 || behind[0] != 1 {
		t.Fatalf("target %s, ranks behind %v", p.Target(), behind)
	}
	p.Observe(1, []expertmap.Version{earlier})
	if v, ok := p.NextVersion(); !ok || v.Compare(earlier) <= 0 || p.Converged() {
		t.Fatalf("next is %s, %v", v, ok)
	}
	p.Observe(0, []expertmap.Version{{Fencing: 4, Sequence: 1}})
	if v, ok := p.NextVersion(); ok {
		t.Fatalf("version %s was made although a later lease exists", v)
	}
}

func TestValidateRefusesInvalidMaps(t *testing.T) {
	good := expertmap.Map{Ranks: 2, Layers: []expertmap.Layer{{{{Rank: 0, Share: 0.5}, {Rank: 1, Share: 0.5}}}}}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, replicas := range map[string][]expertmap.Replica{
		"no replica":    {},
		"unknown rank":  {{Rank: 2, Share: 1}},
		"listed twice":  {{Rank: 0, Share: 0.5}, {Rank: 0, Share: 0.5}},
		"shares of 0.9": {{Rank: 0, Share: 0.9}},
	} {
		bad := expertmap.Map{Ranks: 2, Layers: []expertmap.Layer{{replicas}}}
		if err := bad.Validate(); !problem.Is(err, problem.BadRequest) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if missing := good.MissingExperts(1, []expertmap.Expert{{Layer: 0, Index: 0}}); len(missing) != 0 {
		t.Errorf("missing %v", missing)
	}
}

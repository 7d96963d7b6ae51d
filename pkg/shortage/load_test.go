package shortage_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// The bounds are the rules of docs/HARD-LOAD-PLAN.md, part 4: no kind may be served less often than a less urgent one
// by more than servedBound, nor earn a smaller share of its value by more than valueBound, and no class may be
// served less than starvedShare times as often as all.
const (
	servedBound  = 0.05
	valueBound   = 0.15
	starvedShare = 0.25
)

// baseLoad is deployment L with a constant skew of the expert map, without a burst.
func baseLoad(skew float64, length time.Duration) modelLoad {
	return modelLoad{kinds: modelKinds, groups: 3, entries: 42, length: length, skew: func(time.Duration) float64 { return skew }}
}

// burst multiplies the rate of one kind from 3 to 8 s.
func burst(kind int, factor float64) func(int, time.Duration) float64 {
	return func(k int, at time.Duration) float64 {
		if k == kind && at >= 3*time.Second && at < 8*time.Second {
			return factor
		}
		return 1
	}
}

func (c *tally) add(o *tally) {
	c.arrived, c.served, c.onTime, c.refused = c.arrived+o.arrived, c.served+o.served, c.onTime+o.onTime, c.refused+o.refused
	c.abandoned, c.refusedWhileFree = c.abandoned+o.abandoned, c.refusedWhileFree+o.refusedWhileFree
	c.value, c.possible = c.value+o.value, c.possible+o.possible
}

// runSeeds runs a load with three seeds and returns the sum of their counts in one model.
func runSeeds(l modelLoad, v variant) *model {
	models := make([]*model, 3)
	var all sync.WaitGroup
	for n := range models {
		all.Go(func() { models[n] = newModel(l, v, uint64(n)).run() })
	}
	all.Wait()
	sum := models[0]
	for _, m := range models[1:] {
		for n, t := range m.byKind {
			sum.byKind[n].add(t)
		}
		for name, t := range m.byOrg {
			if sum.byOrg[name] == nil {
				sum.byOrg[name] = &tally{}
			}
			sum.byOrg[name].add(t)
		}
		for n := range m.bySize {
			sum.bySize[n].add(&m.bySize[n])
			sum.byDomain[n].add(&m.byDomain[n])
		}
		sum.passes, sum.longPass, sum.held = sum.passes+m.passes, sum.longPass+m.longPass, sum.held+m.held
	}
	return sum
}

// total returns the counts of all requests.
func (m *model) total() *tally {
	var sum tally
	for _, t := range m.byKind {
		sum.add(t)
	}
	return &sum
}

// compare runs a load without and with the queue and logs the shares.
func compare(t *testing.T, name string, l modelLoad) (before, after *model) {
	t.Helper()
	before, after = runSeeds(l, variant{}), runSeeds(l, variant{queue: true})
	t.Logf("%s, before: %v", name, before)
	t.Logf("%s, after:  %v", name, after)
	return before, after
}

// checkRules checks the rules between the kinds, and those of checkNoneStarves.
func checkRules(t *testing.T, name string, m *model) {
	t.Helper()
	for n, urgent := range m.byKind {
		for _, other := range m.byKind[n+1:] {
			if d := other.shareServed() - urgent.shareServed(); d > servedBound {
				t.Errorf("%s: kind %d is served less often than a less urgent one by %.3f, want at most %.2f", name, n, d, servedBound)
			}
			if d := other.shareValue() - urgent.shareValue(); d > valueBound {
				t.Errorf("%s: kind %d earns a smaller share of its value than a less urgent one by %.3f, want at most %.2f", name, n, d, valueBound)
			}
		}
	}
	checkNoneStarves(t, name, m)
}

// checkNoneStarves checks that no class starves, and that nothing is refused while slots are free.
func checkNoneStarves(t *testing.T, name string, m *model) {
	t.Helper()
	served := m.total().shareServed()
	notStarved := func(class string, c *tally, least float64) {
		t.Helper()
		if c.arrived > 0 && c.shareServed() < least*served {
			t.Errorf("%s: of %s %.3f are served, of all %.3f", name, class, c.shareServed(), served)
		}
	}
	for n, c := range m.byKind {
		notStarved(fmt.Sprint("kind ", n), c, starvedShare)
	}
	for organisation, c := range m.byOrg {
		notStarved("organisation "+organisation, c, starvedShare)
	}
	for n := range m.bySize {
		notStarved(fmt.Sprint("domain ", n), &m.byDomain[n], starvedShare)
	}
	notStarved("the largest tenth", &m.bySize[0], 2*starvedShare)
	notStarved("the fifth below", &m.bySize[1], 2*starvedShare)
	if n := m.total().refusedWhileFree; n > 0 {
		t.Errorf("%s: %d requests refused while more than a tenth of the slots is free", name, n)
	}
}

// TestBurstKeepsUrgentRequestsOnTime guards against urgent requests that are late because less urgent ones have taken
// the slots. The load is that of L, 92, 121 and 40 requests per second of priorities 0, 1 and 2, with a burst of 2.2
// times one kind for 5 s while the busiest rank has 1.8 times the mean work: the burst of the most urgent then asks for
// about a tenth more than the slots serve.
func TestBurstKeepsUrgentRequestsOnTime(t *testing.T) {
	for _, kind := range []int{2, 0} {
		l := baseLoad(1.8, 12*time.Second)
		l.factor = burst(kind, 2.2)
		name := fmt.Sprintf("burst of priority %d", kind)
		before, after := compare(t, name, l)
		checkRules(t, name, after)
		if b, a := before.byKind[0].shareOnTime(), after.byKind[0].shareOnTime(); a < b {
			t.Errorf("%s: the share of the most urgent on time falls from %.3f to %.3f", name, b, a)
		}
	}
}

// TestLargeOrganisationDoesNotTakeAllSlots guards against small organisations that are late because one sends 10 times
// as much: 24 organisations with one kind of request, 253 per second and 1.4 times that for 5 s.
func TestLargeOrganisationDoesNotTakeAllSlots(t *testing.T) {
	l := baseLoad(1.9, 12*time.Second)
	l.kinds = []kind{{1, 253, 500 * time.Millisecond, 1}}
	l.factor = burst(0, 1.4)
	l.organisation = func(r *rand.Rand) string {
		if n := r.IntN(33); n < 23 {
			return fmt.Sprint("small ", n)
		}
		return "large"
	}
	before, after := compare(t, "one organisation of 10 times the share", l)
	checkRules(t, "one organisation of 10 times the share", after)
	split := func(m *model) (small, large tally) {
		for name, c := range m.byOrg {
			if name == "large" {
				large.add(c)
			} else {
				small.add(c)
			}
		}
		return small, large
	}
	smallBefore, largeBefore := split(before)
	small, large := split(after)
	t.Logf("on time before: small %.3f, large %.3f; after: small %.3f, large %.3f", smallBefore.shareOnTime(), largeBefore.shareOnTime(), small.shareOnTime(), large.shareOnTime())
	if d := large.shareServed() - small.shareServed(); d > servedBound {
		t.Errorf("small organisations are served less often than the large one by %.3f, want at most %.2f", d, servedBound)
	}
}

// TestThirdOfEnginesRemoved guards against an order of urgency that ends when a failure domain is evacuated: a third of
// the engines gets no requests for 10 s under the load of L.
func TestThirdOfEnginesRemoved(t *testing.T) {
	l := baseLoad(1.5, 18*time.Second)
	l.removed, l.returned = 3*time.Second, 13*time.Second
	_, after := compare(t, "a third of the engines removed", l)
	checkRules(t, "a third of the engines removed", after)
}

// TestBacklogAfterStop guards against a backlog that delays the urgent requests behind the others: all groups stop for
// 1.5 s under the load of L and come back.
func TestBacklogAfterStop(t *testing.T) {
	l := baseLoad(1.5, 14*time.Second)
	l.stopped, l.resumed = 3*time.Second, 4500*time.Millisecond
	_, after := compare(t, "stop of 1.5 s", l)
	checkRules(t, "stop of 1.5 s", after)
}

// TestUrgentFloodDoesNotStarveOthers guards against a flood of the most urgent requests that takes all slots for long:
// twice as many requests as the slots serve, for 12 s. The rules between the kinds are not checked: whom the callers'
// patience lets wait longer for a late response, here the least urgent, is served more often.
func TestUrgentFloodDoesNotStarveOthers(t *testing.T) {
	l := baseLoad(2, 16*time.Second)
	l.factor = func(k int, at time.Duration) float64 {
		if k == 0 && at >= 2*time.Second && at < 14*time.Second {
			return 5
		}
		return 1
	}
	_, after := compare(t, "flood of the most urgent", l)
	checkNoneStarves(t, "flood of the most urgent", after)
}

// TestRestartedEntriesLoseNoRequest guards against requests that are lost with the queue of an entry that restarts: none
// of them was sent, so that their callers can repeat them at another entry.
func TestRestartedEntriesLoseNoRequest(t *testing.T) {
	l := baseLoad(1.8, 12*time.Second)
	l.factor = burst(0, 2.2)
	l.restarted = 5 * time.Second
	m := runSeeds(l, variant{queue: true})
	t.Logf("%d requests waited at the entries that restarted: %v", m.held, m)
	if m.held == 0 {
		t.Error("no request waited at the entries that restarted")
	}
	all := m.total()
	if ended := all.served + all.refused + all.abandoned; ended != all.arrived {
		t.Errorf("of %d requests %d ended, want all", all.arrived, ended)
	}
	checkRules(t, "restart", m)
}

// TestNoShortageChangesNothing guards against requests that wait although slots are free: at the load of L with a good
// expert map the results with and without the queue are the same.
func TestNoShortageChangesNothing(t *testing.T) {
	before, after := compare(t, "ordinary load", baseLoad(1.25, 8*time.Second))
	for n := range before.byKind {
		if *before.byKind[n] != *after.byKind[n] {
			t.Errorf("kind %d: %+v with the queue, %+v without", n, *after.byKind[n], *before.byKind[n])
		}
	}
}

// TestOverloadServesUrgentAsOften guards against urgent requests that are served less often than the least urgent ones:
// a burst of 2.2 times the most urgent while the busiest rank has 2.3 times the mean work asks for a third more than
// the slots serve. Known to fail, see KNOWN-RED.txt.
func TestOverloadServesUrgentAsOften(t *testing.T) {
	l := baseLoad(2.3, 12*time.Second)
	l.factor = burst(0, 2.2)
	_, after := compare(t, "burst beyond the slots", l)
	checkRules(t, "burst beyond the slots", after)
}

package routing

import (
	"reflect"
	"testing"
	"time"
)

// Guards against changes after which the standard selector no longer has a lower first-token time
// and more cache hits than every baseline, under each fault at the present sizes of the sites.
func TestStandardSelectorOutperformsBaselines(t *testing.T) {
	sites := Sites()[:2]
	for i := range sites {
		sites[i].Length = time.Minute
	}
	results := Run(sites, Policies(), 1)
	n := len(Policies())
	for i := 0; i < len(results); i += n {
		standard := results[i+n-1]
		for _, base := range results[i : i+n-1] {
			if standard.First95 >= base.First95 || standard.HitShare <= base.HitShare {
				t.Errorf("%s, %s: %+v does not have a lower first-token time and more cache hits than %+v", base.Site, base.Fault, standard, base)
			}
		}
	}
}

// Guards against scorers that bring no benefit: the first-token time has to rise without affinity
// in a run without faults, and without load after the loss of a domain.
func TestRemovingScorersRaisesFirstTokenTime(t *testing.T) {
	site := Sites()[0]
	site.Length = time.Minute
	results := Run([]Site{site}, Variants(), 1)
	find := func(fault Fault, policy string) Result {
		for _, r := range results {
			if r.Fault == fault && r.Policy == policy {
				return r
			}
		}
		t.Fatalf("no result for %s, %s", fault, policy)
		return Result{}
	}
	for _, c := range []struct {
		fault Fault
		part  string
	}{{NoFault, "without affinity"}, {DomainLost, "without load"}} {
		if with, without := find(c.fault, "standard"), find(c.fault, c.part); with.First95 >= without.First95 {
			t.Errorf("%s: 95th percentile of the first token %s is %.0f ms, want more than the %.0f ms of the standard selector", c.fault, c.part, without.First95, with.First95)
		}
	}
}

// Guards against simulations that depend on anything but their seed, such as map order or
// concurrency.
func TestRunsWithSameSeedAreEqual(t *testing.T) {
	site := Sites()[0]
	site.Length = 20 * time.Second
	a := Run([]Site{site}, Policies(), 7)
	if b := Run([]Site{site}, Policies(), 7); !reflect.DeepEqual(a, b) {
		t.Fatal("two runs with seed 7 differ")
	}
}

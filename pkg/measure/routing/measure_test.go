package routing

import (
	"reflect"
	"testing"
	"time"
)

// TestStandardBeatsTheBaselines plays a short run of each site of today.
func TestStandardBeatsTheBaselines(t *testing.T) {
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
				t.Errorf("%s, %s: %+v does not beat %+v", base.Site, base.Fault, standard, base)
			}
		}
	}
}

// TestVariantsShowWhatEachPartBrings takes out one part where it matters.
func TestVariantsShowWhatEachPartBrings(t *testing.T) {
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
		if with, less := find(c.fault, "standard"), find(c.fault, c.part); with.First95 >= less.First95 {
			t.Errorf("%s: %s is no worse: %.0f ms against %.0f ms", c.fault, c.part, less.First95, with.First95)
		}
	}
}

func TestSameSeedSameFigures(t *testing.T) {
	site := Sites()[0]
	site.Length = 20 * time.Second
	a := Run([]Site{site}, Policies(), 7)
	if b := Run([]Site{site}, Policies(), 7); !reflect.DeepEqual(a, b) {
		t.Fatal("two runs with one seed differ")
	}
}

package writeonce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	outageStart = time.Minute
	longOutage  = 10 * time.Minute
	writeEvery  = 7 * time.Second
)

// outcomeCounts counts the first outcomes of one kind of call that began during the outage;
// ranLater counts the calls whose last outcome is ran.
type outcomeCounts struct{ calls, ran, notRun, notKnown, ranLater int }

// While the log is unavailable for ten minutes, calls with a permit and calls without a key must
// still run, and a caller that sends its own key for the first time must receive not-run, so that
// it can retry safely. The other counts are only logged.
func TestOutcomesDuringLogOutage(t *testing.T) {
	kinds := map[string]plan{
		"permit":    {permit: true},
		"no key":    {keyless: true},
		"first try": {firstTry: true},
		"own key":   {},
	}
	got := make(map[string]outcomeCounts)
	s := faultmatrix.Scenario{
		Protocol: "write",
		Build: func(w *faultmatrix.World) {
			build(w, variant{})
			start := w.Now()
			f := w.ScenarioState.(*facts)
			w.Start("log", outageStart, longLogOutage{longOutage})
			n := 100
			for name, kind := range kinds {
				for at := outageStart + time.Second; at < outageStart+longOutage; at += writeEvery {
					n++
					p := kind
					p.name, p.at, p.body, p.entries = fmt.Sprint(name, "/", n), at, "hold", e1ThenE2
					if !p.permit && !p.keyless {
						p.key = keyAt(start.Add(at), n)
					}
					f.outagePlans = append(f.outagePlans, &p)
					w.Start("c1", at, startCall{&p})
				}
			}
		},
		Check: func(w *faultmatrix.World) []string {
			f := w.ScenarioState.(*facts)
			for name := range kinds {
				got[name] = countOutcomes(f, name)
			}
			return check(w)
		},
	}
	cell, _, err := faultmatrix.Replay(s, 1, "")
	if err != nil || len(cell.Violations) > 0 {
		t.Fatal(cell.Violations, err)
	}
	for name, c := range got {
		t.Logf("%-9s: %d calls, first outcome ran %d, not-run %d, not-known %d; last outcome ran %d", name, c.calls, c.ran, c.notRun, c.notKnown, c.ranLater)
	}
	for _, name := range []string{"permit", "no key"} {
		if c := got[name]; c.ran != c.calls {
			t.Errorf("%s: %d of %d calls answered during the outage", name, c.ran, c.calls)
		}
	}
	if c := got["first try"]; c.notRun != c.calls {
		t.Errorf("first try: %d of %d calls received not-run", c.notRun, c.calls)
	}
}

// countOutcomes counts the outcomes of the first and the last request of each call.
func countOutcomes(f *facts, kind string) outcomeCounts {
	var out outcomeCounts
	for _, p := range f.outagePlans {
		if p.name[:len(kind)+1] != kind+"/" {
			continue
		}
		out.calls++
		first, last := f.firstOps[p.name], f.lastOps[p.name]
		switch f.ops[first].outcome {
		case problem.Ran:
			out.ran++
		case problem.NotRun:
			out.notRun++
		case problem.NotKnown:
			out.notKnown++
		}
		if f.ops[last].outcome == problem.Ran {
			out.ranLater++
		}
	}
	return out
}

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

// served counts the calls of one kind that began during the outage.
type served struct{ calls, answered, notRun, notKnown, answeredLater int }

// TestTenMinuteOutage counts what callers are told while the log is down for
// ten minutes: with a permit, without a key, and with a key of their own on
// their first try.
func TestTenMinuteOutage(t *testing.T) {
	kinds := map[string]plan{
		"permit":    {permit: true},
		"no key":    {keyless: true},
		"first try": {firstTry: true},
		"own key":   {},
	}
	got := make(map[string]served)
	s := faultmatrix.Scenario{
		Protocol: "write",
		Build: func(w *faultmatrix.World) {
			build(w, variant{})
			start := w.Now()
			f := w.Facts.(*facts)
			w.Start("log", outageStart, longLogOutage{longOutage})
			n := 100
			for name, kind := range kinds {
				for at := outageStart + time.Second; at < outageStart+longOutage; at += writeEvery {
					n++
					p := kind
					p.name, p.at, p.body, p.entries = fmt.Sprint(name, "/", n), at, "hold", forth
					if !p.permit && !p.keyless {
						p.key = keyAt(start.Add(at), n)
					}
					f.outagePlans = append(f.outagePlans, &p)
					w.Start("c1", at, startCall{&p})
				}
			}
		},
		Check: func(w *faultmatrix.World) []string {
			f := w.Facts.(*facts)
			for name := range kinds {
				got[name] = countServed(f, name)
			}
			return check(w)
		},
	}
	cell, _, err := faultmatrix.Replay(s, 1, "")
	if err != nil || len(cell.Violations) > 0 {
		t.Fatal(cell.Violations, err)
	}
	for name, c := range got {
		t.Logf("%-9s: %d calls, first answer ran %d, not-run %d, not-known %d; ran in the end %d", name, c.calls, c.answered, c.notRun, c.notKnown, c.answeredLater)
	}
	for _, name := range []string{"permit", "no key"} {
		if c := got[name]; c.answered != c.calls {
			t.Errorf("%s: %d of %d calls answered during the outage", name, c.answered, c.calls)
		}
	}
	if c := got["first try"]; c.notRun != c.calls {
		t.Errorf("first try: %d of %d calls were told not-run", c.notRun, c.calls)
	}
}

// countServed looks at the first and the last request of each call.
func countServed(f *facts, kind string) served {
	var out served
	for _, p := range f.outagePlans {
		if p.name[:len(kind)+1] != kind+"/" {
			continue
		}
		out.calls++
		first, last := f.firstOps[p.name], f.lastOps[p.name]
		switch f.ops[first].outcome {
		case problem.Ran:
			out.answered++
		case problem.NotRun:
			out.notRun++
		case problem.NotKnown:
			out.notKnown++
		}
		if f.ops[last].outcome == problem.Ran {
			out.answeredLater++
		}
	}
	return out
}

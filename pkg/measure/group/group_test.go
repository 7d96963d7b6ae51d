package group

import (
	"bytes"
	"strings"
	"testing"
)

// runLoad runs one load with the given variants, or with all of them.
func runLoad(t *testing.T, s Site, load string, variants ...string) map[string]Result {
	t.Helper()
	out := make(map[string]Result)
	for _, l := range Loads {
		for _, v := range Variants {
			if l.Name == load && (len(variants) == 0 || strings.Contains(strings.Join(variants, ","), v.Name)) {
				out[v.Name] = newSimulation(s, l, v, 1).run()
			}
		}
	}
	return out
}

// Guards against a model that departs from the group it represents. On a quiet day, somes-rota
// serves 0.997 of the callers within the targets, with a first event after 170 ms. Its most loaded
// rank has 1.45 times the mean load, and 3.34 times under the initial map.
func TestQuietLoadMatchesReferenceFigures(t *testing.T) {
	r := runLoad(t, Small, "quiet", "as built", "no maps")
	built, none := r["as built"], r["no maps"]
	if built.WithinTargets < 0.98 || built.FirstMedian < 120 || built.FirstMedian > 220 {
		t.Errorf("quiet: %.3f within targets, want at least 0.98; first event after %.0f ms, want 120 to 220 ms", built.WithinTargets, built.FirstMedian)
	}
	if built.Skew < 1.2 || built.Skew > 1.6 || none.Skew < 2.7 || none.Skew > 3.7 {
		t.Errorf("the most loaded rank has %.2f times the mean, want 1.2 to 1.6; %.2f without maps, want 2.7 to 3.7", built.Skew, none.Skew)
	}
}

// Guards against a model that does not penalise delay. The demand for experts shifts each 2.7 s, so
// rare polls and late switches leave the most loaded rank with more load.
func TestDelayedPlansAndSwitchesRaiseSkew(t *testing.T) {
	r := runLoad(t, Small, "shifts", "as built", "looks each 0.6 s", "held at the ninth pass")
	for _, name := range []string{"looks each 0.6 s", "held at the ninth pass"} {
		if r["as built"].Skew+0.1 > r[name].Skew {
			t.Errorf("the most loaded rank has %.2f times the mean, %.2f with %q, want a difference of at least 0.1", r["as built"].Skew, r[name].Skew, name)
		}
	}
}

// Guards against refusals that bring no benefit. After a stall under a load at the limit of the
// capacity, a group without refusals serves few callers within the targets, and more callers leave.
func TestRefusalsRaiseShareWithinTargetsAfterStall(t *testing.T) {
	r := runLoad(t, Small, "stall at the limit", "as built", "no refusals")
	built, none := r["as built"], r["no refusals"]
	if built.WithinTargets < none.WithinTargets+0.1 || built.Abandoned > none.Abandoned {
		t.Errorf("%.3f within targets and %.3f abandoned, without refusals %.3f and %.3f", built.WithinTargets, built.Abandoned, none.WithinTargets, none.Abandoned)
	}
}

// Guards against a table or a plot that omits the results of a run.
func TestWriteAndPlotRenderResults(t *testing.T) {
	var results []Result
	for _, r := range runLoad(t, Small, "quiet", "as built") {
		results = append(results, r)
	}
	var table, plot bytes.Buffer
	Write(&table, results)
	if err := Plot(&plot, "quiet", results); err != nil || !strings.Contains(plot.String(), "<svg") {
		t.Errorf("the plot is no SVG, error %v", err)
	}
	if !strings.Contains(table.String(), "as built") {
		t.Errorf("the table has no row of the variant \"as built\":\n%s", table.String())
	}
}

package group

import (
	"bytes"
	"strings"
	"testing"
)

// played runs one load with every variant.
func played(t *testing.T, s Site, load string, variants ...string) map[string]Result {
	t.Helper()
	out := make(map[string]Result)
	for _, l := range Loads {
		for _, v := range Variants {
			if l.Name == load && (len(variants) == 0 || strings.Contains(strings.Join(variants, ","), v.Name)) {
				out[v.Name] = newWorld(s, l, v, 1).run()
			}
		}
	}
	return out
}

// TestModelIsLikeThePlayedDays holds the model to figures of played days: a quiet
// day of somes-rota has 0.997 in aim with a first event after 170 ms, and a most loaded
// rank of 1.45 times the mean, 3.34 under the map of the formation.
func TestModelIsLikeThePlayedDays(t *testing.T) {
	r := played(t, Small, "quiet", "as built", "no maps")
	built, none := r["as built"], r["no maps"]
	if built.WithinTargets < 0.98 || built.FirstMedian < 120 || built.FirstMedian > 220 {
		t.Errorf("quiet: %.3f in aim, first event after %.0f ms", built.WithinTargets, built.FirstMedian)
	}
	if built.Skew < 1.2 || built.Skew > 1.6 || none.Skew < 2.7 || none.Skew > 3.7 {
		t.Errorf("the most loaded rank has %.2f times the mean, %.2f without maps", built.Skew, none.Skew)
	}
}

// TestMapsFollowShifts answers other experts in demand each 2.7 s: late looks and late
// switches leave the most loaded rank with more.
func TestMapsFollowShifts(t *testing.T) {
	r := played(t, Small, "shifts", "as built", "looks each 0.6 s", "held at the ninth pass")
	for _, name := range []string{"looks each 0.6 s", "held at the ninth pass"} {
		if r["as built"].Skew+0.1 > r[name].Skew {
			t.Errorf("the most loaded rank has %.2f times the mean, %.2f with %q", r["as built"].Skew, r[name].Skew, name)
		}
	}
}

// TestRefusalsKeepOthersInAim answers a stall under a load at the limit: without
// refusals hardly anyone is served in aim, and more callers leave.
func TestRefusalsKeepOthersInAim(t *testing.T) {
	r := played(t, Small, "stall at the limit", "as built", "no refusals")
	built, none := r["as built"], r["no refusals"]
	if built.WithinTargets < none.WithinTargets+0.1 || built.Abandoned > none.Abandoned {
		t.Errorf("%.3f in aim and %.3f left, without refusals %.3f and %.3f", built.WithinTargets, built.Abandoned, none.WithinTargets, none.Abandoned)
	}
}

func TestReportHasTableAndPlot(t *testing.T) {
	var results []Result
	for _, r := range played(t, Small, "quiet", "as built") {
		results = append(results, r)
	}
	var table, plot bytes.Buffer
	Write(&table, results)
	if err := Plot(&plot, "quiet", results); err != nil || !strings.Contains(plot.String(), "<svg") {
		t.Errorf("no plot: %v", err)
	}
	if !strings.Contains(table.String(), "as built") {
		t.Errorf("table:\n%s", table.String())
	}
}

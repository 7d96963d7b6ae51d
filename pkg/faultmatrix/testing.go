package faultmatrix

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// The environment variables that configure Test.
const (
	// SeedsVariable sets the number of seeds of a matrix.
	SeedsVariable = "FESCUE_MATRIX_SEEDS"
	// SeedVariable and CellVariable select one cell to replay.
	SeedVariable = "FESCUE_MATRIX_SEED"
	CellVariable = "FESCUE_MATRIX_CELL"
)

const (
	defaultSeeds     = 3
	defaultPairs     = 300
	maxReportedCells = 5
)

// Test runs the matrix of the scenario, logs the table of runs, and fails the test for cells with a
// violation, with the command that replays the cell. If CellVariable is set, it replays only that
// cell.
func Test(t *testing.T, s Scenario) {
	t.Helper()
	TestWith(t, s, Options{Seeds: seeds(), Pairs: defaultPairs})
}

// TestWith is Test with options, for a smaller or larger matrix.
func TestWith(t *testing.T, s Scenario, o Options) {
	t.Helper()
	if cell := os.Getenv(CellVariable); cell != "" {
		replay(t, s, cell)
		return
	}
	report, err := Run(s, o)
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	report.Write(&table)
	t.Log("\n" + table.String())
	for i, cell := range report.Failed {
		if i == maxReportedCells {
			t.Errorf("%d more cells failed", len(report.Failed)-maxReportedCells)
			return
		}
		t.Errorf("step %q: %s\nreplay: %s go test -run '^%s$' .", cell.Step, strings.Join(cell.Violations, "; "), cell.Replay(), t.Name())
	}
}

// RequireViolation runs the matrix of a scenario in which a protection mechanism is disabled, until
// a run has a violation. It fails the test if no run has one, because the matrix would then not
// detect a failure of the mechanism.
func RequireViolation(t *testing.T, s Scenario) {
	t.Helper()
	report, err := Run(s, Options{Seeds: seeds(), Pairs: defaultPairs, StopAtFirst: true})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Failed) == 0 {
		t.Fatalf("protocol %s with a disabled mechanism: %d runs without a violation", s.Protocol, report.Runs)
	}
	first := report.Failed[0]
	t.Logf("violation in run %d: step %q: %s (%s)", report.Runs, first.Step, strings.Join(first.Violations, "; "), first.Replay())
}

// seeds returns the seeds 1 to n, where n is the value of SeedsVariable or defaultSeeds.
func seeds() []uint64 {
	n := defaultSeeds
	if v, err := strconv.Atoi(os.Getenv(SeedsVariable)); err == nil && v > 0 {
		n = v
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

func replay(t *testing.T, s Scenario, cell string) {
	t.Helper()
	seed, err := strconv.ParseUint(os.Getenv(SeedVariable), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	result, steps, err := Replay(s, seed, cell)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range steps {
		t.Logf("%3d %s", step.Index, step.Name)
	}
	for _, v := range result.Violations {
		t.Error(v)
	}
}

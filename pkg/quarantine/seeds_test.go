package quarantine_test

import (
	"os"
	"strconv"
	"testing"
)

// fleetSeeds returns the number of random fleets to simulate: QUARANTINE_SEEDS, or a number for a run of
// all tests.
func fleetSeeds(t *testing.T) int {
	t.Helper()
	text := os.Getenv("QUARANTINE_SEEDS")
	if text == "" {
		return 12
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("QUARANTINE_SEEDS is %q; write a positive number", text)
	}
	return n
}

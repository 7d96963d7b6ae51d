package evacuation_test

import (
	"os"
	"strconv"
)

// seedCount returns the number of seeds that a property test runs: usual, or the value of
// FESCUE_MATRIX_SEEDS.
func seedCount(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("FESCUE_MATRIX_SEEDS")); err == nil && n > 0 {
		return n
	}
	return usual
}

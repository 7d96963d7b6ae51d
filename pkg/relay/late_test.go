package relay

import (
	"slices"
	"testing"
)

// TestLateRequestsKeepOrderOfUrgency guards against late requests of which the least urgent are served first,
// and against late requests that are served before any that are on time.
func TestLateRequestsKeepOrderOfUrgency(t *testing.T) {
	for _, c := range []struct{ priorities, want []int }{
		{[]int{0}, []int{9}},
		{[]int{3}, []int{9}},
		{[]int{9}, []int{9}},
		{[]int{1, 2}, []int{8, 9}},
		{[]int{0, 1, 2}, []int{7, 8, 9}},
		{[]int{0, 1, 7}, []int{8, 9, 9}},
		{[]int{0, 5, 9}, []int{9, 9, 9}},
		{[]int{0, 1, 2, 3, 4, 5, 6}, []int{7, 8, 9, 9, 9, 9, 9}},
	} {
		var got []int
		for _, p := range c.priorities {
			got = append(got, latePriority(p, c.priorities))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("priorities %v: late ones %v, want %v", c.priorities, got, c.want)
		}
	}
	if got := latePriority(4, nil); got != LowestPriority {
		t.Errorf("without other priorities a late request has priority %d, want %d", got, LowestPriority)
	}
}

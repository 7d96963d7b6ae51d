package rankcontrol_test

import (
	"strings"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// TestMalformedMapsAreRejected guards against a planner that panics on a map that a rank returned.
func TestMalformedMapsAreRejected(t *testing.T) {
	shape := rankcontrol.Shape{Sets: 1, Experts: 3, Ranks: 2}
	for _, c := range []struct {
		name, want string
		m          rankcontrol.Map
	}{
		{"sound", "", rankcontrol.Map{{{0, 2}, {1, 2}}}},
		{"no set", "0 sets", nil},
		{"another number of sets", "2 sets", rankcontrol.Map{{{0, 2}, {1}}, {{0, 2}, {1}}}},
		{"another number of ranks", "1 ranks", rankcontrol.Map{{{0, 1, 2}}}},
		{"expert too high", "expert 3", rankcontrol.Map{{{0, 2}, {1, 3}}}},
		{"negative expert", "expert -1", rankcontrol.Map{{{0, 2}, {1, -1}}}},
		{"expert twice at a rank", "expert 0", rankcontrol.Map{{{0, 2, 0}, {1}}}},
		{"expert at no rank", "expert 1 at no rank", rankcontrol.Map{{{0, 2}, {2}}}},
	} {
		err := c.m.Check(shape)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

package balance_test

import (
	"testing"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// TestServersThatLeftAreNotHeldBackByAnEvacuation guards against a server that drained or restarted after its domain
// was evacuated and still counts as one that is expected to run: its planned end would make whole responses look cut.
func TestServersThatLeftAreNotHeldBackByAnEvacuation(t *testing.T) {
	s := fleet.Server{ID: "i", Service: "s", Address: "h:1", Zone: "a", Incarnation: 1}
	restarted := s
	restarted.Incarnation = 2
	for name, c := range map[string]struct {
		listed []fleet.Server
		want   bool
	}{
		"runs":      {[]fleet.Server{s}, true},
		"left":      {nil, false},
		"restarted": {[]fleet.Server{restarted}, false},
	} {
		b := balance.New(ratelimit.New(""))
		b.SetServers([]fleet.Server{s})
		b.SetEvacuated(map[string]bool{"a": true})
		b.SetServers(c.listed)
		if got := b.Evacuated(s); got != c.want {
			t.Errorf("%s: evacuated %v, want %v", name, got, c.want)
		}
	}
}

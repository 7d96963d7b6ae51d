package gateway

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/relay"
)

// TestMalformedResponsesAreCounted guards against servers in trouble that operators cannot tell from others that fail.
func TestMalformedResponsesAreCounted(t *testing.T) {
	g := newTestGateway()
	scope := tally.NewTestScope("", nil)
	g.scope = scope
	q := &relay.Request{Route: &fleet.Route{Name: "r", Kind: fleet.Safe}, Service: &fleet.Service{Name: "s"}}
	report := relay.Report{Attempts: []relay.Attempt{{Server: "a", Malformed: true}, {Server: "b"}, {Server: "c", Malformed: true}}}
	g.recordRequest(q, 1, report, time.Second)
	if n := scope.Snapshot().Counters()["responses_malformed+service=s"].Value(); n != 2 {
		t.Errorf("%d malformed responses counted, want 2", n)
	}
}

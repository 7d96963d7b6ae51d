package entry

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// TestUnlinkedOwnerIsFoundInInstanceList guards calls with a key whose owner the entry is not linked to:
// the owner must be found in the instance list, and one that is not listed must give the outcome NotKnown.
func TestUnlinkedOwnerIsFoundInInstanceList(t *testing.T) {
	e := &Entry{replicas: newReplicas(zap.NewNop(), "entry-1", "entry-1@1", nil, tally.NoopScope, nil)}
	e.members = &members{list: instancelist.List{Instances: []instancelist.Instance{
		{Name: "agent-1", Role: instancelist.Agent, DataAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:2"},
	}}}
	for agent, found := range map[string]bool{"agent-1": true, "agent-2": false} {
		key := writeonce.NewPermit(ident.Incarnation(agent+"@1"), 0, 1)
		x := &exchange{call: writeonce.NewCall(key, false)}
		replica, err := e.replicaByIncarnation(x, x.call.Target())
		if (err == nil) != found || found && replica.Incarnation != key.Owner() {
			t.Errorf("owner %s: found %+v, %v; want it found: %v", agent, replica, err, found)
		}
		if err != nil && problem.Of(err).Outcome != problem.NotKnown {
			t.Errorf("owner %s: %v, want the outcome %v", agent, err, problem.NotKnown)
		}
	}
}

// Guards the number of agents that share the appends of claims.
func TestCountOwners(t *testing.T) {
	for _, c := range []struct{ agents, want int }{{3, 6}, {20, 16}, {400, 800}} {
		agents := make([]instancelist.Instance, c.agents)
		for i := range agents {
			agents[i].Pool = "services"
		}
		if got := countOwners(map[string][]string{"services": {"caja", "citas"}}, agents); got != c.want {
			t.Errorf("%d agents, two routes: %d owners, want %d", c.agents, got, c.want)
		}
	}
}

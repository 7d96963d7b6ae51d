package rankagent

import (
	"reflect"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// TestFirstMapIsRebuiltFromItsChanges guards the first map of a large group that has just formed.
// While requests wait for it, it is sent to 63 ranks over one link of 8 Mbit/s. An agent must
// therefore be able to rebuild it from its changes to the initial map, which every agent can
// compute, and must refuse changes to a base that it does not know.
func TestFirstMapIsRebuiltFromItsChanges(t *testing.T) {
	formed := rankcontrol.Map(evenplan.Uniform(8, 252, 63))
	next, err := formed.WithRows(rankcontrol.Rows{{Set: 1, Rank: 2, Experts: []int{2, 65, 128}}, {Set: 7, Rank: 62, Experts: []int{62, 125, 188, 5}}})
	if err != nil {
		t.Fatal(err)
	}
	shape := formed.Shape()
	order := rankcontrol.Order{Operation: rankcontrol.Prepare, Version: 9, Changes: formed.ChangesTo(next), Formation: &shape}
	a := &Agent{maps: make(map[int64]rankcontrol.Map)}
	if got, ok := a.fullMap(order); !ok || !reflect.DeepEqual(got, next) {
		t.Fatalf("the map rebuilt from the changes differs: base known: %v", ok)
	}
	for name, invalid := range map[string]rankcontrol.Shape{"all zero": {}, "too large": {Sets: 1 << 20, Experts: 1 << 20, Ranks: 1}, "no ranks": {Sets: 1, Experts: 1}} {
		order.Formation = &invalid
		if _, ok := a.fullMap(order); ok {
			t.Errorf("%s: an invalid formation is accepted", name)
		}
	}
	order.Formation = nil
	if _, ok := a.fullMap(order); ok {
		t.Error("changes to an unknown map are accepted")
	}
}

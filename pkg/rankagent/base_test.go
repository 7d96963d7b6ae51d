package rankagent

import (
	"reflect"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// TestFirstMapIsToldByItsChanges answers a large group that has just formed: its first
// map goes to 63 ranks over one link of 8 Mbit/s while requests wait for it. Every rank
// knows the map of the formation.
func TestFirstMapIsToldByItsChanges(t *testing.T) {
	formed := rankcontrol.Map(evenplan.Uniform(8, 252, 63))
	next, err := formed.WithRows(rankcontrol.Rows{{Set: 1, Rank: 2, Experts: []int{2, 65, 128}}, {Set: 7, Rank: 62, Experts: []int{62, 125, 188, 5}}})
	if err != nil {
		t.Fatal(err)
	}
	shape := formed.Shape()
	order := rankcontrol.Order{Operation: rankcontrol.Prepare, Version: 9, Changes: formed.ChangesTo(next), Formation: &shape}
	a := &Agent{maps: make(map[int64]rankcontrol.Map)}
	if got, ok := a.wholeMap(order); !ok || !reflect.DeepEqual(got, next) {
		t.Fatalf("the agent makes another map of the changes: known %v", ok)
	}
	for name, spoilt := range map[string]rankcontrol.Shape{"nothing": {}, "too much": {Sets: 1 << 20, Experts: 1 << 20, Ranks: 1}, "no ranks": {Sets: 1, Experts: 1}} {
		order.Formation = &spoilt
		if _, ok := a.wholeMap(order); ok {
			t.Errorf("%s: a formation that can't be is taken", name)
		}
	}
	order.Formation = nil
	if _, ok := a.wholeMap(order); ok {
		t.Error("changes to a map that is not known are taken")
	}
}

package expertmaps

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Assumptions of the comparison of switches.
const (
	stepTime = 25 * time.Millisecond
	// logTrip is the time from an append until every agent has read it.
	logTrip = 100 * time.Millisecond
	// logOutage is how long the log is down in the third case.
	logOutage = 10 * time.Minute
	// loadSteps bounds how many steps a rank's load of the new map takes.
	loadSteps = 400
	// switchSteps is how long the gate is run.
	switchSteps = 1000
)

// Switch is one way to bring a map into force.
type Switch struct {
	Method string `json:"way"`
	Ranks  int    `json:"ranks"`
	Case   string `json:"case"`
	// HeldSteps is how many steps the group could have run while it waited.
	HeldSteps int `json:"heldSteps"`
	// Appends to the log for one switch.
	Appends int `json:"appends"`
	// StepMessages beyond those of the barrier, in each step of the group.
	StepMessages int `json:"stepMessages"`
}

// CompareSwitches compares the gate, which is run, with a two-phase switch through
// the log, which is worked out: the planner appends a stop once every rank has
// loaded the map, every agent appends that its rank has stopped, and the
// planner appends the decision.
func CompareSwitches(seed uint64, ranks int) []Switch {
	rows := []Switch{
		gateSwitch(seed, ranks, "no fault", 0),
		gateSwitch(seed, ranks, "planner dies in the switch", loadSteps/2),
	}
	// The gate reads no log, so its outage is the case without a fault.
	outage := rows[0]
	outage.Case = "log down in the switch"
	rows = append(rows, outage)
	two := func(name string, held time.Duration) Switch {
		return Switch{Method: "two-phase", Ranks: ranks, Case: name, HeldSteps: int(held / stepTime), Appends: ranks + 2}
	}
	return append(rows,
		two("no fault", 2*logTrip),
		two("planner dies in the switch", 2*logTrip+expertmap.DefaultLeaseTimes.ExpireAfter),
		two("log down in the switch", 2*logTrip+logOutage))
}

// gateSwitch runs the gates of a group. Each rank has loaded the new map after
// a time of its own. Ranks whose load would end after the planner died never
// get the order; the group goes on with the old map.
func gateSwitch(seed uint64, ranks int, name string, plannerDies int) Switch {
	random := rand.New(rand.NewPCG(seed, 1))
	gates := make([]*expertmap.Gate, ranks)
	due := make([]int, ranks)
	for i := range gates {
		gates[i] = expertmap.NewGate(i, ranks, ident.Incarnation(fmt.Sprint(i)), expertmap.AllChecks)
		gates[i].Install(expertmap.Version{})
		due[i] = random.IntN(loadSteps)
	}
	exchange(gates, func(g *expertmap.Gate) expertmap.Actions { return g.ResendReport() })
	row := Switch{Method: "gate", Ranks: ranks, Case: name}
	for step := range switchSteps {
		for i, g := range gates {
			if due[i] == step && (plannerDies == 0 || step < plannerDies) {
				g.Install(expertmap.Version{Fencing: 1, Sequence: 1})
			}
		}
		exchange(gates, (*expertmap.Gate).FinishStep)
		for _, g := range gates {
			if !g.Running() {
				row.HeldSteps++
				break
			}
		}
	}
	return row
}

// exchange begins a barrier at every rank and delivers the reports until none
// is left.
func exchange(gates []*expertmap.Gate, begin func(*expertmap.Gate) expertmap.Actions) {
	var reports []expertmap.Report
	for _, g := range gates {
		if a := begin(g); a.Send != nil {
			reports = append(reports, *a.Send)
		}
	}
	for len(reports) > 0 {
		batch := reports
		reports = nil
		for _, r := range batch {
			for _, g := range gates {
				if a := g.Receive(r); a.Send != nil {
					reports = append(reports, *a.Send)
				}
			}
		}
	}
}

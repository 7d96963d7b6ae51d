package expertmaps

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Assumptions of the comparison.
const (
	stepTime = 25 * time.Millisecond
	// logLatency is the time from an append until every agent has read it.
	logLatency = 100 * time.Millisecond
	// logOutage is how long the log is down in the third case.
	logOutage = 10 * time.Minute
	// loadSteps is the maximum number of steps that a rank takes to load the new map.
	loadSteps = 400
	// switchSteps is the number of steps that the gates are run for.
	switchSteps = 1000
)

// Switch is the result of one method of putting a map into force in one case.
type Switch struct {
	Method string `json:"way"`
	Ranks  int    `json:"ranks"`
	Case   string `json:"case"`
	// HeldSteps is the number of steps that the group could have run while it waited.
	HeldSteps int `json:"heldSteps"`
	// Appends is the number of appends to the log for one switch.
	Appends int `json:"appends"`
	// StepMessages is the number of messages beyond those of the barrier in each step of the group.
	StepMessages int `json:"stepMessages"`
}

// CompareSwitches compares the gate, which is executed, with a two-phase switch through the log,
// which is calculated: the planner appends a stop once every rank has loaded the map, every agent
// appends that its rank has stopped, and the planner appends the decision.
func CompareSwitches(seed uint64, ranks int) []Switch {
	rows := []Switch{
		simulateGateSwitch(seed, ranks, "no fault", 0),
		simulateGateSwitch(seed, ranks, "planner dies in the switch", loadSteps/2),
	}
	// The gate does not read the log, so a log outage equals the case without a fault.
	outage := rows[0]
	outage.Case = "log down in the switch"
	rows = append(rows, outage)
	twoPhase := func(name string, heldTime time.Duration) Switch {
		return Switch{Method: "two-phase", Ranks: ranks, Case: name, HeldSteps: int(heldTime / stepTime), Appends: ranks + 2}
	}
	return append(rows,
		twoPhase("no fault", 2*logLatency),
		twoPhase("planner dies in the switch", 2*logLatency+expertmap.DefaultLeaseTimes.ExpireAfter),
		twoPhase("log down in the switch", 2*logLatency+logOutage))
}

// simulateGateSwitch runs the gates of a group. Each rank loads the new map in a random number of
// steps. Ranks whose load would end at or after plannerFailsAt never get the order to switch, and
// the group keeps the old map; 0 stands for no failure.
func simulateGateSwitch(seed uint64, ranks int, name string, plannerFailsAt int) Switch {
	random := rand.New(rand.NewPCG(seed, 1))
	gates := make([]*expertmap.Gate, ranks)
	loadedAt := make([]int, ranks)
	for i := range gates {
		gates[i] = expertmap.NewGate(i, ranks, ident.Incarnation(fmt.Sprint(i)), expertmap.AllChecks)
		gates[i].Install(expertmap.Version{})
		loadedAt[i] = random.IntN(loadSteps)
	}
	runBarrier(gates, func(g *expertmap.Gate) expertmap.Actions { return g.ResendReport() })
	row := Switch{Method: "gate", Ranks: ranks, Case: name}
	for step := range switchSteps {
		for i, g := range gates {
			if loadedAt[i] == step && (plannerFailsAt == 0 || step < plannerFailsAt) {
				g.Install(expertmap.Version{Fencing: 1, Sequence: 1})
			}
		}
		runBarrier(gates, (*expertmap.Gate).FinishStep)
		for _, g := range gates {
			if !g.Running() {
				row.HeldSteps++
				break
			}
		}
	}
	return row
}

// runBarrier begins a barrier at every rank and delivers reports until none is left.
func runBarrier(gates []*expertmap.Gate, begin func(*expertmap.Gate) expertmap.Actions) {
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

package faultmatrix

import "time"

// Fault is a kind of fault.
type Fault string

// The faults. The package applies the first nine itself. The others are applied by the Inject
// method of World.ScenarioState.
const (
	// Kill kills the receiving node before it handles the message.
	Kill Fault = "kill"
	// Freeze freezes the receiving node before it handles the message.
	Freeze Fault = "freeze"
	// Cut cuts the link between the sender and the receiver. The message is lost.
	Cut Fault = "cut"
	// Delay delivers the message later.
	Delay Fault = "delay"
	// Duplicate delivers the message a second time.
	Duplicate Fault = "duplicate"
	// Reorder delays the message so that later ones can overtake it.
	Reorder Fault = "reorder"
	// Drop loses the message. Timers are not dropped.
	Drop Fault = "drop"
	// ReplyLost lets the node handle the message and drops everything that it sends meanwhile.
	ReplyLost Fault = "reply-lost"
	// KillAfter kills the node after it has handled the message.
	KillAfter Fault = "kill-after"
	// LogDown makes the log unavailable for a time.
	LogDown Fault = "log-down"
	// LogSlow delays the responses of the log.
	LogSlow Fault = "log-slow"
	// ListLagging makes the instance list return stale or empty results.
	ListLagging Fault = "list-lagging"
	// LeaseLapsed freezes a node that can hold a lease for longer than the lease.
	LeaseLapsed Fault = "lease-lapsed"
	// OperatorRaces publishes concurrent edits of other operators.
	OperatorRaces Fault = "operator-races"
)

// AllFaults lists every fault.
var AllFaults = []Fault{
	Kill, Freeze, Cut, Delay, Duplicate, Reorder, Drop, ReplyLost, KillAfter,
	LogDown, LogSlow, ListLagging, LeaseLapsed, OperatorRaces,
}

// Step is the delivery of one message or timer in a run. Name is empty in the runs of a matrix with
// injected faults, because naming the steps takes longer than the rest of a run.
type Step struct {
	Index int
	Name  string
}

// Injection is a fault to inject at the step with index Step.
type Injection struct {
	Fault Fault
	Step  int
}

const (
	restartDelay   = 5 * time.Second
	freezeDuration = 40 * time.Second
	cutDuration    = 15 * time.Second
	messageDelay   = 50 * time.Second
	reorderDelay   = 10 * time.Millisecond
	duplicateDelay = 3 * time.Second
)

// faultInjector is implemented by scenario states that apply faults of their own. Inject returns
// false if the fault does not apply to the scenario.
type faultInjector interface {
	Inject(w *World, f Fault) bool
}

// applyInjections applies the faults of the step and reports whether the event must not be handled
// now.
func (w *World) applyInjections(step Step, e *event, s *nodeState) bool {
	suppressed := false
	for _, i := range w.injections {
		if i.Step == step.Index {
			w.applied++
			suppressed = w.applyFault(i.Fault, e, s) || suppressed
		}
	}
	return suppressed
}

// applyFault applies a fault and reports whether the event must not be handled now.
func (w *World) applyFault(f Fault, e *event, s *nodeState) bool {
	switch f {
	case Kill:
		w.Kill(e.to, restartDelay)
		return true
	case Freeze:
		w.Freeze(e.to, freezeDuration)
		w.pushCopy(e, freezeDuration)
		return true
	case Cut:
		w.Cut(e.from, e.to, cutDuration)
		return !e.timer
	case Delay:
		w.pushCopy(e, messageDelay)
		return true
	case Duplicate:
		w.pushCopy(e, duplicateDelay)
	case Reorder:
		w.pushCopy(e, reorderDelay)
		return true
	case Drop:
		return !e.timer
	case ReplyLost:
		s.dropSends = true
		w.handle(e, s)
		s.dropSends = false
		return true
	case KillAfter:
		w.handle(e, s)
		w.Kill(e.to, restartDelay)
		return true
	default:
		w.injectScenarioFault(f)
	}
	return false
}

func (w *World) injectScenarioFault(f Fault) {
	if injector, ok := w.ScenarioState.(faultInjector); ok {
		injector.Inject(w, f)
	}
}

// pushCopy schedules another delivery of the event after a delay. No faults are injected at the
// delivery of the copy.
func (w *World) pushCopy(e *event, after time.Duration) {
	c := *e
	c.isCopy = true
	c.at = w.now.Add(after)
	w.push(&c)
}

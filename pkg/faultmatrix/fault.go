package faultmatrix

import "time"

// Fault is one kind of fault.
type Fault string

// The faults. The driver applies the first nine itself; a scenario applies the
// others through its Inject method.
const (
	Kill          Fault = "kill"
	Freeze        Fault = "freeze"
	Cut           Fault = "cut"
	Delay         Fault = "delay"
	Duplicate     Fault = "duplicate"
	Reorder       Fault = "reorder"
	Drop          Fault = "drop"
	ReplyLost     Fault = "reply-lost"
	KillAfter     Fault = "kill-after"
	LogDown       Fault = "log-down"
	LogSlow       Fault = "log-slow"
	ListLagging   Fault = "list-lagging"
	LeaseLapsed   Fault = "lease-lapsed"
	OperatorRaces Fault = "operator-races"
)

// AllFaults lists every fault.
var AllFaults = []Fault{
	Kill, Freeze, Cut, Delay, Duplicate, Reorder, Drop, ReplyLost, KillAfter,
	LogDown, LogSlow, ListLagging, LeaseLapsed, OperatorRaces,
}

// Step is the delivery of one message or timer.
type Step struct {
	Index int
	Name  string
}

// Injection is a fault at a step.
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

// faultInjector is implemented by scenarios that apply faults of their own. It
// returns false where the fault means nothing to the scenario.
type faultInjector interface {
	Inject(w *World, f Fault) bool
}

// applyInjections applies the faults due at the step and reports whether the
// message must not be handled now.
func (w *World) applyInjections(step Step, e *event, s *nodeState) bool {
	stop := false
	for _, i := range w.injections {
		if i.Step == step.Index {
			w.applied++
			stop = w.applyFault(i.Fault, e, s) || stop
		}
	}
	return stop
}

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
	if in, ok := w.ScenarioState.(faultInjector); ok {
		in.Inject(w, f)
	}
}

// pushCopy delivers the event again later, as a message that no further fault
// is applied to.
func (w *World) pushCopy(e *event, after time.Duration) {
	c := *e
	c.isCopy = true
	c.at = w.now.Add(after)
	w.push(&c)
}

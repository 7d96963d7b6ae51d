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
	restartDelay  = 5 * time.Second
	freezeTime    = 40 * time.Second
	cutTime       = 15 * time.Second
	delayTime     = 50 * time.Second
	reorderTime   = 10 * time.Millisecond
	duplicateTime = 3 * time.Second
)

// injector is implemented by scenarios that apply faults of their own. It
// returns false where the fault means nothing to the scenario.
type injector interface {
	Inject(w *World, f Fault) bool
}

// applyInjections applies the faults due at the step and reports whether the
// message must not be handled now.
func (w *World) applyInjections(step Step, e *event, s *slot) bool {
	stop := false
	for _, i := range w.inject {
		if i.Step == step.Index {
			w.applied++
			stop = w.apply(i.Fault, e, s) || stop
		}
	}
	return stop
}

func (w *World) apply(f Fault, e *event, s *slot) bool {
	switch f {
	case Kill:
		w.Kill(e.to, restartDelay)
		return true
	case Freeze:
		w.Freeze(e.to, freezeTime)
		w.pushCopy(e, freezeTime)
		return true
	case Cut:
		w.Cut(e.from, e.to, cutTime)
		return !e.timer
	case Delay:
		w.pushCopy(e, delayTime)
		return true
	case Duplicate:
		w.pushCopy(e, duplicateTime)
	case Reorder:
		w.pushCopy(e, reorderTime)
		return true
	case Drop:
		return !e.timer
	case ReplyLost:
		s.mute = true
		w.handle(e, s)
		s.mute = false
		return true
	case KillAfter:
		w.handle(e, s)
		w.Kill(e.to, restartDelay)
		return true
	default:
		w.scenarioFault(f)
	}
	return false
}

func (w *World) scenarioFault(f Fault) {
	if in, ok := w.ScenarioState.(injector); ok {
		in.Inject(w, f)
	}
}

// pushCopy delivers the event again later, as a message that no further fault
// is applied to.
func (w *World) pushCopy(e *event, after time.Duration) {
	c := *e
	c.copy = true
	c.at = w.now.Add(after)
	w.push(&c)
}

package expertmap

import (
	"slices"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Fence decides which map orders an agent passes on to its rank, so that the rank need not check
// them.
type Fence struct {
	highest  int64
	disabled bool
}

// NewFence returns a fence that has seen no order. A disabled fence passes every order on.
func NewFence(disabled bool) *Fence { return &Fence{disabled: disabled} }

// Highest returns the highest fencing number seen.
func (f *Fence) Highest() int64 { return f.highest }

// ObserveLoaded records the maps that the rank has loaded. After a restart of the agent this
// restores the number of the lease under which the newest map was made.
func (f *Fence) ObserveLoaded(loaded []Version) {
	for _, v := range loaded {
		f.highest = max(f.highest, v.Fencing)
	}
}

// Admit checks an order that was sent under a lease. It returns an error of kind FencedOff if an order of a
// later lease, or a map made under one, has been seen.
func (f *Fence) Admit(fencing int64) error {
	if fencing < f.highest && !f.disabled {
		return problem.New(problem.FencedOff, "stop sending orders; a newer lease holder exists",
			"fencing number %d is older than %d", fencing, f.highest).WithOutcome(problem.NotRun)
	}
	f.highest = max(f.highest, fencing)
	return nil
}

// Newest returns the highest of the versions, or the zero version if there are none.
func Newest(versions []Version) Version {
	if len(versions) == 0 {
		return Version{}
	}
	return slices.MaxFunc(versions, Version.Compare)
}

package expertmap

import (
	"slices"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Fence decides at an agent which map orders pass on to its rank. The rank
// need not check anything.
type Fence struct {
	highest int64
	off     bool
}

// NewFence returns a fence that has seen no order. With off it lets every
// order pass.
func NewFence(off bool) *Fence { return &Fence{off: off} }

// Highest returns the highest fencing number seen.
func (f *Fence) Highest() int64 { return f.highest }

// ObserveLoaded takes what the rank holds. After a restart of the agent it restores
// the number of the lease that made the newest map.
func (f *Fence) ObserveLoaded(loaded []Version) {
	for _, v := range loaded {
		f.highest = max(f.highest, v.Fencing)
	}
}

// Admit checks an order given under a lease. The error has the kind FencedOff.
func (f *Fence) Admit(fencing int64) error {
	if fencing < f.highest && !f.off {
		return problem.New(problem.FencedOff, "stop giving orders; a newer lease holder exists",
			"fencing number %d is older than %d", fencing, f.highest).WithOutcome(problem.NotRun)
	}
	f.highest = max(f.highest, fencing)
	return nil
}

// Newest returns the highest of the versions, and the zero version of none.
func Newest(versions []Version) Version {
	if len(versions) == 0 {
		return Version{}
	}
	return slices.MaxFunc(versions, Version.Compare)
}

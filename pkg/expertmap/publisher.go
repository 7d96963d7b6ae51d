package expertmap

// Publisher tracks the rollout of maps to all ranks of a group under one lease. A rollout has
// converged once every rank has loaded the target; no other map is published before that. There
// must never be two publishers with the same fencing number, since each numbers its maps from 1.
type Publisher struct {
	fencing  int64
	sequence int64
	target   Version
	ranks    []rankState
}

type rankState struct {
	reported bool
	newest   Version
}

// NewPublisher returns the publisher of a lease to which no rank has reported.
func NewPublisher(ranks int, fencing int64) *Publisher {
	return &Publisher{fencing: fencing, ranks: make([]rankState, ranks)}
}

// Fencing returns the number of the lease.
func (p *Publisher) Fencing() int64 { return p.fencing }

// Target returns the version that every rank is to load.
func (p *Publisher) Target() Version { return p.target }

// Observe records the maps that a rank has loaded. A map newer than the target, which was
// published under another lease, becomes the target.
func (p *Publisher) Observe(rank int, loaded []Version) {
	if rank < 0 || rank >= len(p.ranks) {
		return
	}
	newest := Newest(loaded)
	p.ranks[rank] = rankState{reported: true, newest: newest}
	if newest.Compare(p.target) > 0 {
		p.target = newest
	}
}

// Converged reports whether every rank has reported and its newest map is the target.
func (p *Publisher) Converged() bool {
	for _, r := range p.ranks {
		if !r.reported || r.newest != p.target {
			return false
		}
	}
	return true
}

func (p *Publisher) AllReported() bool {
	for _, r := range p.ranks {
		if !r.reported {
			return false
		}
	}
	return true
}

// RanksBehind returns the ranks that have reported and whose newest map is not the target.
func (p *Publisher) RanksBehind() []int {
	var out []int
	for i, r := range p.ranks {
		if r.reported && r.newest != p.target {
			out = append(out, i)
		}
	}
	return out
}

// NextVersion returns the version of a new map and makes it the target. It returns false while a
// rank has a map of a later lease: either this lease has been superseded, or the log was reset.
func (p *Publisher) NextVersion() (Version, bool) {
	if p.target.Fencing > p.fencing {
		return Version{}, false
	}
	p.sequence++
	p.target = Version{Fencing: p.fencing, Sequence: p.sequence}
	return p.target, true
}

package expertmap

// Publisher brings one map to all ranks of a group under one lease. A map is
// settled once every rank holds it; until then no other is published. There
// must never be two publishers of one fencing number: each numbers its maps
// from 1.
type Publisher struct {
	fencing  int64
	sequence int64
	target   Version
	ranks    []published
}

type published struct {
	heard  bool
	newest Version
}

// NewPublisher returns the publisher of a lease that has heard from no rank.
func NewPublisher(ranks int, fencing int64) *Publisher {
	return &Publisher{fencing: fencing, ranks: make([]published, ranks)}
}

// Fencing returns the number of the lease.
func (p *Publisher) Fencing() int64 { return p.fencing }

// Target returns the map that every rank is brought to.
func (p *Publisher) Target() Version { return p.target }

// Observe takes what a rank holds. A map that is newer than the target, left
// by an earlier lease, becomes the target.
func (p *Publisher) Observe(rank int, loaded []Version) {
	if rank < 0 || rank >= len(p.ranks) {
		return
	}
	newest := Newest(loaded)
	p.ranks[rank] = published{heard: true, newest: newest}
	if newest.Compare(p.target) > 0 {
		p.target = newest
	}
}

// Converged reports whether every rank has been heard and holds the target.
func (p *Publisher) Converged() bool {
	for _, r := range p.ranks {
		if !r.heard || r.newest != p.target {
			return false
		}
	}
	return true
}

// AllReported reports whether every rank has been heard.
func (p *Publisher) AllReported() bool {
	for _, r := range p.ranks {
		if !r.heard {
			return false
		}
	}
	return true
}

// RanksBehind returns the ranks that have been heard and do not hold the target.
func (p *Publisher) RanksBehind() []int {
	var out []int
	for i, r := range p.ranks {
		if r.heard && r.newest != p.target {
			out = append(out, i)
		}
	}
	return out
}

// NextVersion makes the version of a new map, which becomes the target. It makes none
// while a rank holds a map of a later lease: this one is over, or the log has
// started again.
func (p *Publisher) NextVersion() (Version, bool) {
	if p.target.Fencing > p.fencing {
		return Version{}, false
	}
	p.sequence++
	p.target = Version{Fencing: p.fencing, Sequence: p.sequence}
	return p.target, true
}

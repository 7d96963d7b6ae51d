package routing

import "github.com/cespare/xxhash/v2"

// Node is an instance as the subsets see it.
type Node struct {
	Name          string
	FailureDomain string
}

// MaxFullMeshAgents is the number of agents up to which every entry connects
// to all of them.
const MaxFullMeshAgents = 128

const (
	// linksPerPool is how many replicas of a pool an entry should reach.
	linksPerPool = 16
	// minEntries is how many entries reach each replica at least.
	minEntries = 4
	// nearQuarters is the part of a replica's entries taken from its own failure
	// domain, in quarters.
	nearQuarters = 3
)

// Subset returns the replicas of one pool that the entry connects to. Each
// replica takes the entries with the highest rendezvous hashes, so every
// replica is reached by the same number of entries, and an entry that joins or
// leaves changes only the links of its own replicas. All of a small pool is
// returned. An entry that is not yet in entries counts as one of them.
func Subset(self Node, entries, replicas []Node) []Node {
	s := newSubsetter(self, entries, len(replicas))
	out := make([]Node, 0, linksPerPool)
	for _, r := range replicas {
		if s.takes(r) {
			out = append(out, r)
		}
	}
	return out
}

// EntriesPerReplica returns how many of the entries connect to each replica of
// a pool.
func EntriesPerReplica(entries, replicas int) int {
	if replicas <= linksPerPool {
		return entries
	}
	wanted := (linksPerPool*entries + replicas - 1) / replicas
	return min(entries, onLadder(max(minEntries, wanted)))
}

// onLadder rounds up to a power of two or one and a half of it, so that a few
// instances more or less do not move every link.
func onLadder(n int) int {
	step := 1
	for {
		if n <= step {
			return step
		}
		if half := step + step/2; step > 1 && n <= half {
			return half
		}
		step *= 2
	}
}

type subsetter struct {
	self     Node
	selfHash uint64
	wanted   int
	hashes   []uint64
	domains  []string
	inDomain map[string]int
}

func newSubsetter(self Node, entries []Node, replicas int) *subsetter {
	s := &subsetter{self: self, selfHash: xxhash.Sum64String(self.Name), inDomain: make(map[string]int)}
	s.inDomain[self.FailureDomain]++
	for _, e := range entries {
		if e.Name == self.Name {
			continue
		}
		s.hashes = append(s.hashes, xxhash.Sum64String(e.Name))
		s.domains = append(s.domains, e.FailureDomain)
		s.inDomain[e.FailureDomain]++
	}
	s.wanted = EntriesPerReplica(len(s.hashes)+1, replicas)
	return s
}

// takes reports whether fewer entries of its group than the group's share
// have a higher hash for the replica. The groups are the entries in the
// replica's failure domain and the others.
func (s *subsetter) takes(r Node) bool {
	near := s.inDomain[r.FailureDomain]
	far := len(s.hashes) + 1 - near
	nearWanted := min(near, max(s.wanted*nearQuarters/4, s.wanted-far))
	share := nearWanted
	selfNear := r.FailureDomain == s.self.FailureDomain
	if !selfNear {
		share = s.wanted - nearWanted
	}
	key := xxhash.Sum64String(r.Name)
	mine := mix(key ^ s.selfHash)
	above := 0
	for i, h := range s.hashes {
		if above >= share {
			return false
		}
		if (s.domains[i] == r.FailureDomain) == selfNear && mix(key^h) > mine {
			above++
		}
	}
	return above < share
}

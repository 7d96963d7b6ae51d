package routing

import "github.com/cespare/xxhash/v2"

// Node identifies an entry or a replica in the computation of subsets and addresses.
type Node struct {
	Name          string
	FailureDomain string
}

// MaxFullMeshAgents is the number of agents up to which every entry connects to all of them.
const MaxFullMeshAgents = 128

const (
	// linksPerPool is the target number of replicas of a pool that an entry connects to.
	linksPerPool = 16
	// minEntriesPerReplica is the minimum number of entries that connect to each replica.
	minEntriesPerReplica = 4
	// localQuarters is the fraction, in quarters, of a replica's entries that are in its own
	// failure domain.
	localQuarters = 3
)

// Subset returns the replicas of one pool that the entry connects to. Each replica is assigned the
// entries with the highest rendezvous hashes, so every replica is reached by the same number of
// entries, and an entry that joins or leaves changes only the links of the replicas that it is
// assigned to. Of a small pool, all replicas are returned. self counts as an entry even if entries
// does not contain it yet.
func Subset(self Node, entries, replicas []Node) []Node {
	s := newSubsetter(self, entries, len(replicas))
	out := make([]Node, 0, linksPerPool)
	for _, r := range replicas {
		if s.connects(r) {
			out = append(out, r)
		}
	}
	return out
}

// EntriesPerReplica returns the number of entries that connect to each replica of a pool.
func EntriesPerReplica(entries, replicas int) int {
	if replicas <= linksPerPool {
		return entries
	}
	wanted := (linksPerPool*entries + replicas - 1) / replicas
	return min(entries, roundUpCount(max(minEntriesPerReplica, wanted)))
}

// roundUpCount rounds up to a power of two or one and a half times a power of two, so that small
// changes in the number of instances do not change every link.
func roundUpCount(n int) int {
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

// connects reports whether self is among the entries assigned to the replica. The entries in the
// replica's failure domain and those outside it are ranked separately, each for their share of the
// assignments; self is assigned if fewer entries than the share have a higher hash.
func (s *subsetter) connects(r Node) bool {
	localEntries := s.inDomain[r.FailureDomain]
	otherEntries := len(s.hashes) + 1 - localEntries
	localWanted := min(localEntries, max(s.wanted*localQuarters/4, s.wanted-otherEntries))
	share := localWanted
	selfLocal := r.FailureDomain == s.self.FailureDomain
	if !selfLocal {
		share = s.wanted - localWanted
	}
	key := xxhash.Sum64String(r.Name)
	selfScore := mix(key ^ s.selfHash)
	higher := 0
	for i, h := range s.hashes {
		if higher >= share {
			return false
		}
		if (s.domains[i] == r.FailureDomain) == selfLocal && mix(key^h) > selfScore {
			higher++
		}
	}
	return higher < share
}

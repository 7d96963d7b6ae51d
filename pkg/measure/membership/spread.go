package membership

import (
	"fmt"
	"math"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/membership"
	"github.com/fescuehub/fescuehub/pkg/routing"
)

// Subsets describes the subsets of replicas of all entries at one size.
type Subsets struct {
	Entries  int `json:"entries"`
	Replicas int `json:"replicas"`
	Pools    int `json:"pools"`
	// EntriesPerReplica is the lowest and the highest number of entries that link to a replica,
	// LinksPerEntry the lowest and the highest number of links of an entry.
	EntriesPerReplica [2]int  `json:"entriesPerReplica"`
	LinksPerEntry     [2]int  `json:"linksPerEntry"`
	MeanLinks         float64 `json:"meanLinksPerEntry"`
	// MaxLoadRatio is the highest expected load of a replica over the mean, where every entry gets
	// the same number of requests and chooses replicas evenly.
	MaxLoadRatio float64 `json:"replicaLoadMaxOverMean"`
	// LoadRatioP99 is the same ratio for the 99th of 100 replicas in order of load.
	LoadRatioP99 float64 `json:"replicaLoad99OverMean"`
	// MovedShare is the number of links that the other entries add when one entry is removed, as a
	// share of all links.
	MovedShare float64 `json:"linksMovedShare"`
	// HeartbeatMS is the heartbeat interval at the mean number of links.
	HeartbeatMS int64 `json:"heartbeatMS"`
}

func measureSubsets(entries, replicas, domains, pools int) Subsets {
	out := Subsets{Entries: entries, Replicas: replicas, Pools: pools, EntriesPerReplica: [2]int{entries, 0}, LinksPerEntry: [2]int{replicas, 0}}
	entryNodes := nodes("entry", entries, domains)
	perReplica := make(map[string]int)
	load := make(map[string]float64)
	moved := 0
	for _, e := range entryNodes {
		total := 0
		for p := range pools {
			replicaNodes := nodes(fmt.Sprintf("replica-%d", p), replicas/pools, domains)
			subset := routing.Subset(e, entryNodes, replicaNodes)
			total += len(subset)
			for _, r := range subset {
				perReplica[r.Name]++
				load[r.Name] += 1 / float64(len(subset))
			}
			if e != entryNodes[0] {
				moved += len(routing.Subset(e, entryNodes[1:], replicaNodes)) - len(subset)
			}
		}
		out.LinksPerEntry = extendRange(out.LinksPerEntry, total)
		out.MeanLinks += float64(total) / float64(entries)
	}
	for _, n := range perReplica {
		out.EntriesPerReplica = extendRange(out.EntriesPerReplica, n)
	}
	mean := float64(entries) / float64(replicas/pools)
	loads := make([]float64, 0, len(load))
	for _, l := range load {
		loads = append(loads, l/mean)
	}
	slices.Sort(loads)
	out.MaxLoadRatio = loads[len(loads)-1]
	out.LoadRatioP99 = loads[len(loads)*99/100]
	out.MovedShare = float64(moved) / (out.MeanLinks * float64(entries))
	out.HeartbeatMS = membership.HeartbeatInterval(int(math.Round(out.MeanLinks))).Milliseconds()
	return out
}

func extendRange(r [2]int, n int) [2]int { return [2]int{min(r[0], n), max(r[1], n)} }

func nodes(kind string, n, domains int) []routing.Node {
	out := make([]routing.Node, n)
	for i := range out {
		out[i] = routing.Node{Name: fmt.Sprintf("%s-%d", kind, i), FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
	}
	return out
}

// AddressAnswers describes the address answers of all callers at one size.
type AddressAnswers struct {
	Entries       int `json:"entries"`
	Organisations int `json:"organisations"`
	// ChangedShare is the share of answers that lose a name when one entry is removed,
	// NamesChangedShare the share of all names.
	ChangedShare      float64 `json:"answersChangedShare"`
	NamesChangedShare float64 `json:"namesChangedShare"`
	// MaxFirstRatio is the highest share of first places of one entry over the mean, weighted by
	// the organisations' shares of the requests.
	MaxFirstRatio float64 `json:"firstPlaceMaxOverMean"`
	// MaxNames is the largest number of names in an answer.
	MaxNames int `json:"mostNames"`
}

const (
	// largeShare is the share of the requests that the large organisations send together.
	largeShare = 0.5
	// callersPerOrganisation and callersPerLargeOrganisation are the numbers of callers of an
	// organisation and of a large one.
	callersPerOrganisation      = 16
	callersPerLargeOrganisation = 320
)

func measureAddressAnswers(entries, organisations, large, domains int) AddressAnswers {
	entryNodes := nodes("entry", entries, domains)
	out := AddressAnswers{Entries: entries, Organisations: organisations}
	first := make(map[string]float64)
	for o := range organisations {
		share, n := (1-largeShare)/float64(organisations-large), callersPerOrganisation
		if o < large {
			share, n = largeShare/float64(large), callersPerLargeOrganisation
		}
		for k := range n {
			c := routing.Caller{
				Organisation: fmt.Sprint("organisation-", o), Share: share, Key: fmt.Sprint(k),
				FailureDomain: fmt.Sprintf("domain-%d", k%domains),
			}
			first[routing.Addresses(c, entryNodes)[0].Name] += share / float64(n)
			if k < callersPerOrganisation {
				out.addRemovals(c, entryNodes)
			}
		}
	}
	for _, f := range first {
		out.MaxFirstRatio = max(out.MaxFirstRatio, f*float64(entries))
	}
	comparisons := float64(organisations * callersPerOrganisation * removedEntries(entries))
	out.ChangedShare /= comparisons
	out.NamesChangedShare /= comparisons
	return out
}

// removedEntries returns how many entries are removed, one at a time, for each answer: all of the 9
// entries of the smallest deployment, and fewer in larger ones.
func removedEntries(entries int) int { return max(1, removalBudget/entries) }

// removalBudget is the approximate product of the number of entries and of removals.
const removalBudget = 81

// addRemovals adds how an answer changes when one entry is removed, for each of the removedEntries.
func (a *AddressAnswers) addRemovals(c routing.Caller, entries []routing.Node) {
	before := routing.Addresses(c, entries)
	a.MaxNames = max(a.MaxNames, len(before))
	for removed := range removedEntries(len(entries)) {
		after := routing.Addresses(c, slices.Delete(slices.Clone(entries), removed, removed+1))
		lost := 0
		for _, n := range before {
			if !slices.Contains(after, n) {
				lost++
			}
		}
		a.ChangedShare += float64(min(lost, 1))
		a.NamesChangedShare += float64(lost) / float64(len(before))
	}
}

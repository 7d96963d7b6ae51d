package membership

import (
	"fmt"
	"math"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/membership"
	"github.com/fescuehub/fescuehub/pkg/routing"
)

// Subsets is how the subsets of all entries come out at one size.
type Subsets struct {
	Entries  int `json:"entries"`
	Replicas int `json:"replicas"`
	Pools    int `json:"pools"`
	// EntriesPerReplica is the lowest and the highest number of entries that
	// reach a replica; LinksPerEntry the lowest, mean and highest of links.
	EntriesPerReplica [2]int  `json:"entriesPerReplica"`
	LinksPerEntry     [2]int  `json:"linksPerEntry"`
	MeanLinks         float64 `json:"meanLinksPerEntry"`
	// MaxLoadRatio is the highest expected load of a replica over the mean, where
	// every entry gets the same requests and chooses evenly.
	MaxLoadRatio float64 `json:"replicaLoadMaxOverMean"`
	// LoadRatioP99 is the same of the 99th of 100 replicas.
	LoadRatioP99 float64 `json:"replicaLoad99OverMean"`
	// MovedShare is the share of links that change when one entry goes.
	MovedShare float64 `json:"linksMovedShare"`
	// HeartbeatMS is the interval of heartbeats.
	HeartbeatMS int64 `json:"heartbeatMS"`
}

func linksOf(entries, replicas, domains, pools int) Subsets {
	out := Subsets{Entries: entries, Replicas: replicas, Pools: pools, EntriesPerReplica: [2]int{entries, 0}, LinksPerEntry: [2]int{replicas, 0}}
	es := nodes("entry", entries, domains)
	perReplica := make(map[string]int)
	load := make(map[string]float64)
	moved := 0
	for _, e := range es {
		total := 0
		for p := range pools {
			rs := nodes(fmt.Sprintf("replica-%d", p), replicas/pools, domains)
			subset := routing.Subset(e, es, rs)
			total += len(subset)
			for _, r := range subset {
				perReplica[r.Name]++
				load[r.Name] += 1 / float64(len(subset))
			}
			if e != es[0] {
				moved += len(routing.Subset(e, es[1:], rs)) - len(subset)
			}
		}
		out.LinksPerEntry = widen(out.LinksPerEntry, total)
		out.MeanLinks += float64(total) / float64(entries)
	}
	for _, n := range perReplica {
		out.EntriesPerReplica = widen(out.EntriesPerReplica, n)
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

func widen(r [2]int, n int) [2]int { return [2]int{min(r[0], n), max(r[1], n)} }

func nodes(kind string, n, domains int) []routing.Node {
	out := make([]routing.Node, n)
	for i := range out {
		out[i] = routing.Node{Name: fmt.Sprintf("%s-%d", kind, i), FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
	}
	return out
}

// AddressAnswers is how address answers come out at one size.
type AddressAnswers struct {
	Entries       int `json:"entries"`
	Organisations int `json:"organisations"`
	// ChangedShare is the share of answers of which a name changes when one entry
	// goes; Renamed is the share of all names.
	ChangedShare      float64 `json:"answersChangedShare"`
	NamesChangedShare float64 `json:"namesChangedShare"`
	// MaxFirstRatio is the highest number of first places of one entry over the mean,
	// weighted by the organisations' shares.
	MaxFirstRatio float64 `json:"firstPlaceMaxOverMean"`
	MaxNames      int     `json:"mostNames"`
}

const (
	// largeShare is what the large organisations send together.
	largeShare = 0.5
	// callers is the number of callers of an organisation in the tables, and
	// largeCallers that of a large one.
	callers      = 16
	largeCallers = 320
)

func answersOf(entries, organisations, large, domains int) AddressAnswers {
	es := nodes("entry", entries, domains)
	out := AddressAnswers{Entries: entries, Organisations: organisations}
	first := make(map[string]float64)
	for o := range organisations {
		share, n := (1-largeShare)/float64(organisations-large), callers
		if o < large {
			share, n = largeShare/float64(large), largeCallers
		}
		for k := range n {
			c := routing.Caller{
				Organisation: fmt.Sprint("organisation-", o), Share: share, Key: fmt.Sprint(k),
				FailureDomain: fmt.Sprintf("domain-%d", k%domains),
			}
			first[routing.Addresses(c, es)[0].Name] += share / float64(n)
			if k < callers {
				out.compare(c, es)
			}
		}
	}
	for _, f := range first {
		out.MaxFirstRatio = max(out.MaxFirstRatio, f*float64(entries))
	}
	asked := float64(organisations * callers * removals(entries))
	out.ChangedShare /= asked
	out.NamesChangedShare /= asked
	return out
}

// removals is how many entries are taken away, one at a time.
func removals(entries int) int { return max(1, mostRemovals/entries) }

const mostRemovals = 81

// compare adds how the answer changes when one entry goes.
func (a *AddressAnswers) compare(c routing.Caller, es []routing.Node) {
	before := routing.Addresses(c, es)
	a.MaxNames = max(a.MaxNames, len(before))
	for gone := range removals(len(es)) {
		after := routing.Addresses(c, slices.Delete(slices.Clone(es), gone, gone+1))
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

// Package routing compares the replica selectors of package routing in a virtual-time simulation of
// replicas and entries: continuous batching, prompt processing with cache hits, bounded prefix
// caches, delayed load reports, and entries that each have their own view. It uses no socket and no
// wall clock.
package routing

import (
	"fmt"
	"io"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fescuehub/fescuehub/pkg/membership"
	decision "github.com/fescuehub/fescuehub/pkg/routing"
)

// Policy is a named selector of replicas.
type Policy struct {
	Name string
	New  func(Caches) decision.Selector
}

// Policies returns the baselines and the selector that entries use.
func Policies() []Policy {
	return []Policy{
		{"round robin", func(Caches) decision.Selector { return &decision.RoundRobin{} }},
		{"random", func(Caches) decision.Selector { return decision.Random{} }},
		{"least in flight", func(Caches) decision.Selector { return decision.LeastInFlight{} }},
		{"standard", func(Caches) decision.Selector { return decision.Standard() }},
	}
}

// Number of links of an entry at the sizes of the sites, which sets the heartbeat interval.
const (
	todayLinks = 15
	largeLinks = 40
)

// Sites returns the present sizes of both deployments and a larger one.
func Sites() []Site {
	engine := Engine{
		MaxBatch: 16, BaseStep: 14 * time.Millisecond, PerRequest: 300 * time.Microsecond,
		PerPromptToken: 100 * time.Microsecond, ChunkTokens: 128, CachePrefixes: 48,
	}
	arcos := Site{
		Name: "arcos", Entries: 9, Replicas: 12, Domains: 3, Engine: engine,
		Workload: Workload{
			RequestsPerReplica: 3, Organisations: 10, LargeOrganisations: 3, Prefixes: 400, ZipfExponent: 0.9, PrivatePrefixShare: 0.5,
			PrefixTokens: 1000, SuffixTokens: 100, OutputTokens: 120,
		},
		Length: 5 * time.Minute, SameDomainLatency: 200 * time.Microsecond, CrossDomainLatency: time.Millisecond,
		StatusInterval: membership.HeartbeatInterval(todayLinks), LoadReportLag: 200 * time.Millisecond,
	}
	somes := arcos
	somes.Name = "somes"
	somes.CrossDomainLatency = 500 * time.Microsecond
	somes.Workload.RequestsPerReplica = 1.2
	somes.Workload.PrefixTokens = 2000
	somes.Workload.OutputTokens = 280
	large := arcos
	large.Name = "large"
	large.Entries, large.Replicas, large.Domains = 40, 400, 4
	large.Workload.Organisations, large.Workload.LargeOrganisations = 480, 12
	large.Workload.Prefixes = 12_000
	large.Length = 2 * time.Minute
	large.StatusInterval = membership.HeartbeatInterval(largeLinks)
	return []Site{arcos, somes, large}
}

// Faults lists the faults that every policy is run with.
var Faults = []Fault{NoFault, PrefixDrift, StalledGroup, DomainLost}

// Result is one row of the table. Times are in milliseconds. Lost counts requests without an
// answer, FailedAttempts the attempts at lost replicas.
type Result struct {
	Site           string  `json:"site"`
	Fault          Fault   `json:"fault"`
	Policy         string  `json:"policy"`
	Requests       int     `json:"requests"`
	Lost           int     `json:"lost"`
	FailedAttempts int     `json:"noticed"`
	FirstMedian    float64 `json:"firstTokenMedianMS"`
	First95        float64 `json:"firstToken95MS"`
	First99        float64 `json:"firstToken99MS"`
	Between95      float64 `json:"betweenTokens95MS"`
	HitShare       float64 `json:"cacheHitShare"`
	WithinTargets  float64 `json:"withinTargetsShare"`
}

// Run simulates every fault with every policy at every site.
func Run(sites []Site, policies []Policy, seed uint64) []Result {
	results := make([]Result, len(sites)*len(Faults)*len(policies))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	i := 0
	for _, site := range sites {
		for _, fault := range Faults {
			for _, policy := range policies {
				at := i
				group.Go(func() error {
					results[at] = run(site, fault, policy.New, seed).result(site.Name, fault, policy.Name)
					return nil
				})
				i++
			}
		}
	}
	_ = group.Wait()
	return results
}

// parallelRuns is the maximum number of simulations that run at once.
const parallelRuns = 4

// Latency targets of the users.
const (
	firstTokenTarget    = time.Second
	betweenTokensTarget = 39 * time.Millisecond
)

// collector collects the figures of one run.
type collector struct {
	firstTokenMS, betweenTokensMS []float64
	hits                          int
	withinTargets                 int
	lost, failedAttempts          int
}

func (c *collector) add(q *request, replyLatency time.Duration) {
	first := q.firstAt + replyLatency - q.arrival
	c.firstTokenMS = append(c.firstTokenMS, milliseconds(first))
	between := time.Duration(0)
	if q.tokensProduced > 1 {
		between = (q.lastAt - q.firstAt) / time.Duration(q.tokensProduced-1)
	}
	c.betweenTokensMS = append(c.betweenTokensMS, milliseconds(between))
	if q.cacheHit {
		c.hits++
	}
	if first <= firstTokenTarget && between <= betweenTokensTarget {
		c.withinTargets++
	}
}

func (c *collector) result(site string, fault Fault, policy string) Result {
	slices.Sort(c.firstTokenMS)
	slices.Sort(c.betweenTokensMS)
	n := len(c.firstTokenMS)
	return Result{
		Site: site, Fault: fault, Policy: policy, Requests: n + c.lost, Lost: c.lost, FailedAttempts: c.failedAttempts,
		FirstMedian: quantile(c.firstTokenMS, 0.5), First95: quantile(c.firstTokenMS, 0.95), First99: quantile(c.firstTokenMS, 0.99),
		Between95: quantile(c.betweenTokensMS, 0.95),
		HitShare:  share(c.hits, n), WithinTargets: share(c.withinTargets, n+c.lost),
	}
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Write prints the results as a table.
func Write(out io.Writer, results []Result) {
	fmt.Fprintln(out, "| site | run | policy | requests | lost | noticed | first token ms: median | 95th | 99th | between tokens ms: 95th | cache hits | within targets |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		fmt.Fprintf(out, "| %s | %s | %s | %d | %d | %d | %.0f | %.0f | %.0f | %.1f | %.3f | %.3f |\n", r.Site, r.Fault, r.Policy,
			r.Requests, r.Lost, r.FailedAttempts, r.FirstMedian, r.First95, r.First99, r.Between95, r.HitShare, r.WithinTargets)
	}
}

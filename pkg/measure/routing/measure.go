// Package routing measures the choice of replicas of package routing on a
// small model of the replicas in virtual time: continuous batching, prompt
// processing against cache hits, limited prefix caches, late load reports, and
// entries that each have their own view. It has no socket and no clock.
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

// Policy is one way to choose replicas.
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

// Links of an entry at the sizes of the sites.
const (
	todayLinks = 15
	largeLinks = 40
)

// Sites returns today's sizes of both deployments and a larger one.
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

// Faults lists what the runs go through.
var Faults = []Fault{NoFault, PrefixDrift, StalledGroup, DomainLost}

// Result is one row of the table. Times are in milliseconds.
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

// Run plays every fault with every policy.
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

// parallelRuns bounds the runs that share the processor.
const parallelRuns = 4

// Targets of the letter.
const (
	firstTarget   = time.Second
	betweenTarget = 39 * time.Millisecond
)

// collector gathers the figures of one run.
type collector struct {
	first, between []float64
	hits           int
	within         int
	lost, noticed  int
}

func (c *collector) add(q *request, back time.Duration) {
	first := q.firstAt + back - q.arrival
	c.first = append(c.first, milliseconds(first))
	between := time.Duration(0)
	if q.produced > 1 {
		between = (q.lastAt - q.firstAt) / time.Duration(q.produced-1)
	}
	c.between = append(c.between, milliseconds(between))
	if q.hit {
		c.hits++
	}
	if first <= firstTarget && between <= betweenTarget {
		c.within++
	}
}

func (c *collector) result(site string, fault Fault, policy string) Result {
	slices.Sort(c.first)
	slices.Sort(c.between)
	n := len(c.first)
	return Result{
		Site: site, Fault: fault, Policy: policy, Requests: n + c.lost, Lost: c.lost, FailedAttempts: c.noticed,
		FirstMedian: quantile(c.first, 0.5), First95: quantile(c.first, 0.95), First99: quantile(c.first, 0.99),
		Between95: quantile(c.between, 0.95),
		HitShare:  share(c.hits, n), WithinTargets: share(c.within, n+c.lost),
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

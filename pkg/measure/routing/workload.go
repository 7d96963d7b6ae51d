package routing

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Workload describes the requests of a run.
type Workload struct {
	// RequestsPerReplica is the mean number of requests a second for each replica.
	RequestsPerReplica float64
	// Organisations, of which the first LargeOrganisations send half of all requests.
	Organisations, LargeOrganisations int
	// Prefixes is the number of different prefixes, used with a Zipf
	// distribution of the given exponent.
	Prefixes     int
	ZipfExponent float64
	// PrivatePrefixShare is the share of requests whose prefix belongs to the
	// organisation alone; the others' prefixes are shared by all.
	PrivatePrefixShare float64
	// Tokens of a prefix, of the rest of a prompt, and of an answer; the last
	// two are means of geometric distributions.
	PrefixTokens, SuffixTokens, OutputTokens int
}

// source makes the requests in order of arrival.
type source struct {
	load   Workload
	random *rand.Rand
	rate   float64
	drift  bool
	length time.Duration
	popul  []float64
	now    time.Duration
}

func newSource(load Workload, replicas int, drift bool, length time.Duration, seed uint64) *source {
	s := &source{
		load: load, random: rand.New(rand.NewPCG(seed, 2)), drift: drift, length: length,
		rate: load.RequestsPerReplica * float64(replicas), popul: make([]float64, load.Prefixes),
	}
	sum := 0.0
	for i := range s.popul {
		sum += 1 / math.Pow(float64(i+1), load.ZipfExponent)
		s.popul[i] = sum
	}
	for i := range s.popul {
		s.popul[i] /= sum
	}
	return s
}

// next returns the next request, or nil after the end of the run.
func (s *source) next() *request {
	s.now += time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second))
	if s.now > s.length {
		return nil
	}
	organisation := s.organisation()
	return &request{
		arrival:      s.now,
		organisation: organisation,
		prefix:       s.prefix(organisation),
		prefixTokens: s.load.PrefixTokens,
		ownTokens:    1 + s.geometric(s.load.SuffixTokens),
		outputTokens: 1 + s.geometric(s.load.OutputTokens),
	}
}

func (s *source) organisation() int {
	if s.random.IntN(2) == 0 {
		return s.random.IntN(s.load.LargeOrganisations)
	}
	return s.load.LargeOrganisations + s.random.IntN(s.load.Organisations-s.load.LargeOrganisations)
}

// prefix draws a prefix. With drift the ranks move over to another set of
// prefixes in the course of the run.
func (s *source) prefix(organisation int) uint64 {
	rank := sort.SearchFloat64s(s.popul, s.random.Float64())
	rank = min(rank, len(s.popul)-1)
	if s.drift && s.random.Float64() < float64(s.now)/float64(s.length) {
		rank += s.load.Prefixes
	}
	if s.random.Float64() < s.load.PrivatePrefixShare {
		rank = rank%max(1, s.load.Prefixes/s.load.Organisations) + 2*s.load.Prefixes*(organisation+1)
	}
	return uint64(rank)*0x9e3779b97f4a7c15 + 1
}

func (s *source) geometric(mean int) int {
	return int(s.random.ExpFloat64() * float64(mean))
}

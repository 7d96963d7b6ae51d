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
	// Organisations is the number of organisations, of which the first LargeOrganisations send half
	// of all requests.
	Organisations, LargeOrganisations int
	// Prefixes is the number of distinct prefixes. Their popularity has a Zipf distribution with
	// ZipfExponent.
	Prefixes     int
	ZipfExponent float64
	// PrivatePrefixShare is the share of requests whose prefix only their organisation uses. The
	// other prefixes are shared by all organisations.
	PrivatePrefixShare float64
	// PrefixTokens, SuffixTokens and OutputTokens are the tokens of a prefix, of the rest of a
	// prompt and of an answer. The last two are means of geometric distributions.
	PrefixTokens, SuffixTokens, OutputTokens int
}

// source generates the requests of a run in order of arrival.
type source struct {
	workload   Workload
	random     *rand.Rand
	rate       float64
	drift      bool
	length     time.Duration
	cumulative []float64
	now        time.Duration
}

func newSource(workload Workload, replicas int, drift bool, length time.Duration, seed uint64) *source {
	s := &source{
		workload: workload, random: rand.New(rand.NewPCG(seed, 2)), drift: drift, length: length,
		rate: workload.RequestsPerReplica * float64(replicas), cumulative: make([]float64, workload.Prefixes),
	}
	sum := 0.0
	for i := range s.cumulative {
		sum += 1 / math.Pow(float64(i+1), workload.ZipfExponent)
		s.cumulative[i] = sum
	}
	for i := range s.cumulative {
		s.cumulative[i] /= sum
	}
	return s
}

// next returns the next request, or nil after the end of the run.
func (s *source) next() *request {
	s.now += time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second))
	if s.now > s.length {
		return nil
	}
	organisation := s.drawOrganisation()
	return &request{
		arrival:      s.now,
		organisation: organisation,
		prefix:       s.drawPrefix(organisation),
		prefixTokens: s.workload.PrefixTokens,
		suffixTokens: 1 + s.geometric(s.workload.SuffixTokens),
		outputTokens: 1 + s.geometric(s.workload.OutputTokens),
	}
}

func (s *source) drawOrganisation() int {
	if s.random.IntN(2) == 0 {
		return s.random.IntN(s.workload.LargeOrganisations)
	}
	return s.workload.LargeOrganisations + s.random.IntN(s.workload.Organisations-s.workload.LargeOrganisations)
}

// drawPrefix returns a random prefix. With drift, popularity moves to another set of prefixes in
// the course of the run.
func (s *source) drawPrefix(organisation int) uint64 {
	rank := sort.SearchFloat64s(s.cumulative, s.random.Float64())
	rank = min(rank, len(s.cumulative)-1)
	if s.drift && s.random.Float64() < float64(s.now)/float64(s.length) {
		rank += s.workload.Prefixes
	}
	if s.random.Float64() < s.workload.PrivatePrefixShare {
		rank = rank%max(1, s.workload.Prefixes/s.workload.Organisations) + 2*s.workload.Prefixes*(organisation+1)
	}
	return uint64(rank)*0x9e3779b97f4a7c15 + 1
}

func (s *source) geometric(mean int) int {
	return int(s.random.ExpFloat64() * float64(mean))
}

// Package load sends open-loop traffic to entries on loopback and measures the responses. Arrivals
// follow a seeded plan and do not wait for responses. Latencies are measured from the planned
// arrival, so that a slow system cannot reduce the load and its own latencies (coordinated
// omission).
package load

import (
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Kind is the kind of a planned request.
type Kind string

// The kinds of request.
const (
	ModelStream Kind = "model-stream"
	ModelUnary  Kind = "model-whole"
	Read        Kind = "read"
	Write       Kind = "write"
)

// Shape is the profile of the arrival rate over a run.
type Shape string

// The shapes.
const (
	// Steady is a constant rate.
	Steady Shape = "steady"
	// Day is the profile of a working day: a low rate at both ends, a peak before noon and a lower
	// one in the afternoon. Options.Rate is the rate at the first peak.
	Day Shape = "day"
)

// The limits of a run.
const (
	// MaxRate is in arrivals per second.
	MaxRate     = 2000.0
	MaxDuration = 10 * time.Minute
	MaxInFlight = 4096
)

// Organisation is the source of a share of the requests, in proportion to its weight.
type Organisation struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// Options describe a run.
type Options struct {
	// Entries are the caller addresses of entries, on loopback.
	Entries []string `json:"entries"`
	Seed    uint64   `json:"seed"`
	// Rate is the number of arrivals per second, at the first peak for the shape Day.
	Rate          float64        `json:"rate"`
	Duration      time.Duration  `json:"durationNanos"`
	Shape         Shape          `json:"shape"`
	Organisations []Organisation `json:"organisations"`
	// ModelRoute and ServiceRoute are the target routes. One of them may be empty.
	ModelRoute   string `json:"modelRoute,omitempty"`
	ServiceRoute string `json:"serviceRoute,omitempty"`
	// ModelShare is the fraction of the requests that go to the model route, and WriteShare the
	// fraction of the others that are unrepeatable writes.
	ModelShare float64 `json:"modelPart"`
	WriteShare float64 `json:"writePart"`
	// Tokens is the length of a model response.
	Tokens int `json:"tokens"`
	// Prompts is the number of different prompts.
	Prompts int `json:"prompts"`
	// Timeout is the time from the planned arrival after which a request counts as failed.
	Timeout time.Duration `json:"timeoutNanos"`
}

// Validate returns the first error in the options, of the kind BadSettings.
func (o Options) Validate() error {
	for _, e := range o.Entries {
		if !isLoopback(e) {
			return settingsError("name a loopback address such as 127.0.0.1:7100", "entry address %q is not an IP address and port on loopback", e)
		}
	}
	switch {
	case len(o.Entries) == 0:
		return settingsError("name the caller address of an entry with --entry", "no entry address is given")
	case o.Rate <= 0 || o.Rate > MaxRate:
		return settingsError("set --rate above 0 and up to 2000", "the rate %v is out of range", o.Rate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return settingsError("set --for above 0 and up to 10m", "the duration %v is out of range", o.Duration)
	case o.ModelRoute == "" && o.ServiceRoute == "":
		return settingsError("name a route with --model or --service", "no route is given")
	case o.Shape != Steady && o.Shape != Day:
		return settingsError("set --shape to steady or day", "the shape %q is unknown", o.Shape)
	case o.ModelShare < 0 || o.ModelShare > 1 || o.WriteShare < 0 || o.WriteShare > 1:
		return settingsError("set --model-part and --write-part from 0 to 1", "the model part or the write part is out of range")
	case len(o.Organisations) == 0 || o.Prompts < 1 || o.Tokens < 1 || o.Timeout <= 0:
		return settingsError("set positive numbers and at least one organisation", "organisations, prompts, tokens or timeout are missing or not positive")
	}
	return nil
}

func settingsError(remedy, format string, args ...any) error {
	return problem.New(problem.BadSettings, remedy, format, args...)
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}

// Arrival is one planned request. At is the time since the start of the run, Prompt the number of
// the prompt, and Entry an index into Options.Entries.
type Arrival struct {
	At           time.Duration
	Kind         Kind
	Organisation string
	Prompt       int
	Entry        int
}

// Plan returns the arrivals of a run, a Poisson process that is thinned according to the shape.
// The same options give the same plan.
func Plan(o Options) []Arrival {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	var plan []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second))
		if at >= o.Duration {
			return plan
		}
		if random.Float64() >= o.rateFactor(at) {
			continue
		}
		plan = append(plan, Arrival{
			At:           at,
			Kind:         o.pickKind(random),
			Organisation: o.pickOrganisation(random),
			Prompt:       random.IntN(o.Prompts),
			Entry:        random.IntN(len(o.Entries)),
		})
	}
}

// The shape of a day: the times and the width of the peaks as fractions of the run, and the base
// rate as a fraction of the peak rate.
const (
	morningPeak   = 0.35
	afternoonPeak = 0.7
	peakWidth     = 0.12
	baseRate      = 0.1
)

// rateFactor returns the fraction of the rate that the shape has at a time of the run.
func (o Options) rateFactor(at time.Duration) float64 {
	if o.Shape != Day {
		return 1
	}
	t := float64(at) / float64(o.Duration)
	peak := func(center float64) float64 {
		return math.Exp(-(t - center) * (t - center) / (2 * peakWidth * peakWidth))
	}
	return min(1, baseRate+(1-baseRate)*peak(morningPeak)+0.6*peak(afternoonPeak))
}

// pickKind draws the kind of a request. One of four model requests does not stream.
func (o Options) pickKind(random *rand.Rand) Kind {
	model := o.ServiceRoute == "" || o.ModelRoute != "" && random.Float64() < o.ModelShare
	switch {
	case model && random.IntN(4) == 0:
		return ModelUnary
	case model:
		return ModelStream
	case random.Float64() < o.WriteShare:
		return Write
	}
	return Read
}

// pickOrganisation draws an organisation in proportion to its weight.
func (o Options) pickOrganisation(random *rand.Rand) string {
	sum := 0.0
	for _, organisation := range o.Organisations {
		sum += organisation.Weight
	}
	remaining := random.Float64() * sum
	for _, organisation := range o.Organisations {
		if remaining -= organisation.Weight; remaining < 0 {
			return organisation.Name
		}
	}
	return o.Organisations[len(o.Organisations)-1].Name
}

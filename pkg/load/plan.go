// Package load sends open-loop traffic to entries on loopback and measures
// what callers get. Arrivals follow a seeded plan and never wait for answers;
// each time is counted from the planned arrival, so that a slow system cannot
// hide its slowness by holding the sender back.
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

// Shape is the course of the arrival rate over a run.
type Shape string

// The shapes.
const (
	// Steady keeps the rate.
	Steady Shape = "steady"
	// Day runs through a working day: quiet at both ends, a peak before noon and
	// a lower one in the afternoon. The rate is that of the first peak.
	Day Shape = "day"
)

// The bounds of a run.
const (
	MaxRate     = 2000.0
	MaxDuration = 10 * time.Minute
	MaxInFlight = 4096
)

// Organisation is a part of the mix.
type Organisation struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// Options describe a run.
type Options struct {
	// Entries are the caller addresses of entries, on loopback.
	Entries []string `json:"entries"`
	Seed    uint64   `json:"seed"`
	// Rate is the number of arrivals a second.
	Rate          float64        `json:"rate"`
	Duration      time.Duration  `json:"durationNanos"`
	Shape         Shape          `json:"shape"`
	Organisations []Organisation `json:"organisations"`
	// ModelRoute and ServiceRoute may be empty, not both.
	ModelRoute   string `json:"modelRoute,omitempty"`
	ServiceRoute string `json:"serviceRoute,omitempty"`
	// ModelShare is the part of the requests that go to the model route, and
	// WriteShare the part of the others that are unrepeatable.
	ModelShare float64 `json:"modelPart"`
	WriteShare float64 `json:"writePart"`
	// Tokens is the length of an answer.
	Tokens int `json:"tokens"`
	// Prompts is the number of different prompts.
	Prompts int `json:"prompts"`
	// Timeout ends a request that has no whole answer.
	Timeout time.Duration `json:"timeoutNanos"`
}

// Validate returns the fault of the options, of the kind BadSettings.
func (o Options) Validate() error {
	for _, e := range o.Entries {
		if !loopback(e) {
			return bad("name a loopback address such as 127.0.0.1:7100", "entry address %q is not an IP address and port on loopback", e)
		}
	}
	switch {
	case len(o.Entries) == 0:
		return bad("name the caller address of an entry with --entry", "no entry is named")
	case o.Rate <= 0 || o.Rate > MaxRate:
		return bad("write a rate above 0 and up to 2000", "the rate %v is out of range", o.Rate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return bad("write a time up to 10m", "the duration %v is out of range", o.Duration)
	case o.ModelRoute == "" && o.ServiceRoute == "":
		return bad("name a route with --model or --service", "no route is named")
	case o.Shape != Steady && o.Shape != Day:
		return bad("write steady or day", "the shape %q is unknown", o.Shape)
	case o.ModelShare < 0 || o.ModelShare > 1 || o.WriteShare < 0 || o.WriteShare > 1:
		return bad("write parts from 0 to 1", "a part is out of range")
	case len(o.Organisations) == 0 || o.Prompts < 1 || o.Tokens < 1 || o.Timeout <= 0:
		return bad("write positive numbers and at least one organisation", "organisations, prompts, tokens or timeout are missing")
	}
	return nil
}

func bad(remedy, format string, args ...any) error {
	return problem.New(problem.BadSettings, remedy, format, args...)
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}

// Arrival is one planned request.
type Arrival struct {
	At           time.Duration
	Kind         Kind
	Organisation string
	Prompt       int
	Entry        int
}

// Plan returns the arrivals of a run. The same options give the same plan.
func Plan(o Options) []Arrival {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	var plan []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second))
		if at >= o.Duration {
			return plan
		}
		if random.Float64() >= o.level(at) {
			continue
		}
		plan = append(plan, Arrival{
			At:           at,
			Kind:         o.kind(random),
			Organisation: o.organisation(random),
			Prompt:       random.IntN(o.Prompts),
			Entry:        random.IntN(len(o.Entries)),
		})
	}
}

// The peaks of a day, as parts of its length.
const (
	morningPeak   = 0.35
	afternoonPeak = 0.7
	peakWidth     = 0.12
	nightLevel    = 0.1
)

// level returns the part of the rate at a time of the run.
func (o Options) level(at time.Duration) float64 {
	if o.Shape != Day {
		return 1
	}
	t := float64(at) / float64(o.Duration)
	peak := func(center float64) float64 {
		return math.Exp(-(t - center) * (t - center) / (2 * peakWidth * peakWidth))
	}
	return min(1, nightLevel+(1-nightLevel)*peak(morningPeak)+0.6*peak(afternoonPeak))
}

func (o Options) kind(random *rand.Rand) Kind {
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

func (o Options) organisation(random *rand.Rand) string {
	sum := 0.0
	for _, g := range o.Organisations {
		sum += g.Weight
	}
	at := random.Float64() * sum
	for _, g := range o.Organisations {
		if at -= g.Weight; at < 0 {
			return g.Name
		}
	}
	return o.Organisations[len(o.Organisations)-1].Name
}

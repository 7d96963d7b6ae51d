// Package fleet defines the data model of a deployment in which entries send
// requests directly to backend servers: the configuration that the operators
// have accepted, the announced backend servers, and the reports of their
// engines.
package fleet

import "time"

// Kind determines whether requests of a route may be repeated.
type Kind string

// The kinds of route.
const (
	// Safe requests may run any number of times.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by a series of events. They run at most
	// once unless the route is resumable.
	Streaming Kind = "streaming"
)

// Target is one service of a route and its weight.
type Target struct {
	Service string
	Weight  float64
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the objective for the time to the answer, or to the first
	// event of a stream.
	TargetLatency time.Duration
	// TargetGap is the objective for the longest pause between events.
	TargetGap time.Duration
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the number of backend servers that one request is sent
	// to.
	MaxAttempts int
	// Anonymous is true if requests need no key.
	Anonymous bool
	// Resumable is true if another execution may continue an interrupted stream.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Organisation is a tenant, identified by its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's; nil if it is not set.
	Priority *int
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Engine holds the capacity and timing parameters of a service's model engines.
type Engine struct {
	// Slots is the number of requests that one engine processes at once.
	Slots int
	// KVCapacity is the size of an engine's KV cache for prompts and answers, in
	// tokens.
	KVCapacity int
	// Stride is the number of token steps in one pass.
	Stride int
	// StepMS, PerRequestMS and ContextMSPerK determine the duration of a token
	// step: a constant part, a part for each running request, and a part for each
	// 1000 tokens of context, in milliseconds.
	StepMS, PerRequestMS, ContextMSPerK float64
	// PrefillTokensPerSecond is the rate at which prompts are processed.
	PrefillTokensPerSecond float64
	// MeanPromptTokens and MeanAnswerTokens are the mean token counts of a request.
	MeanPromptTokens, MeanAnswerTokens float64
	// Sets, Experts, Places and Spare are the dimensions of the expert map: the
	// number of layer sets, of experts per set, of expert places per rank and set,
	// and of experts per set that a rank can load at the same time.
	Sets, Experts, Places, Spare int
	// ExpertShare is the fraction of a token's work that experts do.
	ExpertShare float64
	// FormTime is how long a group takes to form again after it broke.
	FormTime time.Duration
	// ExpertMB is the size of an expert in megabytes, LinkMbps the rate in megabits
	// per second at which a rank copies experts; 0 if they are not stated.
	ExpertMB, LinkMbps float64
}

// CopyTime returns the time in which a rank copies one expert; 0 if the
// configuration does not state it.
func (e *Engine) CopyTime() time.Duration {
	if !(e.ExpertMB > 0 && e.LinkMbps > 0) {
		return 0
	}
	return time.Duration(min(e.ExpertMB*8/e.LinkMbps, maxCopyTime.Seconds()) * float64(time.Second))
}

// maxCopyTime bounds CopyTime: the configuration is not checked for sense.
const maxCopyTime = time.Minute

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one backend server, summed over
	// all entries.
	MaxConnections int
	// ColdStart is how long a backend server is cold after it started.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold backend server can handle, summed over all
	// entries; 0 if there is no such limit.
	ColdPerSecond float64
	// Engine is nil for services that are not model engines.
	Engine *Engine
}

// Configuration is a configuration that the operators have accepted. It is
// immutable.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

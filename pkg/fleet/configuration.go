// Package fleet describes a deployment in which entries send requests straight
// to backend servers: the configuration that operators have accepted, the
// backend servers that are announced, and what is known of their engines.
package fleet

import "time"

// Kind says what may be repeated of a request.
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

// Route leads the requests of a host below a path to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event, that the
	// operators aim at.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that they aim at.
	TargetGap time.Duration
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may be continued by another run.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Organisation is a holder of keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's; nil where there is none.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Engine holds the figures of a service's model engines.
type Engine struct {
	// Slots is the number of requests that one engine processes at once.
	Slots int
	// KVCapacity is an engine's memory for prompts and answers, in tokens.
	KVCapacity int
	// Stride is the number of token steps of one pass.
	Stride int
	// StepMS, PerRequestMS and ContextMSPerK give the time of a token step.
	StepMS, PerRequestMS, ContextMSPerK float64
	// PrefillTokensPerSecond is the rate at which prompts are read, in tokens.
	PrefillTokensPerSecond float64
	// MeanPromptTokens and MeanAnswerTokens are mean token counts of a request.
	MeanPromptTokens, MeanAnswerTokens float64
	// Sets, Experts, Places and Spare size the expert map: sets of layers,
	// experts of a set, places of a rank and set, and experts that a rank may
	// copy anew in a set at once.
	Sets, Experts, Places, Spare int
	// ExpertShare is the part of a token's work that experts do.
	ExpertShare float64
	// FormTime is how long a group takes to form anew.
	FormTime time.Duration
}

// Service is a set of like backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one backend server, summed over
	// all entries.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Configuration is what the operators have accepted. It is never changed.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

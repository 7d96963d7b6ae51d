// Package group simulates, in virtual time, a group of engines that the product serves: passes that
// all ranks execute together, shifts in the demand for experts, stalls, and delayed reports. It
// drives the product's own decision packages (balance, popularity, evenplan, mapswitch), so that a
// change to one of them can be evaluated in seconds.
package group

import "time"

// Site is the size, the workload and the latency targets of one group.
type Site struct {
	Name           string
	Entries, Ranks int
	// Sets is the number of layer sets of the expert maps, Experts the number of experts in each
	// set. Places and Spare are those of evenplan.Limits.
	Sets, Experts, Places, Spare int
	// Slots is the number of streams that a rank generates at once.
	Slots int
	// EventsPerStream is the number of events of a stream, StepsPerEvent the number of steps of
	// each event.
	EventsPerStream, StepsPerEvent int
	// StepMSPerStream is the time in ms that each running stream of a rank adds to a step.
	StepMSPerStream float64
	// PopularityExponent is the exponent of the power law of expert popularity.
	PopularityExponent float64
	// ArrivalsPerSecond is the mean number of streams that arrive a second.
	ArrivalsPerSecond float64
	// PromptTokens is the number of prompt tokens of a stream.
	PromptTokens float64
	// FirstEventTarget and GapTarget are the latency targets for the first event and for the gap
	// between two events.
	FirstEventTarget, GapTarget time.Duration
}

// Small and Large are the two sizes of the group on the operators' platform.
var (
	Small = Site{
		Name: "12 ranks", Entries: 9, Ranks: 12, Sets: 4, Experts: 72, Places: 8, Spare: 3, Slots: 12,
		EventsPerStream: 28, StepsPerEvent: 5, StepMSPerStream: 0.355, PopularityExponent: 1.3, ArrivalsPerSecond: 43, PromptTokens: 850, FirstEventTarget: 400 * time.Millisecond, GapTarget: 120 * time.Millisecond,
	}
	Large = Site{
		Name: "63 ranks", Entries: 35, Ranks: 63, Sets: 8, Experts: 252, Places: 5, Spare: 2, Slots: 10,
		EventsPerStream: 23, StepsPerEvent: 6, StepMSPerStream: 0.426, PopularityExponent: 0.65, ArrivalsPerSecond: 259, PromptTokens: 840, FirstEventTarget: 400 * time.Millisecond, GapTarget: 120 * time.Millisecond,
	}
)

// Figures of the engines, from the operators' specification.
const (
	// stepMS is the time of a step without streams.
	stepMS = 5.85
	// firstEventOverhead is the latency of a first event beyond the passes.
	firstEventOverhead = 80 * time.Millisecond
	// promptTokensPerMS is the rate at which a rank processes prompt tokens.
	promptTokensPerMS = 61.2
	// chunkTokens is the maximum number of prompt tokens that a step processes.
	chunkTokens = 512
	// expertTimeShare is the share of the token processing time that is spent in experts.
	expertTimeShare = 0.85
	// reportInterval is the time between two reports of the engines' loads.
	reportInterval = 200 * time.Millisecond
	// sharedChoiceShare is the share of expert choices that all prompts have in common. The topic
	// of a prompt determines the rest; topics is the number of topics.
	sharedChoiceShare = 0.65
	topics            = 9
	// shiftTime is how long a shift of demand takes, shiftShare the share of the sets that it
	// changes.
	shiftTime  = 400 * time.Millisecond
	shiftShare = 0.78
	// abandonAfter is how long a caller waits without an event.
	abandonAfter = 2 * time.Second
	// retryDelay is the time after which a refused caller tries again, once.
	retryDelay = 400 * time.Millisecond
	// prepareTime is how long it takes to copy the experts of a map.
	prepareTime = 130 * time.Millisecond
)

// Load is a pattern of load and faults.
type Load struct {
	Name string
	// ArrivalFactor multiplies the arrivals; 0 leaves them as they are.
	ArrivalFactor float64
	// ShiftInterval is the time between two shifts of demand; 0 means no shifts.
	ShiftInterval time.Duration
	// Stall is how long the group executes no pass, once, after a third of Length.
	Stall time.Duration
	// Length is the time during which callers arrive.
	Length time.Duration
}

// Loads lists the load patterns that the product is measured with.
var Loads = []Load{
	{Name: "quiet", Length: 30 * time.Second},
	{Name: "shifts", ShiftInterval: 2700 * time.Millisecond, Length: 30 * time.Second},
	{Name: "stall", Stall: 2 * time.Second, Length: 30 * time.Second},
	{Name: "stall at the limit", ArrivalFactor: 1.9, Stall: 2 * time.Second, Length: 30 * time.Second},
}

// Variant is one configuration of the decisions.
type Variant struct {
	Name string
	// PlanMaps enables the planner of expert maps.
	PlanMaps bool
	// PollInterval is the time between two polls of the planner.
	PollInterval time.Duration
	// PlanTime is how long it takes to make a plan.
	PlanTime time.Duration
	// SwitchMargin is the number of passes before a switch; 0 uses mapswitch.HoldMargin.
	SwitchMargin int64
	// RefuseRequests enables refusals of requests whose expected wait is too long.
	RefuseRequests bool
}

// Variants are the product as built, and the same with one decision removed or delayed.
var Variants = []Variant{
	{Name: "as built", PlanMaps: true, PollInterval: 150 * time.Millisecond, PlanTime: 40 * time.Millisecond, RefuseRequests: true},
	{Name: "no refusals", PlanMaps: true, PollInterval: 150 * time.Millisecond, PlanTime: 40 * time.Millisecond},
	{Name: "held at the ninth pass", PlanMaps: true, PollInterval: 150 * time.Millisecond, PlanTime: 40 * time.Millisecond, SwitchMargin: 9, RefuseRequests: true},
	{Name: "looks each 0.6 s", PlanMaps: true, PollInterval: 600 * time.Millisecond, PlanTime: 40 * time.Millisecond, RefuseRequests: true},
	{Name: "plans take 0.3 s", PlanMaps: true, PollInterval: 150 * time.Millisecond, PlanTime: 300 * time.Millisecond, RefuseRequests: true},
	{Name: "no maps", PollInterval: 150 * time.Millisecond, RefuseRequests: true},
}

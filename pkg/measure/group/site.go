// Package group is a model of the groups of engines that the product serves:
// passes that all ranks execute together, experts in demand that change, stalls, and
// reports that lag. It drives the product's own decisions (balance, popularity,
// evenplan, mapswitch) in virtual time, so that a change of one of them is compared in
// seconds.
package group

import "time"

// Site is one group with its load, in the figures of its users.
type Site struct {
	Name           string
	Entries, Ranks int
	// Sets, Experts, Places and Spare size the expert maps.
	Sets, Experts, Places, Spare int
	// Slots is the number of streams that a rank writes at once.
	Slots int
	// EventsPerStream is the number of events of a stream, StepsPerEvent the number of steps of each.
	EventsPerStream, StepsPerEvent int
	// StepMSPerStream is what each stream that a rank writes adds to a step, in ms.
	StepMSPerStream float64
	// PopularityExponent is the exponent of the experts' popularity.
	PopularityExponent float64
	// ArrivalsPerSecond is the number of streams a second.
	ArrivalsPerSecond float64
	// PromptTokens is the number of tokens that a stream's prompt has.
	PromptTokens float64
	// FirstEventTarget and GapTarget are the aims for the first event and the pauses.
	FirstEventTarget, GapTarget time.Duration
}

// Small and Large are the sites of the two milestones on the operators' platform.
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

// The engines' figures, as the operators' pages give them.
const (
	stepMS = 5.85
	// firstTime is what a first event takes beyond the passes.
	firstTime = 80 * time.Millisecond
	readPerMS = 61.2
	// chunk is the number of prompt tokens that a step reads at most.
	chunk = 512
	// expertShare is the share of the work for tokens that goes to experts.
	expertShare = 0.85
	// reportLag is the age of an engine's report.
	reportLag = 200 * time.Millisecond
	// common is the share of what all prompts choose alike, topics the number of
	// topics that choose the rest.
	common = 0.65
	topics = 9
	// shiftTime is how long a shift of demand takes, shiftShare the share of the sets
	// that it changes.
	shiftTime  = 400 * time.Millisecond
	shiftShare = 0.78
	// leaveTime is how long a caller waits without an event.
	leaveTime = 2 * time.Second
	// comeBack is when a refused caller comes back, once.
	comeBack = 400 * time.Millisecond
	// prepareTime is how long it takes to copy a map's experts.
	prepareTime = 130 * time.Millisecond
)

// Load is what happens to a site.
type Load struct {
	Name string
	// ArrivalFactor multiplies the arrivals; 0 for once.
	ArrivalFactor float64
	// ShiftInterval is the time between two shifts of demand; 0 for none.
	ShiftInterval time.Duration
	// Stall is how long the group stands still, once, a third into the run.
	Stall time.Duration
	// Length is how long callers arrive.
	Length time.Duration
}

// Loads are the patterns that the product is measured with.
var Loads = []Load{
	{Name: "quiet", Length: 30 * time.Second},
	{Name: "shifts", ShiftInterval: 2700 * time.Millisecond, Length: 30 * time.Second},
	{Name: "stall", Stall: 2 * time.Second, Length: 30 * time.Second},
	{Name: "stall at the limit", ArrivalFactor: 1.9, Stall: 2 * time.Second, Length: 30 * time.Second},
}

// Variant is one way to decide.
type Variant struct {
	Name string
	// PlanMaps turns the planner of expert maps on.
	PlanMaps bool
	// PollInterval is the time between two looks of the planner.
	PollInterval time.Duration
	// PlanTime is how long a plan takes.
	PlanTime time.Duration
	// SwitchMargin fixes the passes before a switch; 0 takes the product's.
	SwitchMargin int64
	// RefuseRequests turns refusals at a standing queue on.
	RefuseRequests bool
}

// Variants are the product's way, and the same with one decision less.
var Variants = []Variant{
	{Name: "as built", PlanMaps: true, PollInterval: 150 * time.Millisecond, PlanTime: 40 * time.Millisecond, RefuseRequests: true},
	{Name: "no refusals", PlanMaps: true, PollInterval: 150 * time.Millisecond, PlanTime: 40 * time.Millisecond},
	{Name: "held at the ninth pass", PlanMaps: true, PollInterval: 150 * time.Millisecond, PlanTime: 40 * time.Millisecond, SwitchMargin: 9, RefuseRequests: true},
	{Name: "looks each 0.6 s", PlanMaps: true, PollInterval: 600 * time.Millisecond, PlanTime: 40 * time.Millisecond, RefuseRequests: true},
	{Name: "plans take 0.3 s", PlanMaps: true, PollInterval: 150 * time.Millisecond, PlanTime: 300 * time.Millisecond, RefuseRequests: true},
	{Name: "no maps", PollInterval: 150 * time.Millisecond, RefuseRequests: true},
}

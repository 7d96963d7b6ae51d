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
	// Events is the number of events of a stream, Stride the number of steps of each.
	Events, Stride int
	// StreamMS is what each stream that a rank writes adds to a step, in ms.
	StreamMS float64
	// Tail is the exponent of the experts' popularity.
	Tail float64
	// Arrivals is the number of streams a second.
	Arrivals float64
	// Prompt is the number of tokens that a stream's prompt has.
	Prompt float64
	// Target and Gap are the aims for the first event and the pauses.
	Target, Gap time.Duration
}

// Small and Large are the sites of the two milestones on the operators' platform.
var (
	Small = Site{
		Name: "12 ranks", Entries: 9, Ranks: 12, Sets: 4, Experts: 72, Places: 8, Spare: 3, Slots: 12,
		Events: 28, Stride: 5, StreamMS: 0.355, Tail: 1.3, Arrivals: 43, Prompt: 850, Target: 400 * time.Millisecond, Gap: 120 * time.Millisecond,
	}
	Large = Site{
		Name: "63 ranks", Entries: 35, Ranks: 63, Sets: 8, Experts: 252, Places: 5, Spare: 2, Slots: 10,
		Events: 23, Stride: 6, StreamMS: 0.426, Tail: 0.65, Arrivals: 259, Prompt: 840, Target: 400 * time.Millisecond, Gap: 120 * time.Millisecond,
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
	// Times multiplies the arrivals; 0 for once.
	Times float64
	// Shift is the time between two shifts of demand; 0 for none.
	Shift time.Duration
	// Stall is how long the group stands still, once, a third into the run.
	Stall time.Duration
	// Length is how long callers arrive.
	Length time.Duration
}

// Loads are the patterns that the product is measured with.
var Loads = []Load{
	{Name: "quiet", Length: 30 * time.Second},
	{Name: "shifts", Shift: 2700 * time.Millisecond, Length: 30 * time.Second},
	{Name: "stall", Stall: 2 * time.Second, Length: 30 * time.Second},
	{Name: "stall at the limit", Times: 1.9, Stall: 2 * time.Second, Length: 30 * time.Second},
}

// Variant is one way to decide.
type Variant struct {
	Name string
	// Plans turns the planner of expert maps on.
	Plans bool
	// Look is the time between two looks of the planner.
	Look time.Duration
	// PlanTime is how long a plan takes.
	PlanTime time.Duration
	// Margin fixes the passes before a switch; 0 takes the product's.
	Margin int64
	// Refuses turns refusals at a standing queue on.
	Refuses bool
}

// Variants are the product's way, and the same with one decision less.
var Variants = []Variant{
	{Name: "as built", Plans: true, Look: 150 * time.Millisecond, PlanTime: 40 * time.Millisecond, Refuses: true},
	{Name: "no refusals", Plans: true, Look: 150 * time.Millisecond, PlanTime: 40 * time.Millisecond},
	{Name: "held at the ninth pass", Plans: true, Look: 150 * time.Millisecond, PlanTime: 40 * time.Millisecond, Margin: 9, Refuses: true},
	{Name: "looks each 0.6 s", Plans: true, Look: 600 * time.Millisecond, PlanTime: 40 * time.Millisecond, Refuses: true},
	{Name: "plans take 0.3 s", Plans: true, Look: 150 * time.Millisecond, PlanTime: 300 * time.Millisecond, Refuses: true},
	{Name: "no maps", Look: 150 * time.Millisecond, Refuses: true},
}

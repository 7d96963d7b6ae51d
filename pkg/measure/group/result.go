package group

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// Result is the outcome of one run.
type Result struct {
	Site    string `json:"site"`
	Load    string `json:"load"`
	Variant string `json:"variant"`
	// WithinTargets, Late, Refused and Abandoned are shares of the callers that arrived.
	WithinTargets float64 `json:"inAim"`
	Late          float64 `json:"late"`
	Refused       float64 `json:"refused"`
	Abandoned     float64 `json:"left"`
	// LowestWithinTargets is the lowest share within the targets over two successive seconds.
	LowestWithinTargets float64 `json:"worst"`
	// FirstMedian and FirstP99 are times to the first event in ms.
	FirstMedian float64 `json:"firstMedianMs"`
	FirstP99    float64 `json:"first99thMs"`
	// Skew is the mean load of the most loaded rank as a multiple of the mean load, LongPasses the
	// share of passes that exceed the target for gaps.
	Skew       float64 `json:"skew"`
	LongPasses float64 `json:"longPasses"`
	Maps       int     `json:"maps"`
	// WithinTargetsPerSecond is the share within the targets by second of arrival.
	WithinTargetsPerSecond []float64 `json:"seconds"`

	length          time.Duration
	seconds         []*secondCounts
	firstEventTimes []time.Duration
	passes          int
}

// secondCounts counts the callers that arrived in one second.
type secondCounts struct{ arrived, withinTargets, late, refused, abandoned float64 }

func newResult(s Site, l Load, v Variant) *Result {
	return &Result{Site: s.Name, Load: l.Name, Variant: v.Name, length: l.Length}
}

func (r *Result) recordArrival(at time.Duration) *secondCounts {
	for len(r.seconds) <= int(at/time.Second) {
		r.seconds = append(r.seconds, &secondCounts{})
	}
	s := r.seconds[len(r.seconds)-1]
	s.arrived++
	return s
}

func (r *Result) recordFirstEvent(d time.Duration) { r.firstEventTimes = append(r.firstEventTimes, d) }

func (r *Result) recordPass(skew float64, long bool) {
	r.passes++
	r.Skew += skew
	if long {
		r.LongPasses++
	}
}

func (r *Result) summarise() Result {
	var sum secondCounts
	r.LowestWithinTargets = 1
	for i, s := range r.seconds {
		sum.arrived, sum.withinTargets, sum.late = sum.arrived+s.arrived, sum.withinTargets+s.withinTargets, sum.late+s.late
		sum.refused, sum.abandoned = sum.refused+s.refused, sum.abandoned+s.abandoned
		r.WithinTargetsPerSecond = append(r.WithinTargetsPerSecond, s.withinTargets/max(s.arrived, 1))
		if i > 0 {
			previous := r.seconds[i-1]
			r.LowestWithinTargets = min(r.LowestWithinTargets, (s.withinTargets+previous.withinTargets)/max(s.arrived+previous.arrived, 1))
		}
	}
	arrived := max(sum.arrived, 1)
	r.WithinTargets, r.Late, r.Refused, r.Abandoned = sum.withinTargets/arrived, sum.late/arrived, sum.refused/arrived, sum.abandoned/arrived
	r.Skew, r.LongPasses = r.Skew/float64(max(r.passes, 1)), r.LongPasses/float64(max(r.passes, 1))
	slices.Sort(r.firstEventTimes)
	if n := len(r.firstEventTimes); n > 0 {
		r.FirstMedian, r.FirstP99 = milliseconds(r.firstEventTimes[n/2]), milliseconds(r.firstEventTimes[n*99/100])
	}
	return *r
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Measure runs every load with every variant at a site.
func Measure(s Site, seed uint64) []Result {
	var out []Result
	for _, l := range Loads {
		for _, v := range Variants {
			out = append(out, newSimulation(s, l, v, seed).run())
		}
	}
	return out
}

// Write prints the results as a table.
func Write(out io.Writer, results []Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "site\tload\tvariant\tin aim\tworst 2 s\tlate\trefused\tleft\tfirst p50 ms\tp99 ms\tskew\tlong passes\tmaps")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.2f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.2f\t%.3f\t%d\n",
			r.Site, r.Load, r.Variant, r.WithinTargets, r.LowestWithinTargets, r.Late, r.Refused, r.Abandoned, r.FirstMedian, r.FirstP99, r.Skew, r.LongPasses, r.Maps)
	}
	_ = w.Flush() // fails only if out does, and then the caller's next write to out fails too
}

// Plot writes an SVG plot of the share within the targets by second, for the results of one load.
func Plot(out io.Writer, load string, results []Result) error {
	c := chart.Chart{Title: "share in aim: " + load, XAxis: chart.XAxis{Name: "s"}, YAxis: chart.YAxis{Range: &chart.ContinuousRange{Max: 1}}}
	for _, r := range results {
		if r.Load != load {
			continue
		}
		line := chart.ContinuousSeries{Name: r.Variant, YValues: r.WithinTargetsPerSecond}
		for s := range r.WithinTargetsPerSecond {
			line.XValues = append(line.XValues, float64(s))
		}
		c.Series = append(c.Series, line)
	}
	c.Elements = []chart.Renderable{chart.LegendLeft(&c)}
	return c.Render(chart.SVG, out)
}

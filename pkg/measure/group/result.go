package group

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// Result is what came of one run.
type Result struct {
	Site    string `json:"site"`
	Load    string `json:"load"`
	Variant string `json:"variant"`
	// WithinTargets, Late, Refused and Left are shares of the callers that came.
	WithinTargets float64 `json:"inAim"`
	Late          float64 `json:"late"`
	Refused       float64 `json:"refused"`
	Abandoned     float64 `json:"left"`
	// LowestWithinTargets is the least share in aim of two seconds.
	LowestWithinTargets float64 `json:"worst"`
	// FirstMedian and First99th are times to the first event, in ms.
	FirstMedian float64 `json:"firstMedianMs"`
	FirstP99    float64 `json:"first99thMs"`
	// Skew is the mean load of the most loaded rank, LongPasses the share of passes
	// over the aim for pauses.
	Skew       float64 `json:"skew"`
	LongPasses float64 `json:"longPasses"`
	Maps       int     `json:"maps"`
	// WithinTargetsPerSecond is the share in aim by second.
	WithinTargetsPerSecond []float64 `json:"seconds"`

	length  time.Duration
	seconds []*second
	firsts  []time.Duration
	passes  int
}

// second counts the callers that came in one second.
type second struct{ asked, inAim, late, refused, left float64 }

func newResult(s Site, l Load, v Variant) *Result {
	return &Result{Site: s.Name, Load: l.Name, Variant: v.Name, length: l.Length}
}

func (r *Result) asked(at time.Duration) *second {
	for len(r.seconds) <= int(at/time.Second) {
		r.seconds = append(r.seconds, &second{})
	}
	s := r.seconds[len(r.seconds)-1]
	s.asked++
	return s
}

func (r *Result) first(d time.Duration) { r.firsts = append(r.firsts, d) }

func (r *Result) pass(skew float64, long bool) {
	r.passes++
	r.Skew += skew
	if long {
		r.LongPasses++
	}
}

func (r *Result) finish() Result {
	var sum second
	r.LowestWithinTargets = 1
	for i, s := range r.seconds {
		sum.asked, sum.inAim, sum.late = sum.asked+s.asked, sum.inAim+s.inAim, sum.late+s.late
		sum.refused, sum.left = sum.refused+s.refused, sum.left+s.left
		r.WithinTargetsPerSecond = append(r.WithinTargetsPerSecond, s.inAim/max(s.asked, 1))
		if i > 0 {
			before := r.seconds[i-1]
			r.LowestWithinTargets = min(r.LowestWithinTargets, (s.inAim+before.inAim)/max(s.asked+before.asked, 1))
		}
	}
	asked := max(sum.asked, 1)
	r.WithinTargets, r.Late, r.Refused, r.Abandoned = sum.inAim/asked, sum.late/asked, sum.refused/asked, sum.left/asked
	r.Skew, r.LongPasses = r.Skew/float64(max(r.passes, 1)), r.LongPasses/float64(max(r.passes, 1))
	slices.Sort(r.firsts)
	if n := len(r.firsts); n > 0 {
		r.FirstMedian, r.FirstP99 = milliseconds(r.firsts[n/2]), milliseconds(r.firsts[n*99/100])
	}
	return *r
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Measure plays every load with every variant at a site.
func Measure(s Site, seed uint64) []Result {
	var out []Result
	for _, l := range Loads {
		for _, v := range Variants {
			out = append(out, newWorld(s, l, v, seed).run())
		}
	}
	return out
}

// Write prints results as a table.
func Write(out io.Writer, results []Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "site\tload\tvariant\tin aim\tworst 2 s\tlate\trefused\tleft\tfirst p50 ms\tp99 ms\tskew\tlong passes\tmaps")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.2f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.2f\t%.3f\t%d\n",
			r.Site, r.Load, r.Variant, r.WithinTargets, r.LowestWithinTargets, r.Late, r.Refused, r.Abandoned, r.FirstMedian, r.FirstP99, r.Skew, r.LongPasses, r.Maps)
	}
	_ = w.Flush() // a failed write shows in the next one
}

// Plot draws the share in aim by second of the results of one load, as SVG.
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

package cli

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/measure/expertmaps"
)

func (a *app) measureExpertMaps() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:     "expert-maps",
		Short:   "Measure planners of expert maps on seeded traces",
		Long:    "Compare the planner at skew weights of 1 and 0, the settings of both users, with no planner and with a full re-plan in each period, on traces of expert popularity and rank speed, at today's size and at the target size.",
		Example: "  fescuehub measure expert-maps --seed 1",
		Args:    noArgs,
		RunE: func(*cobra.Command, []string) error {
			result := expertMapsResult{Planners: expertmaps.MeasureAll(seed, []expertmaps.Size{expertmaps.Today, expertmaps.Target}, expertmaps.Planners)}
			for _, ranks := range []int{expertmaps.Today.Ranks, expertmaps.Target.Ranks} {
				result.Switches = append(result.Switches, expertmaps.CompareSwitches(seed, ranks)...)
			}
			return a.print(result, result.write)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the traces")
	return cmd
}

// expertMapsResult is the result of measure expert-maps.
type expertMapsResult struct {
	Planners []expertmaps.Row    `json:"planners"`
	Switches []expertmaps.Switch `json:"switches"`
}

func (r expertMapsResult) write(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "size\ttrace\tplanner\tskew median\tskew 95th\tGB moved\tmaps\tsettle min\tskew/full\tbytes/full")
	for _, p := range r.Planners {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%.1f\t%d\t%.0f\t%.3f\t%.3f\n",
			p.Size, p.Trace, p.Planner, p.Median, p.P95, float64(p.Bytes)/1e9, p.Maps, p.SettleMinutes, p.SkewAgainstFull, p.BytesAgainstFull)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "switch\tranks\tcase\tsteps held\tappends\tmessages per step")
	for _, s := range r.Switches {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\n", s.Method, s.Ranks, s.Case, s.HeldSteps, s.Appends, s.StepMessages)
	}
	_ = w.Flush()
}

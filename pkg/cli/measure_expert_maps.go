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
		Long:    "Run the planner with both users' settings, no planner, and a full re-plan each period on traces of expert popularity and rank speed, at today's size and at the target's.",
		Example: "  fescuehub measure expert-maps --seed 1",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			rows := expertmaps.All(seed, []expertmaps.Size{expertmaps.Today, expertmaps.Target})
			return a.print(rows, func(w io.Writer) { writeExpertMaps(w, rows) })
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the traces")
	return cmd
}

func writeExpertMaps(out io.Writer, rows []expertmaps.Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "size\ttrace\tplanner\tskew median\tskew 95th\tGB moved\tmaps\tsettle min\tskew/full\tbytes/full")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%.1f\t%d\t%.0f\t%.3f\t%.3f\n",
			r.Size, r.Trace, r.Planner, r.Median, r.P95, float64(r.Bytes)/1e9, r.Maps, r.SettleMinutes, r.SkewAgainstFull, r.BytesAgainstFull)
	}
	_ = w.Flush()
}

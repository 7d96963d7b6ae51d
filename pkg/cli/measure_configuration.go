package cli

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/measure/configuration"
)

func (a *app) measureConfiguration() *cobra.Command {
	var logURL string
	var operators []string
	var applies int
	cmd := &cobra.Command{
		Use:   "configuration [--log URL --operator ADDRESS ...]",
		Short: "Measure the cost of the configuration and the time until an edit is in force",
		Long: `Measure records, snapshots, CPU time and memory by the size of the tables. With
--log and --operator, apply edits to a running deployment instead and measure
the time until each is in force at all entries. This replaces its tables.`,
		Example: "  fescuehub measure configuration",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if logURL != "" {
				row, err := configuration.MeasureApplyTimes(cmd.Context(), logURL, operators, applies)
				if err != nil {
					return err
				}
				return a.print(row, func(w io.Writer) {
					fmt.Fprintf(w, "%d applies, in force at %d entries: median %.1f ms, max %.1f ms\n", row.Applies, row.Entries, row.MedianMillis, row.MaxMillis)
				})
			}
			rows, err := configuration.MeasureSizes(cmd.Context())
			if err != nil {
				return err
			}
			return a.print(rows, func(w io.Writer) { writeSizeTable(w, rows) })
		},
	}
	cmd.Flags().StringVar(&logURL, "log", "", "base URL of the log service of a running deployment")
	cmd.Flags().StringSliceVar(&operators, "operator", nil, "operator address of an entry; may be given many times")
	cmd.Flags().IntVar(&applies, "applies", 20, "number of edits")
	return cmd
}

func writeSizeTable(out io.Writer, rows []configuration.SizeRow) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "routes\torganisations per route\tfull edit B\tsnapshot B\tsnapshot records\tchange B\tchange traffic per node B\tfold us\tview us\tstate MB")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.1f\n",
			r.Routes, r.Organisations, r.WholeBytes, r.SnapshotBytes, r.SnapshotRecords, r.ChangeBytes, r.NodeBytes, r.FoldMicros, r.ViewMicros, r.StateMB)
	}
	_ = w.Flush()
}

package cli

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/report"
)

func (a *app) reportCommand() *cobra.Command {
	var addresses []string
	var htmlPath string
	var top int
	cmd := &cobra.Command{
		Use:   "report --operator ADDRESS",
		Short: "Show the error budget burn rates over entries",
		Long: "Show how fast the error budget of each service and organisation burns over 5 minutes, 1 hour and 6 hours, summed over the given entries. " +
			"With --html it also writes one self-contained page.",
		Example: "  fescuehub report --operator 127.0.0.1:7101 --operator 127.0.0.1:7102 --html burn.html",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := readReport(cmd.Context(), addresses, top)
			if err != nil {
				return err
			}
			if htmlPath != "" {
				if err := writeHTML(htmlPath, r); err != nil {
					return err
				}
			}
			return a.print(r, r.Write)
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "operator", nil, "operator address of an entry; may be given many times (required)")
	cmd.Flags().StringVar(&htmlPath, "html", "", "file for the HTML page")
	cmd.Flags().IntVar(&top, "top", 10, "number of organisations to list")
	_ = cmd.MarkFlagRequired("operator")
	return cmd
}

// readReport sums the counts of the entries. An unreachable entry is an error, because a report
// without it could hide failures.
func readReport(ctx context.Context, addresses []string, top int) (report.Report, error) {
	var snapshots []report.Snapshot
	for _, address := range addresses {
		var s report.Snapshot
		if err := getJSON(ctx, "http://"+address+"/v1/burn", &s); err != nil {
			return report.Report{}, err
		}
		snapshots = append(snapshots, s)
	}
	return report.NewReport(time.Now(), snapshots, top), nil
}

func writeHTML(path string, r report.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return problem.New(problem.BadSettings, "name a file that can be written with --html", "%v", err)
	}
	if err := r.WriteHTML(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

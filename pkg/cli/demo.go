package cli

import (
	"io"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/demo"
	platformstandin "github.com/fescuehub/fescuehub/platform/standin"
)

// platformDeployment selects the demo of the processes on the operators' platform.
const platformDeployment = "platform"

func (a *app) demoCommand() *cobra.Command {
	var deployment string
	var verbose bool
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run a small deployment on loopback in one process",
		Long:    "Run a small deployment on loopback in one process: stand-ins, entries and agents on free ports. It exits within 30 seconds.",
		Example: "  fescuehub demo --deployment somes",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, ok := demo.Find(deployment)
			if !ok && deployment != platformDeployment {
				return usageErrorf("--deployment is %q; write arcos, somes or platform", deployment)
			}
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			logs := io.Discard
			if verbose {
				logs = a.errOut
			}
			if deployment == platformDeployment {
				return platformstandin.RunDemo(ctx, a.out, logs)
			}
			return demo.Run(ctx, d, a.out, logs)
		},
	}
	cmd.Flags().StringVar(&deployment, "deployment", "arcos", "the deployment to show: arcos, somes, or platform for the processes of the operators' platform")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "print the logs of the processes")
	return cmd
}

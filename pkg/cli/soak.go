package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/platform/soak"
)

func (a *app) soakCommand() *cobra.Command {
	var seed uint64
	var seeds int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Inject seeded faults into processes on loopback and check the guarantees to callers",
		Long: "Inject seeded faults into entries and agents that run as processes on loopback, with stand-ins of the platform, and check what callers and " +
			"backend servers observe. Each seed takes the length of the run plus about 15 seconds. It uses addresses in 127.77.0.0/16, which need no setup on Linux. " +
			"After a violation the logs of the processes are kept, and the exit code is not 0.",
		Example: "  fescuehub soak --seed 1 --seeds 50",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 || length < time.Second {
				return usageErrorf("--seeds is %d and --length is %v; write 1 or more seeds and a length of 1s or more", seeds, length)
			}
			binary, err := os.Executable()
			if err != nil {
				return errors.Wrap(err, "locate the fescuehub executable")
			}
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			failedSeeds := 0
			for n := range seeds {
				report, err := soak.Run(ctx, soak.Options{Binary: binary, Seed: seed + uint64(n), FaultPeriod: length, Progress: a.errOut})
				if err != nil {
					return err
				}
				if ctx.Err() != nil {
					break
				}
				fmt.Fprintln(a.out, report)
				if len(report.Violations) > 0 {
					failedSeeds++
				}
			}
			if failedSeeds > 0 {
				return errors.Newf("%d seeds violated a guarantee", failedSeeds)
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds to run, one after the other")
	cmd.Flags().DurationVar(&length, "length", 6*time.Second, "time during which faults are injected")
	return cmd
}

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
		Short: "Play seeded faults against processes on loopback and check what callers were promised",
		Long: "Play seeded faults against entries and agents that run as processes on loopback, with stand-ins of the platform, and check what callers and " +
			"backend servers see. Each seed takes its length and about 15 seconds. It uses addresses in 127.77.0.0/16, which Linux has without setting them up. " +
			"After a violation the processes' logs are kept, and the exit code is not 0.",
		Example: "  fescuehub soak --seed 1 --seeds 50",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 || length < time.Second {
				return usage("--seeds is %d and --length %v; write 1 or more, and 1s or more", seeds, length)
			}
			binary, err := os.Executable()
			if err != nil {
				return errors.Wrap(err, "find this program")
			}
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			broken := 0
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
					broken++
				}
			}
			if broken > 0 {
				return errors.Newf("%d seeds broke a promise", broken)
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "how many seeds are played, one after the other")
	cmd.Flags().DurationVar(&length, "length", 6*time.Second, "how long faults begin")
	return cmd
}

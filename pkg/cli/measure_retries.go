package cli

import (
	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/measure/retries"
)

func (a *app) measureRetries() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:     "retries",
		Short:   "Measure retries during an outage of half a pool, in virtual time",
		Example: "  fescuehub measure retries --seed 1",
		Args:    noArgs,
		RunE: func(*cobra.Command, []string) error {
			result := retries.Measure(seed)
			return a.print(result, result.Write)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the workload")
	return cmd
}

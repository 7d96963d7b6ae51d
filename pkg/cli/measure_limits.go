package cli

import (
	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/measure/limits"
)

func (a *app) measureLimits() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:     "limits",
		Short:   "Measure flow control under overload, in virtual time",
		Example: "  fescuehub measure limits --seed 1",
		Args:    noArgs,
		RunE: func(*cobra.Command, []string) error {
			result := limits.Measure(seed)
			return a.print(result, result.Write)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the workload")
	return cmd
}

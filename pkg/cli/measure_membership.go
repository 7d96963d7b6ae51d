package cli

import (
	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/measure/membership"
)

func (a *app) measureMembership() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:     "membership",
		Short:   "Measure loss detection, a restart of all processes, links, address responses and control traffic of the membership",
		Example: "  fescuehub measure membership --seed 1",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			tables, err := membership.Run(cmd.Context(), seed)
			if err != nil {
				return err
			}
			return a.print(tables, tables.Write)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the runs")
	return cmd
}

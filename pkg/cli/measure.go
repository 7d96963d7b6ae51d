package cli

import "github.com/spf13/cobra"

// measureCommand groups the seeded measurements that reproduce the tables of
// docs/MEASUREMENTS.md.
func (a *app) measureCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "measure",
		Short:   "Reproduce a table of docs/MEASUREMENTS.md",
		Example: "  fescuehub measure routing --seed 1",
		Args:    noArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(a.measureRouting(), a.measureMembership())
	cmd.AddCommand(a.measureExpertMaps(), a.measureGroup())
	cmd.AddCommand(a.measureConfiguration())
	cmd.AddCommand(a.measureLimits(), a.measureRetries())
	return cmd
}

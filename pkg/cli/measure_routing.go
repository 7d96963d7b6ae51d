package cli

import (
	"io"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/measure/routing"
)

func (a *app) measureRouting() *cobra.Command {
	var seed uint64
	var only string
	var variants bool
	cmd := &cobra.Command{
		Use:     "routing",
		Short:   "Measure first-token time and cache hits of replica selection against three baselines",
		Example: "  fescuehub measure routing --seed 1 --site arcos",
		Args:    noArgs,
		RunE: func(*cobra.Command, []string) error {
			var sites []routing.Site
			for _, s := range routing.Sites() {
				if only == "" || only == s.Name {
					sites = append(sites, s)
				}
			}
			if len(sites) == 0 {
				return usageErrorf("--site is %q; write arcos, somes or large", only)
			}
			policies := routing.Policies()
			if variants {
				policies = routing.Variants()
			}
			results := routing.Run(sites, policies, seed)
			return a.print(results, func(out io.Writer) { routing.Write(out, results) })
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the workload and of the random choices of the policies")
	cmd.Flags().BoolVar(&variants, "variants", false, "compare with variants of the selector that each leave out one part, instead of the baselines")
	cmd.Flags().StringVar(&only, "site", "", "arcos, somes or large; all if empty")
	return cmd
}

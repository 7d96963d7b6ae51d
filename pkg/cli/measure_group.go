package cli

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/measure/group"
)

func (a *app) measureGroup() *cobra.Command {
	var seed uint64
	var size, plots string
	cmd := &cobra.Command{
		Use:     "group",
		Short:   "Measure routing, refusals and expert maps on a simulated group of engines",
		Long:    "Run the production decision code on a group of engines simulated in virtual time: passes that all ranks execute together, shifts of expert popularity, stalls, and delayed load reports. Each variant leaves out one decision.",
		Example: "  fescuehub measure group --size small --plots /tmp",
		Args:    noArgs,
		RunE: func(*cobra.Command, []string) error {
			sites := map[string]group.Site{"small": group.Small, "large": group.Large}
			site, ok := sites[size]
			if !ok {
				return usageErrorf("--size is %q; write small or large", size)
			}
			if info, err := os.Stat(plots); plots != "" && (err != nil || !info.IsDir()) {
				return usageErrorf("--plots is %q; name a directory that exists", plots)
			}
			results := group.Measure(site, seed)
			if plots != "" {
				for _, load := range group.Loads {
					if err := plotGroup(filepath.Join(plots, strings.ReplaceAll("group-"+size+"-"+load.Name+".svg", " ", "-")), load.Name, results); err != nil {
						return err
					}
				}
			}
			return a.print(results, func(w io.Writer) { group.Write(w, results) })
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the load")
	cmd.Flags().StringVar(&size, "size", "small", "small for 12 ranks, large for 63")
	cmd.Flags().StringVar(&plots, "plots", "", "directory for the plots, one per load")
	return cmd
}

func plotGroup(path, load string, results []group.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the plot file")
	}
	if err := group.Plot(f, load, results); err != nil {
		_ = f.Close() // the error of Plot is returned instead
		return errors.Wrapf(err, "draw %s", path)
	}
	return errors.Wrap(f.Close(), "close the plot file")
}

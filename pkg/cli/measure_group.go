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
		Short:   "Measure routing, refusals and expert maps on a model of a group of engines",
		Long:    "Run the product's decisions on a model of a group of engines in virtual time: passes that all ranks execute together, experts in demand that change, stalls, reports that lag. Each variant leaves one decision out.",
		Example: "  fescuehub measure group --size small --plots /tmp",
		Args:    noArgs,
		RunE: func(*cobra.Command, []string) error {
			sites := map[string]group.Site{"small": group.Small, "large": group.Large}
			site, ok := sites[size]
			if !ok {
				return usage("--size is %q; write small or large", size)
			}
			if info, err := os.Stat(plots); plots != "" && (err != nil || !info.IsDir()) {
				return usage("--plots is %q; name a directory that exists", plots)
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
	cmd.Flags().StringVar(&plots, "plots", "", "directory for one plot a load")
	return cmd
}

func plotGroup(path, load string, results []group.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "open the file of a plot")
	}
	if err := group.Plot(f, load, results); err != nil {
		_ = f.Close() // the plot's error says more
		return errors.Wrapf(err, "draw %s", path)
	}
	return errors.Wrap(f.Close(), "write the plot")
}

package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/configfold"
)

// versionInfo is the output of the version command.
type versionInfo struct {
	Version     string `json:"version"`
	Go          string `json:"go"`
	FoldVersion int    `json:"foldVersion"`
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  fescuehub version --output json",
		Args:    noArgs,
		RunE: func(*cobra.Command, []string) error {
			info := versionInfo{Version: "unknown", FoldVersion: configfold.FoldVersion}
			if b, ok := debug.ReadBuildInfo(); ok {
				info.Version = b.Main.Version
				info.Go = b.GoVersion
			}
			return a.print(info, func(w io.Writer) {
				fmt.Fprintf(w, "fescuehub %s (%s, fold version %d)\n", info.Version, info.Go, info.FoldVersion)
			})
		},
	}
}

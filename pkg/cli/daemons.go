package cli

import (
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/agent"
	"github.com/fescuehub/fescuehub/pkg/entry"
	"github.com/fescuehub/fescuehub/pkg/settings"
)

// gcPercent is the GOGC value of the daemons. It keeps the memory of the control state within
// its share of the instance's memory. The environment variable GOGC overrides it.
const gcPercent = 40

func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

func (a *app) entryCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "entry --settings FILE",
		Short:   "Run an entry instance",
		Long:    "Run an entry instance: it accepts requests from callers, routes them to agents, and follows the configuration. SIGTERM drains it; a second SIGTERM stops it immediately.",
		Example: "  fescuehub entry --settings examples/arcos/entry-1.json",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadEntry(path)
			if err != nil {
				return err
			}
			configureGC()
			return runUntilSignal(cmd.Context(), entry.Initialize(s, a.errOut), anySignal)
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func (a *app) agentCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "agent --settings FILE",
		Short:   "Run the agent of a backend server instance",
		Long:    "Run the agent of a backend server instance: the only process that sends requests and control orders to the backend server. SIGTERM drains it; a second SIGTERM stops it immediately.",
		Example: "  fescuehub agent --settings examples/arcos/agent-asistente-mostrador-1.json",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadAgent(path)
			if err != nil {
				return err
			}
			configureGC()
			return runUntilSignal(cmd.Context(), agent.Initialize(s, a.errOut), anySignal)
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func settingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "the JSON file with the settings of the process (required)")
	_ = cmd.MarkFlagRequired("settings")
}

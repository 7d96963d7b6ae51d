package cli

import (
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/agent"
	"github.com/fescuehub/fescuehub/pkg/entry"
	"github.com/fescuehub/fescuehub/pkg/settings"
)

// gcPercent bounds the garbage of a daemon to a part of its live memory, so
// that its control state stays within its share of the instance's memory. The
// environment variable GOGC overrides it.
const gcPercent = 40

func boundGarbage() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

func (a *app) entryCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "entry --settings FILE",
		Short:   "Run an entry instance",
		Long:    "Run an entry instance: it answers callers, routes requests to agents, and follows the configuration. SIGTERM drains it; a second SIGTERM ends it at once.",
		Example: "  fescuehub entry --settings examples/arcos/entry-1.json",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadEntry(path)
			if err != nil {
				return err
			}
			boundGarbage()
			return runUntilSignal(cmd.Context(), entry.Initialize(s, a.errOut))
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
		Long:    "Run the agent of a backend server instance: the only process that gives the backend server work and orders. SIGTERM drains it; a second SIGTERM ends it at once.",
		Example: "  fescuehub agent --settings examples/arcos/agent-asistente-mostrador-1.json",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadAgent(path)
			if err != nil {
				return err
			}
			boundGarbage()
			return runUntilSignal(cmd.Context(), agent.Initialize(s, a.errOut))
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func settingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "the JSON file with the settings of the process (required)")
	_ = cmd.MarkFlagRequired("settings")
}

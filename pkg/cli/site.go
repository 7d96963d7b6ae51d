package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/eventstream"
	"github.com/fescuehub/fescuehub/pkg/gateway"
	"github.com/fescuehub/fescuehub/pkg/rankagent"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/platform"
)

// memoryLimitShare is the fraction of the instance's memory that is set as the memory limit of
// the Go runtime; the rest is for stacks and kernel buffers.
const memoryLimitShare = 0.75

func (a *app) siteCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "site",
		Short:   "Run a process on the operators' platform",
		Long:    "Run a process on the operators' platform. The settings come from the file that the environment variable " + platform.SettingsPathEnv + " names. SIGTERM drains the process; a repeated one changes nothing, and SIGINT or SIGKILL ends the process at once. SIGHUP reloads the settings; the file is also read at regular intervals.",
		Example: "  " + platform.SettingsPathEnv + "=/etc/fescuehub/local.json fescuehub site entry",
		Args:    noArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(a.siteEntryCommand(), a.siteAgentCommand(), a.siteQuarantineCommand(), a.siteRateLimitsCommand(), a.siteEvacuationsCommand(), a.siteExplainCommand())
	return cmd
}

// minEventBytes is the least value of --max-event-bytes.
const minEventBytes = 1 << 10

// loadEntry loads the settings of an entry that relays events of up to maxEventBytes.
func loadEntry(maxEventBytes int) (settings.Instance, error) {
	s, err := platform.LoadEntry()
	if err != nil {
		return s, err
	}
	if most := s.RequestMemory(); maxEventBytes < minEventBytes || int64(maxEventBytes) > most {
		return s, usageErrorf("--max-event-bytes is %d; write a number from %d to %d, the memory that this entry has for requests", maxEventBytes, minEventBytes, most)
	}
	s.MaxEventBytes = maxEventBytes
	return s, nil
}

func (a *app) siteEntryCommand() *cobra.Command {
	maxEventBytes := 0
	cmd := &cobra.Command{
		Use:     "entry",
		Short:   "Run an entry: it accepts requests from callers and sends them directly to backend servers",
		Example: "  " + platform.SettingsPathEnv + "=/etc/fescuehub/local.json fescuehub site entry",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			load := func() (settings.Instance, error) { return loadEntry(maxEventBytes) }
			return a.runSite(cmd.Context(), "entry", load, func(s settings.Instance, log *zap.Logger) siteProcess {
				return gateway.New(s, platform.Codec{}, platform.NewStoreClient(s.SharedLogAddress), log, telemetry.NewMetrics())
			})
		},
	}
	cmd.Flags().IntVar(&maxEventBytes, "max-event-bytes", eventstream.DefaultMaxEventBytes, "the largest event of a stream; each stream may hold one, and a larger one ends it")
	return cmd
}

func (a *app) siteAgentCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "agent",
		Short:   "Run an agent: it reports the state of its engine and executes expert map orders",
		Example: "  " + platform.SettingsPathEnv + "=/etc/fescuehub/local.json fescuehub site agent",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.runSite(cmd.Context(), "agent", platform.LoadAgent, func(s settings.Instance, log *zap.Logger) siteProcess {
				control := func(address string) rankcontrol.Rank { return platform.NewRankClient(address) }
				return rankagent.New(s, platform.Codec{}, platform.NewStoreClient(s.SharedLogAddress), platform.NewLocalRankClient(s.BackendAddress), control, log, telemetry.NewMetrics())
			})
		},
	}
}

// runSite loads the settings, starts the process and handles its signals.
func (a *app) runSite(ctx context.Context, process string, load func() (settings.Instance, error), start func(settings.Instance, *zap.Logger) siteProcess) error {
	s, err := load()
	if err != nil {
		return err
	}
	configureGC()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	log := telemetry.NewLogger(telemetry.NewAsyncWriter(a.out), process, s.Name)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	running := start(s, log)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go newReloader(s, load, running.Reload, log).run(ctx, hup)
	return runUntilSignal(ctx, running, func(s os.Signal) bool { return endsSiteAtOnce(s, log) })
}

// endsSiteAtOnce reports whether a signal after the first one ends a draining process at once. A supervisor that repeats
// SIGTERM does not mean to cut off requests: it sends SIGKILL for that.
func endsSiteAtOnce(s os.Signal, log *zap.Logger) bool {
	if s == syscall.SIGINT {
		return true
	}
	log.Info("ignored a repeated stop signal: the drain goes on; send SIGINT or SIGKILL to end the process now", zap.Stringer("signal", s))
	return false
}

// siteProcess is a process on the operators' platform.
type siteProcess interface {
	drainer
	// Reload puts changed bounds in force.
	Reload(settings.Bounds)
}

// Package cli implements the fescuehub command line, with one command per file.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Exit codes of the commands. ExitRefused means that tables were invalid or conflicted with
// another edit; ExitOutcomeUnknown that an edit may or may not have been published.
const (
	ExitOK             = 0
	ExitFailure        = 1
	ExitUsage          = 2
	ExitRefused        = 3
	ExitOutcomeUnknown = 4
)

// app holds the output streams and options that all commands share.
type app struct {
	out    io.Writer
	errOut io.Writer
	output string
	// started is set when the RunE of a command begins. An error before that is a usage error.
	started bool
}

// Main runs the command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out, errOut: errOut}
	root := a.rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	cmd, err := root.ExecuteContextC(context.Background())
	if err == nil {
		return ExitOK
	}
	var u *usageError
	if !a.started && !errors.As(err, &u) {
		err = usageErrorf("%v; run %q", err, cmd.CommandPath()+" --help")
	}
	fmt.Fprintf(errOut, "fescuehub: %v\n", err)
	return exitCode(err)
}

// readFile reads a file that an argument names.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageErrorf("%v (remedy: name a file that can be read)", err)
	}
	return data, nil
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "fescuehub",
		Short:         "Load balancer for expert-parallel model groups and the plain services beside them",
		Example:       "  fescuehub demo",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          noArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.PersistentFlags().StringVar(&a.output, "output", "text", `output format: "text" or "json"`)
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return a.checkOutput() }
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return usageErrorf("run %q for the flags: %v", cmd.CommandPath()+" --help", err)
	})
	root.AddCommand(
		a.entryCommand(), a.agentCommand(), a.configCommand(), a.statusCommand(), a.reportCommand(),
		a.standinCommand(), a.demoCommand(), a.measureCommand(), a.loadCommand(), a.versionCommand(), a.siteCommand(), a.soakCommand(),
	)
	a.markStarted(root)
	return root
}

// markStarted wraps RunE of cmd and of its subcommands to set started.
func (a *app) markStarted(cmd *cobra.Command) {
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			a.started = true
			return run(cmd, args)
		}
	}
	for _, sub := range cmd.Commands() {
		a.markStarted(sub)
	}
}

func (a *app) checkOutput() error {
	if a.output != "text" && a.output != "json" {
		return usageErrorf("--output is %q; write text or json", a.output)
	}
	return nil
}

// print writes result as JSON, or calls text, as --output selects.
func (a *app) print(result any, text func(io.Writer)) error {
	if a.output == "json" {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(result)
	}
	text(a.out)
	return nil
}

// usageError reports invalid arguments or flags.
type usageError struct{ text string }

// Error implements the error interface.
func (e *usageError) Error() string { return e.text }

// noArgs rejects positional arguments and refers to --help.
func noArgs(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return usageErrorf("unknown command or argument %q for %q; run %q", args[0], cmd.CommandPath(), cmd.CommandPath()+" --help")
}

func usageErrorf(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

func exitCode(err error) int {
	var u *usageError
	if errors.As(err, &u) {
		return ExitUsage
	}
	var p *problem.Error
	if !errors.As(err, &p) {
		return ExitFailure
	}
	switch {
	case p.Kind == problem.BadSettings:
		return ExitUsage
	case p.Kind == problem.BadTables, p.Kind == problem.EditConflict:
		return ExitRefused
	case p.Outcome == problem.NotKnown:
		return ExitOutcomeUnknown
	}
	return ExitFailure
}

// drainer is a process that shuts down gracefully.
type drainer interface {
	// Drain starts the shutdown; a second call stops the process immediately.
	Drain()
	// Run serves until the drain completes.
	Run(ctx context.Context) error
}

// runUntilSignal runs the process. The first SIGTERM or SIGINT starts its drain, and a further one for which
// endsAtOnce holds stops it immediately.
func runUntilSignal(ctx context.Context, process drainer, endsAtOnce func(os.Signal) bool) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for first := true; ; {
			select {
			case s := <-signals:
				if first || endsAtOnce(s) {
					process.Drain()
				}
				first = false
			case <-ended:
				return
			}
		}
	}()
	return process.Run(ctx)
}

// anySignal lets each signal end a drain at once.
func anySignal(os.Signal) bool { return true }

// signalContext returns a context that is cancelled by SIGTERM or SIGINT.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/configclient"
	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configpublish"
	"github.com/fescuehub/fescuehub/pkg/entry"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// inForceTimeout bounds how long apply waits for the entries to put the edit in force.
	inForceTimeout      = 6 * time.Second
	inForcePollInterval = 50 * time.Millisecond
)

func (a *app) configCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Edit and publish the tables of routes and pools",
		Example: "  fescuehub config check tables.json",
		Args:    noArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(a.configCheckCommand(), a.configApplyCommand(), a.configShowCommand(), a.configHistoryCommand())
	return cmd
}

func (a *app) configCheckCommand() *cobra.Command {
	var logURL string
	cmd := &cobra.Command{
		Use:   "check FILE [--log URL]",
		Short: "List every error in a tables file",
		Long: `List every error in a tables file with its location. With --log, a field that
this binary does not know is accepted if the same route or pool in force has
the field with the same value.`,
		Example: "  fescuehub config check examples/arcos/tables.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := readFile(args[0])
			if err != nil {
				return err
			}
			inForce := configfold.Empty()
			if logURL != "" {
				if inForce, err = configclient.New(logURL).Show(cmd.Context()); err != nil {
					return err
				}
			}
			doc, faults := configpublish.Parse(data, inForce)
			if len(faults) > 0 {
				return configclient.BadTables(faults)
			}
			counts := checkResult{File: args[0], Routes: len(doc.Routes), Pools: len(doc.Pools)}
			return a.print(counts, func(w io.Writer) {
				fmt.Fprintf(w, "%s: no errors in %d routes and %d pools\n", counts.File, counts.Routes, counts.Pools)
			})
		},
	}
	cmd.Flags().StringVar(&logURL, "log", "", "base URL of the log service")
	return cmd
}

// checkResult is the output of config check.
type checkResult struct {
	File   string `json:"file"`
	Routes int    `json:"routes"`
	Pools  int    `json:"pools"`
}

// applyResult is the output of config apply.
type applyResult struct {
	configfold.Result
	// InForceAt counts the entries named with --operator that have the edit in force.
	InForceAt int `json:"inForceAt"`
	Entries   int `json:"entries"`
}

func (a *app) configApplyCommand() *cobra.Command {
	var logURL string
	var operators []string
	cmd := &cobra.Command{
		Use:   "apply FILE --log URL",
		Short: "Publish a tables file",
		Long: `Publish a tables file. The exit code is 0 if the edit was accepted, 3 if it was
rejected (the errors are listed), and 4 if the outcome is not known (the command
that finds it out is printed).`,
		Example: "  fescuehub config apply tables.json --log http://127.0.0.1:7001 --operator 127.0.0.1:7101",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := readFile(args[0])
			if err != nil {
				return err
			}
			result, err := configclient.New(logURL).Apply(cmd.Context(), data)
			if err != nil {
				return err
			}
			done := applyResult{Result: result, Entries: len(operators)}
			done.InForceAt = awaitInForce(cmd.Context(), operators, result.Offset)
			return a.print(done, func(w io.Writer) {
				fmt.Fprintf(w, "accepted: version %d at offset %d, in force at %d of %d entries\n", done.Version, done.Offset, done.InForceAt, done.Entries)
			})
		},
	}
	logFlag(cmd, &logURL)
	cmd.Flags().StringSliceVar(&operators, "operator", nil, "operator address of an entry to wait for; may be given many times")
	return cmd
}

func (a *app) configShowCommand() *cobra.Command {
	var logURL, operator string
	cmd := &cobra.Command{
		Use:   "show {--log URL | --operator ADDRESS}",
		Short: "Show the tables in force in the log or at an entry",
		Long: `Show the tables in force in the log, or, with --operator, at one entry, which
works while the log is down. The output can be edited and applied.`,
		Example: "  fescuehub config show --log http://127.0.0.1:7001 > tables.json",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var state configfold.State
			var err error
			switch {
			case (logURL == "") == (operator == ""):
				return usageErrorf("specify exactly one of --log and --operator")
			case logURL != "":
				state, err = configclient.New(logURL).Show(cmd.Context())
			default:
				err = getJSON(cmd.Context(), "http://"+operator+"/v1/configuration", &state)
			}
			if err != nil {
				return err
			}
			a.output = "json"
			return a.print(configpublish.DocumentOf(state), nil)
		},
	}
	cmd.Flags().StringVar(&logURL, "log", "", "base URL of the log service")
	cmd.Flags().StringVar(&operator, "operator", "", "operator address of an entry")
	return cmd
}

func (a *app) configHistoryCommand() *cobra.Command {
	var logURL, edit string
	var last int
	cmd := &cobra.Command{
		Use:   "history --log URL",
		Short: "Show the outcome of each edit in the log",
		Long: `Show the outcome of each edit in the log, or of one edit with --edit. The exit
code is 4 if that edit is not found.`,
		Example: "  fescuehub config history --log http://127.0.0.1:7001 --edit 019ae5c8-5c5b-7d0e-8f39-0c2f3a1c9a11",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h, err := configclient.New(logURL).History(cmd.Context())
			if err != nil {
				return err
			}
			if edit != "" {
				h.Results = slices.DeleteFunc(h.Results, func(r configfold.Result) bool { return string(r.ID) != edit })
			}
			if edit != "" && len(h.Results) == 0 {
				return editNotFoundError(edit, h)
			}
			h.Results = h.Results[max(0, len(h.Results)-last):]
			return a.print(h, func(w io.Writer) { writeHistory(w, h) })
		},
	}
	logFlag(cmd, &logURL)
	cmd.Flags().StringVar(&edit, "edit", "", "show only the edit with this id")
	cmd.Flags().IntVar(&last, "last", 100, "how many of the newest edits to show")
	return cmd
}

func editNotFoundError(edit string, h configclient.History) error {
	return problem.New(problem.LogUnavailable,
		"if it was applied less than a minute ago, query again; otherwise apply the file again, which is safe even if the edit still appears",
		"edit %s is not among the records from offset %d to %d", edit, h.From, h.Next-1).WithOutcome(problem.NotKnown)
}

func writeHistory(w io.Writer, h configclient.History) {
	for _, r := range h.Results {
		outcome := "accepted"
		if !r.Accepted {
			outcome = "rejected"
		}
		fmt.Fprintf(w, "offset %d edit %s %s, version %d\n", r.Offset, r.ID, outcome, r.Version)
		for _, f := range r.Faults {
			fmt.Fprintf(w, "  %s\n", f)
		}
	}
}

func logFlag(cmd *cobra.Command, logURL *string) {
	cmd.Flags().StringVar(logURL, "log", "", "base URL of the log service (required)")
	_ = cmd.MarkFlagRequired("log")
}

// awaitInForce polls the entries at the operator addresses until all of them have the offset
// in force, inForceTimeout has passed or ctx ends, and returns how many have it.
func awaitInForce(ctx context.Context, operators []string, offset int64) int {
	deadline := time.Now().Add(inForceTimeout)
	for {
		n := 0
		for _, address := range operators {
			var s entry.Status
			if getJSON(ctx, "http://"+address+"/v1/status", &s) == nil && s.ConfigOffset >= offset {
				n++
			}
		}
		if n == len(operators) || time.Now().After(deadline) || ctx.Err() != nil {
			return n
		}
		wait.For(ctx, inForcePollInterval)
	}
}

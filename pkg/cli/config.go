package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configpublish"
	"github.com/fescuehub/fescuehub/pkg/entry"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

const (
	// inForceWait bounds the wait of apply for the entries.
	inForceWait  = 6 * time.Second
	inForcePause = 50 * time.Millisecond
)

func (a *app) configCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Edit and publish the tables of routes and pools",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(a.configCheckCommand(), a.configApplyCommand(), a.configShowCommand(), a.configHistoryCommand())
	return cmd
}

func (a *app) configCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "List every fault of a tables file",
		Example: "  fescuehub config check examples/arcos/tables.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			doc, err := readTables(args[0])
			if err != nil {
				return err
			}
			return a.print(doc, func(w io.Writer) {
				fmt.Fprintf(w, "%s: no faults in %d routes and %d pools\n", args[0], len(doc.Routes), len(doc.Pools))
			})
		},
	}
}

// applied is the result of config apply.
type applied struct {
	configfold.Result
	// InForceAt counts the entries named with --operator that have it in force.
	InForceAt int `json:"inForceAt"`
	Entries   int `json:"entries"`
}

func (a *app) configApplyCommand() *cobra.Command {
	var logURL string
	var operators []string
	cmd := &cobra.Command{
		Use:   "apply FILE --log URL",
		Short: "Publish a tables file",
		Long: `Publish a tables file. The command ends with accepted (exit code 0), rejected
(3, with the faults), or not known (4, with the way to find out).`,
		Example: "  fescuehub config apply tables.json --log http://127.0.0.1:7001 --operator 127.0.0.1:7101",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readTables(args[0])
			if err != nil {
				return err
			}
			result, err := publish(cmd.Context(), logservice.New(logURL), doc)
			if err != nil {
				return err
			}
			done := applied{Result: result, Entries: len(operators)}
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
	var logURL string
	cmd := &cobra.Command{
		Use:     "show --log URL",
		Short:   "Show the tables that the log holds",
		Example: "  fescuehub config show --log http://127.0.0.1:7001 > tables.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			state, _, err := configpublish.Read(cmd.Context(), logservice.New(logURL))
			if err != nil {
				return err
			}
			a.output = "json"
			return a.print(configpublish.Document(state), nil)
		},
	}
	logFlag(cmd, &logURL)
	return cmd
}

func (a *app) configHistoryCommand() *cobra.Command {
	var logURL string
	cmd := &cobra.Command{
		Use:     "history --log URL",
		Short:   "Show what became of each edit that the log holds",
		Example: "  fescuehub config history --log http://127.0.0.1:7001",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, results, err := configpublish.Read(cmd.Context(), logservice.New(logURL))
			if err != nil {
				return err
			}
			return a.print(results, func(w io.Writer) {
				for _, r := range results {
					fmt.Fprintf(w, "offset %d edit %s accepted=%t version %d\n%s", r.Offset, r.ID, r.Accepted, r.Version, faultLines(r.Faults))
				}
			})
		},
	}
	logFlag(cmd, &logURL)
	return cmd
}

func logFlag(cmd *cobra.Command, logURL *string) {
	cmd.Flags().StringVar(logURL, "log", "", "base URL of the log service (required)")
	_ = cmd.MarkFlagRequired("log")
}

func readTables(path string) (tables.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return tables.Document{}, usage("%v", err)
	}
	doc, faults := tables.Parse(data)
	if len(faults) > 0 {
		return doc, problem.New(problem.BadTables, "correct the file and try again", "%s:\n%s", path, strictjson.Join(faults))
	}
	return doc, nil
}

func publish(ctx context.Context, client *logservice.Client, doc tables.Document) (configfold.Result, error) {
	state, _, err := configpublish.Read(ctx, client)
	if err != nil {
		return configfold.Result{}, err
	}
	edit, err := configpublish.Difference(state, doc)
	if err != nil {
		return configfold.Result{}, err
	}
	if len(edit.Changes) == 0 {
		return configfold.Result{Offset: state.Offset, Version: state.Version, Accepted: true}, nil
	}
	return configpublish.Publish(ctx, client, edit)
}

// awaitInForce returns how many entries have the offset in force in time.
func awaitInForce(ctx context.Context, operators []string, offset int64) int {
	deadline := time.Now().Add(inForceWait)
	for {
		n := 0
		for _, address := range operators {
			var s entry.Status
			if getJSON(ctx, "http://"+address+"/v1/status", &s) == nil && s.ConfigOffset >= offset {
				n++
			}
		}
		if n == len(operators) || time.Now().After(deadline) {
			return n
		}
		time.Sleep(inForcePause)
	}
}

func faultLines(faults []strictjson.Fault) string {
	if len(faults) == 0 {
		return ""
	}
	return strictjson.Join(faults) + "\n"
}

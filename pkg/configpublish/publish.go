package configpublish

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configuration"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
)

const pageRecords = 1000

// Read folds the whole stream of edits.
func Read(ctx context.Context, client *logservice.Client) (configfold.State, []configfold.Result, error) {
	state := configfold.Empty()
	var results []configfold.Result
	for {
		page, err := client.Read(ctx, configuration.Stream, state.Offset+1, pageRecords, 0)
		if err != nil {
			return state, results, err
		}
		for _, r := range page.Records {
			next, result, err := configfold.Fold(state, r.Offset, r.Data)
			if err != nil {
				return state, results, err
			}
			state = next
			results = append(results, result)
		}
		if state.Offset+1 >= page.Next {
			return state, results, nil
		}
	}
}

// Publish appends the edit and reads back what the fold made of it. The error
// kinds are BadTables and EditConflict where it was rejected, and
// LogUnavailable otherwise; with the outcome NotKnown the edit may still take
// effect.
func Publish(ctx context.Context, client *logservice.Client, edit configfold.Edit) (configfold.Result, error) {
	data, err := json.Marshal(edit)
	if err != nil {
		return configfold.Result{}, errors.Wrap(err, "encode edit")
	}
	if _, err := client.Append(ctx, configuration.Stream, data); err != nil && problem.Of(err).Outcome == problem.NotRun {
		return configfold.Result{}, err
	}
	_, results, err := Read(ctx, client)
	if err != nil {
		return configfold.Result{}, problem.Of(err).WithOutcome(problem.NotKnown)
	}
	for _, r := range results {
		if r.ID != edit.ID {
			continue
		}
		if !r.Accepted {
			return r, problem.New(problem.EditConflict, "correct the tables and apply again", "the edit was rejected:\n%s", strictjson.Join(r.Faults))
		}
		return r, nil
	}
	return configfold.Result{}, problem.New(problem.LogUnavailable, "run fescuehub config history and look for the edit "+string(edit.ID),
		"the edit was not found in the log").WithOutcome(problem.NotKnown)
}

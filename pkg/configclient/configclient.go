// Package configclient publishes and reads the configuration for operators. It
// drives the decisions of package configpublish with the log service.
package configclient

import (
	"context"
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configpublish"
	"github.com/fescuehub/fescuehub/pkg/configuration"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const pageRecords = 1000

// Client reads and publishes the configuration. It is safe for concurrent use.
type Client struct {
	log *logservice.Client
}

// New returns a client of the log service at the base URL.
func New(logURL string) *Client { return &Client{log: logservice.New(logURL)} }

// Apply publishes an operator's document and returns what became of it. The
// error kinds are BadTables, EditConflict where it was rejected, NewerRecord,
// TooLarge and LogUnavailable; with the outcome NotKnown the edit may still
// take effect.
func (c *Client) Apply(ctx context.Context, document []byte) (configfold.Result, error) {
	return c.publish(ctx, func(s configfold.State) (configfold.Edit, error) {
		wanted, faults := configpublish.Parse(document, s)
		if len(faults) > 0 {
			return configfold.Edit{}, BadTables(faults)
		}
		return configpublish.Diff(s, wanted, ident.NewEditID()), nil
	})
}

// BadTables returns the error of a document with faults.
func BadTables(faults []strictjson.Fault) error {
	return problem.New(problem.BadTables, "correct the file and try again", "the tables have faults:\n%s", strictjson.Join(faults)).
		WithOutcome(problem.NotRun)
}

func (c *Client) publish(ctx context.Context, compose func(configfold.State) (configfold.Edit, error)) (configfold.Result, error) {
	p := configpublish.NewPublication(time.Now())
	for {
		if ctx.Err() != nil {
			return configfold.Result{}, ctx.Err()
		}
		a := p.Next(time.Now())
		switch a.Kind {
		case configpublish.Read:
			c.read(ctx, p, a)
		case configpublish.Compose:
			edit, err := compose(p.State())
			if err != nil {
				return configfold.Result{}, err
			}
			p.SetEdit(edit)
		case configpublish.Append:
			c.append(ctx, p, a)
		case configpublish.Done:
			return p.Outcome()
		}
	}
}

func (c *Client) read(ctx context.Context, p *configpublish.Publication, a configpublish.Action) {
	wait.For(ctx, a.Request.Pause)
	if a.Request.Snapshots {
		states, err := configuration.ReadSnapshots(ctx, c.log)
		if err != nil {
			p.HandleLogError(err)
			return
		}
		p.ApplySnapshots(states)
		return
	}
	page, err := c.log.Read(ctx, configuration.Stream, a.Request.From, a.Request.Limit, a.Request.Wait)
	if err != nil {
		p.HandleLogError(err)
		return
	}
	p.ApplyPage(a.Request, page)
}

func (c *Client) append(ctx context.Context, p *configpublish.Publication, a configpublish.Action) {
	wait.For(ctx, a.Pause)
	if _, err := c.log.Append(ctx, configuration.Stream, a.Record); err != nil {
		p.HandleAppendError(time.Now(), err)
		return
	}
	p.HandleAppended(time.Now())
}

// Show returns the configuration that the log has in force.
func (c *Client) Show(ctx context.Context) (configfold.State, error) {
	p := configpublish.NewPublication(time.Now())
	for {
		if ctx.Err() != nil {
			return configfold.State{}, ctx.Err()
		}
		a := p.Next(time.Now())
		switch a.Kind {
		case configpublish.Read:
			c.read(ctx, p, a)
		case configpublish.Compose:
			return p.State(), nil
		default:
			_, err := p.Outcome()
			return configfold.State{}, err
		}
	}
}

// History is what became of the edits that the log holds.
type History struct {
	// From is the offset of the first record whose outcome is known here, Next
	// that of the next append.
	From    int64               `json:"from"`
	Next    int64               `json:"next"`
	Results []configfold.Result `json:"results"`
}

// History returns what became of each edit that the log holds. Records whose
// outcome no held snapshot tells are left out. The error kinds are
// LogUnavailable and NewerRecord.
func (c *Client) History(ctx context.Context) (History, error) {
	states, err := configuration.ReadSnapshots(ctx, c.log)
	if err != nil {
		return History{}, err
	}
	page, err := c.log.Read(ctx, configuration.Stream, 0, pageRecords, 0)
	if err != nil {
		return History{}, err
	}
	state, ok := oldestUsable(states, page.First)
	if !ok {
		return History{}, problem.New(problem.LogUnavailable, "run fescuehub status to see what the entries have in force",
			"the log holds records from offset %d on and no snapshot to fold them onto", page.First)
	}
	h := History{From: state.Offset + 1, Results: []configfold.Result{}}
	for {
		for _, r := range page.Records {
			if r.Offset <= state.Offset {
				continue
			}
			next, result, err := configfold.Fold(state, r.Offset, r.Data)
			if err != nil {
				return h, err
			}
			state = next
			h.Results = append(h.Results, result)
		}
		h.Next = page.Next
		if state.Offset+1 >= page.Next {
			return h, nil
		}
		if page, err = c.log.Read(ctx, configuration.Stream, state.Offset+1, pageRecords, 0); err != nil {
			return h, err
		}
	}
}

// oldestUsable returns the state to fold the held records onto: the oldest
// snapshot whose next record is still held.
func oldestUsable(states []configfold.State, first int64) (configfold.State, bool) {
	best, found := configfold.Empty(), first == 0
	for _, s := range states {
		if !found && s.Offset+1 >= first || found && first > 0 && s.Offset+1 >= first && s.Offset < best.Offset {
			best, found = s, true
		}
	}
	return best, found
}

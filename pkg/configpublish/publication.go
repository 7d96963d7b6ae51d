// Package configpublish converts an operator's tables into an edit of the
// configuration and is the state machine of its publication: read the state,
// append the edit, and find the edit in the log before its outcome is reported.
// It does no I/O.
package configpublish

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configread"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
)

const (
	// ReadTimeout bounds the time for reading the tables in force.
	ReadTimeout = 10 * time.Second
	// ConfirmTimeout bounds the time for finding the edit in the log after its append.
	ConfirmTimeout = 6 * time.Second
	// maxAppendAttempts bounds the attempts of an append that the log refuses. An
	// append whose outcome is not known is never retried.
	maxAppendAttempts = 3
	appendPause       = 300 * time.Millisecond
)

// ActionKind is the kind of the next action of a publication.
type ActionKind int

// The kinds of action.
const (
	// Read the log according to Action.Request, then call HandleLogError,
	// ApplySnapshots or ApplyPage.
	Read ActionKind = iota
	// Compose an edit from State, then call SetEdit.
	Compose
	// Append Action.Record after Action.Pause, then call HandleAppended or
	// HandleAppendError.
	Append
	// Done: Outcome returns the result of the edit.
	Done
)

// Action is the next action of a publication.
type Action struct {
	Kind    ActionKind
	Request configread.Request
	Record  []byte
	Pause   time.Duration
}

// Publication is the state of the publication of one edit. It is not safe for
// concurrent use.
type Publication struct {
	reader   *configread.Reader
	phase    ActionKind
	deadline time.Time
	id       ident.EditID
	record   []byte
	attempts int
	// appendSent is true once the edit may be in the log.
	appendSent bool
	result     configfold.Result
	err        error
	disabled   disabled
}

// disabled lists the mechanisms that tests switch off to show that the fault
// matrix detects their absence. It is zero in production.
type disabled struct{ search bool }

// NewPublication returns a publication that has read nothing.
func NewPublication(now time.Time) *Publication {
	p := &Publication{reader: configread.New(), phase: Read, deadline: now.Add(ReadTimeout)}
	p.reader.MarkPeersQueried()
	return p
}

// State returns the configuration in force according to the log.
func (p *Publication) State() configfold.State { return p.reader.State() }

// Outcome returns the result of the edit. The error kind is EditConflict if the
// edit was rejected. With any other kind the edit was not published (outcome
// NotRun) or it is not known whether it was (outcome NotKnown).
func (p *Publication) Outcome() (configfold.Result, error) { return p.result, p.err }

// Next returns the next action.
func (p *Publication) Next(now time.Time) Action {
	if p.phase == Read && !now.Before(p.deadline) {
		p.finish(p.result, p.timeoutError())
	}
	switch p.phase {
	case Read:
		q := p.reader.Next()
		q.Wait = min(q.Wait, p.deadline.Sub(now))
		return Action{Kind: Read, Request: q}
	case Append:
		return Action{Kind: Append, Record: p.record, Pause: time.Duration(p.attempts) * appendPause}
	}
	return Action{Kind: p.phase}
}

// timeoutError returns the error for a read that exceeded its timeout.
func (p *Publication) timeoutError() error {
	condition, detail := p.reader.Condition()
	if p.appendSent {
		return outcomeNotKnown(p.id, "the log does not show the edit within "+ConfirmTimeout.String())
	}
	return problem.New(problem.LogUnavailable, "wait until the log service answers, and apply again; nothing was published",
		"the log could not be read: %s %s", condition, detail).WithOutcome(problem.NotRun)
}

func outcomeNotKnown(id ident.EditID, detail string) error {
	return problem.New(problem.LogUnavailable,
		"run fescuehub config history --edit "+string(id)+" with the same --log; applying the same file again does no harm",
		"it is not known whether edit %s was accepted: %s", id, detail).WithOutcome(problem.NotKnown)
}

// HandleLogError records a failed read of the log.
func (p *Publication) HandleLogError(err error) { p.reader.HandleLogError(err) }

// ApplySnapshots applies the snapshots that the log holds.
func (p *Publication) ApplySnapshots(states []configfold.State) { p.reader.ApplySnapshots(states) }

// ApplyPage applies records of the log. The publication proceeds once the log has
// been read to its end, or the edit has been found.
func (p *Publication) ApplyPage(q configread.Request, page logservice.Page) {
	p.reader.ApplyPage(q, page)
	for _, e := range p.reader.Events() {
		if p.appendSent && e.Result != nil && e.Result.ID == p.id {
			p.finishFound(*e.Result)
			return
		}
	}
	condition, detail := p.reader.Condition()
	switch {
	case condition == configread.NewerRecord && !p.appendSent:
		p.finish(p.result, problem.New(problem.NewerRecord, "upgrade this binary and apply again; nothing was published", "%s", detail).WithOutcome(problem.NotRun))
	case condition == configread.NewerRecord:
		p.finish(p.result, outcomeNotKnown(p.id, detail))
	case condition == configread.Following && !p.reader.Pending() && !p.appendSent:
		p.phase = Compose
	}
}

// SetEdit sets the edit that was composed from State. An edit without changes
// counts as accepted and is not appended. An edit that cannot be encoded ends
// the publication with an error of the kind TooLarge.
func (p *Publication) SetEdit(edit configfold.Edit) {
	if len(edit.Changes) == 0 {
		state := p.State()
		p.finish(configfold.Result{Offset: state.Offset, Version: state.Version, Accepted: true}, nil)
		return
	}
	record, err := configfold.Encode(edit)
	if err != nil {
		p.finish(p.result, err)
		return
	}
	p.id, p.record, p.phase = edit.ID, record, Append
}

// HandleAppended records that the log has appended the edit.
func (p *Publication) HandleAppended(now time.Time) { p.startSearch(now) }

// HandleAppendError records a failed append. An append that the log refused is
// retried; after any other failure the edit is searched for in the log.
func (p *Publication) HandleAppendError(now time.Time, err error) {
	refused := problem.Of(err).Outcome == problem.NotRun || p.disabled.search
	p.attempts++
	switch {
	case !refused:
		p.startSearch(now)
	case p.attempts >= maxAppendAttempts || p.disabled.search:
		p.finish(p.result, problem.New(problem.LogUnavailable, "wait until the log service is back, and apply again; nothing was published",
			"%s", problem.Of(err).Detail).WithOutcome(problem.NotRun))
	}
}

// startSearch starts the search for the edit in the log.
func (p *Publication) startSearch(now time.Time) {
	p.appendSent = true
	p.phase = Read
	p.deadline = now.Add(ConfirmTimeout)
	p.reader.Refresh()
}

func (p *Publication) finishFound(r configfold.Result) {
	if r.Accepted {
		p.finish(r, nil)
		return
	}
	p.finish(r, problem.New(problem.EditConflict, "make the edit again on what fescuehub config show prints, and apply",
		"edit %s was rejected at offset %d:\n%s", r.ID, r.Offset, strictjson.Join(r.Faults)).WithOutcome(problem.NotRun))
}

func (p *Publication) finish(r configfold.Result, err error) {
	p.result, p.err, p.phase = r, err, Done
}

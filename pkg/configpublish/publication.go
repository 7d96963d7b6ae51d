// Package configpublish turns an operator's tables into an edit of the
// configuration and decides the steps of its publication: read, append, and
// look the edit up in the log before its outcome is told. It does no I/O.
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

// Bounds of a publication.
const (
	// ReadTimeout bounds the reading of the tables in force.
	ReadTimeout = 10 * time.Second
	// ConfirmTimeout bounds the search for the edit after its append.
	ConfirmTimeout = 6 * time.Second
	// appendTries bounds the appends that the log refused. One whose outcome is
	// not known is never repeated.
	appendTries = 3
	appendPause = 300 * time.Millisecond
)

// ActionKind says what a publication needs next.
type ActionKind int

// The kinds of action.
const (
	// Read the log as Action.Request says, then call LogFailed, TakeSnapshots
	// or TakePage.
	Read ActionKind = iota
	// Compose an edit from State, then call Compose.
	Compose
	// Append Action.Record after Action.Pause, then call Appended or
	// AppendFailed.
	Append
	// Done: Outcome tells what became of the edit.
	Done
)

// Action is what a publication needs next.
type Action struct {
	Kind    ActionKind
	Request configread.Request
	Record  []byte
	Pause   time.Duration
}

// Publication is the publication of one edit.
type Publication struct {
	reader *configread.Reader
	phase  ActionKind
	bound  time.Time
	id     ident.EditID
	record []byte
	tries  int
	sent   bool
	result configfold.Result
	err    error
	off    disabled
}

// disabled names mechanisms that tests turn off.
type disabled struct{ find bool }

// NewPublication returns a publication that has read nothing.
func NewPublication(now time.Time) *Publication {
	p := &Publication{reader: configread.New(), phase: Read, bound: now.Add(ReadTimeout)}
	p.reader.MarkPeersQueried()
	return p
}

// State returns the configuration that the log has in force.
func (p *Publication) State() configfold.State { return p.reader.State() }

// Outcome returns what became of the edit. The error kinds are EditConflict
// where it was rejected, and others where it was not published or is not
// known; the outcome of the error tells the two apart.
func (p *Publication) Outcome() (configfold.Result, error) { return p.result, p.err }

// Next returns the next action.
func (p *Publication) Next(now time.Time) Action {
	if p.phase == Read && !now.Before(p.bound) {
		p.finish(p.result, p.notRead())
	}
	switch p.phase {
	case Read:
		q := p.reader.Next()
		q.Wait = min(q.Wait, p.bound.Sub(now))
		return Action{Kind: Read, Request: q}
	case Append:
		return Action{Kind: Append, Record: p.record, Pause: time.Duration(p.tries) * appendPause}
	}
	return Action{Kind: p.phase}
}

// notRead is the error of a bound that has passed.
func (p *Publication) notRead() error {
	condition, detail := p.reader.Condition()
	if p.sent {
		return notKnown(p.id, "the log does not show the edit within "+ConfirmTimeout.String())
	}
	return problem.New(problem.LogUnavailable, "wait until the log service answers, and apply again; nothing was published",
		"the log could not be read: %s %s", condition, detail).WithOutcome(problem.NotRun)
}

func notKnown(id ident.EditID, detail string) error {
	return problem.New(problem.LogUnavailable,
		"run fescuehub config history --edit "+string(id)+" with the same --log; applying the same file again does no harm",
		"whether edit %s is accepted is not known: %s", id, detail).WithOutcome(problem.NotKnown)
}

// HandleLogError notes that a reading failed.
func (p *Publication) HandleLogError(err error) { p.reader.HandleLogError(err) }

// ApplySnapshots takes the snapshots that the log holds.
func (p *Publication) ApplySnapshots(states []configfold.State) { p.reader.ApplySnapshots(states) }

// ApplyPage takes records. The publication goes on once the log has been read
// to its end, or the edit has been found.
func (p *Publication) ApplyPage(q configread.Request, page logservice.Page) {
	p.reader.ApplyPage(q, page)
	for _, e := range p.reader.Events() {
		if p.sent && e.Result != nil && e.Result.ID == p.id {
			p.found(*e.Result)
			return
		}
	}
	condition, detail := p.reader.Condition()
	switch {
	case condition == configread.NewerRecord && !p.sent:
		p.finish(p.result, problem.New(problem.NewerRecord, "upgrade this binary and apply again; nothing was published", "%s", detail).WithOutcome(problem.NotRun))
	case condition == configread.NewerRecord:
		p.finish(p.result, notKnown(p.id, detail))
	case condition == configread.Following && !p.reader.Pending() && !p.sent:
		p.phase = Compose
	}
}

// SetEdit takes the edit that was made from State. An edit without changes is
// accepted as it is. The error has the kind TooLarge.
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

// HandleAppended notes that the log took the edit.
func (p *Publication) HandleAppended(now time.Time) { p.find(now) }

// HandleAppendError notes that an append failed. One that the log refused is
// repeated; after any other the edit is looked up in the log.
func (p *Publication) HandleAppendError(now time.Time, err error) {
	refused := problem.Of(err).Outcome == problem.NotRun || p.off.find
	p.tries++
	switch {
	case !refused:
		p.find(now)
	case p.tries >= appendTries || p.off.find:
		p.finish(p.result, problem.New(problem.LogUnavailable, "wait until the log service is back, and apply again; nothing was published",
			"%s", problem.Of(err).Detail).WithOutcome(problem.NotRun))
	}
}

func (p *Publication) find(now time.Time) {
	p.sent = true
	p.phase = Read
	p.bound = now.Add(ConfirmTimeout)
	p.reader.Refresh()
}

func (p *Publication) found(r configfold.Result) {
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

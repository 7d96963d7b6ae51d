package configpublish

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	operators    = 4
	replyTimeout = 3 * time.Second
	outageTime   = 30 * time.Second
	// pollTime is the duration of a long poll that returns no records.
	pollTime = time.Second
)

// Messages of the matrix. Their type names are printed as part of the names of
// steps.
type (
	begin         struct{}
	timeout       struct{ seq int }
	retry         struct{ seq int }
	appendRequest struct {
		seq    int
		record []byte
	}
	appendResponse struct {
		seq int
		err error
	}
	readRequest struct {
		seq    int
		action Action
	}
	readResponse struct {
		seq    int
		action Action
		page   logservice.Page
		err    error
	}
)

// facts holds the log and the outcomes reported to the operators.
type facts struct {
	records   []logservice.Record
	downUntil time.Time
	reported  map[ident.EditID]string
	noBase    bool
	disabled  disabled
}

// Inject applies an outage of the log.
func (f *facts) Inject(w *faultmatrix.World, fault faultmatrix.Fault) bool {
	if fault != faultmatrix.LogDown {
		return false
	}
	f.downUntil = w.Now().Add(outageTime)
	return true
}

type logNode struct{ f *facts }

// Handle implements faultmatrix.Node.
func (n logNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	down := ctx.Now.Before(n.f.downUntil)
	refused := problem.New(problem.LogUnavailable, "wait", "outage").WithOutcome(problem.NotRun)
	switch m := m.(type) {
	case appendRequest:
		if down {
			ctx.Send(from, appendResponse{m.seq, refused})
			return
		}
		n.f.records = append(n.f.records, logservice.Record{Offset: int64(len(n.f.records)), Data: m.record})
		ctx.Send(from, appendResponse{seq: m.seq})
	case readRequest:
		if down {
			ctx.Send(from, readResponse{seq: m.seq, action: m.action, err: refused})
			return
		}
		page := logservice.Page{Next: int64(len(n.f.records))}
		if from := min(m.action.Request.From, page.Next); !m.action.Request.Snapshots {
			page.Records = n.f.records[from:]
		}
		ctx.Send(from, readResponse{seq: m.seq, action: m.action, page: page})
	}
}

// operatorNode publishes one edit. All operators edit the same table entry.
type operatorNode struct {
	f           *facts
	publication *Publication
	id          ident.EditID
	seq         int
}

// Handle implements faultmatrix.Node. An operator whose command was killed does
// not run it again.
func (n *operatorNode) Handle(ctx *faultmatrix.Context, _ string, m faultmatrix.Message) {
	if _, ok := m.(begin); ok {
		n.publication = NewPublication(ctx.Now)
		n.publication.disabled = n.f.disabled
		n.id = ident.EditID(ctx.Self())
		n.act(ctx)
		return
	}
	if n.publication == nil {
		return
	}
	switch m := m.(type) {
	case timeout:
		if m.seq == n.seq {
			n.handleTimeout(ctx)
		}
	case retry:
		if m.seq == n.seq {
			n.send(ctx, n.publication.Next(ctx.Now))
		}
	case appendResponse:
		if m.seq != n.seq {
			return
		}
		if m.err != nil {
			n.publication.HandleAppendError(ctx.Now, m.err)
		} else {
			n.publication.HandleAppended(ctx.Now)
		}
		n.act(ctx)
	case readResponse:
		if m.seq != n.seq {
			return
		}
		switch {
		case m.err != nil:
			n.publication.HandleLogError(m.err)
		case m.action.Request.Snapshots:
			n.publication.ApplySnapshots(nil)
		default:
			n.publication.ApplyPage(m.action.Request, m.page)
		}
		if m.action.Request.Wait > 0 && len(m.page.Records) == 0 {
			n.seq++
			ctx.After(pollTime, retry{n.seq})
			return
		}
		n.act(ctx)
	}
}

func (n *operatorNode) handleTimeout(ctx *faultmatrix.Context) {
	lost := problem.New(problem.LogUnavailable, "wait", "no reply").WithOutcome(problem.NotKnown)
	if n.publication.phase == Append {
		n.publication.HandleAppendError(ctx.Now, lost)
	} else {
		n.publication.HandleLogError(lost)
	}
	n.act(ctx)
}

func (n *operatorNode) act(ctx *faultmatrix.Context) {
	n.seq++
	a := n.publication.Next(ctx.Now)
	if pause := max(a.Pause, a.Request.Pause); pause > 0 {
		ctx.After(pause, retry{n.seq})
		return
	}
	n.send(ctx, a)
}

func (n *operatorNode) send(ctx *faultmatrix.Context, a Action) {
	switch a.Kind {
	case Compose:
		n.publication.SetEdit(n.compose())
		n.act(ctx)
		return
	case Append:
		ctx.Send("log", appendRequest{n.seq, a.Record})
	case Read:
		ctx.Send("log", readRequest{n.seq, a})
	case Done:
		n.f.reported[n.id] = reportedOutcome(n.publication.Outcome())
		return
	}
	ctx.After(replyTimeout, timeout{n.seq})
}

func (n *operatorNode) compose() configfold.Edit {
	value := fmt.Sprintf(`{"name":"p","kind":"model","concurrency":%d}`, 1+len(n.id))
	edit := Diff(n.publication.State(), Tables{Pools: map[string]json.RawMessage{"p": json.RawMessage(value)}}, n.id)
	if len(edit.Changes) == 0 {
		edit.Changes = []configfold.Change{{Table: configfold.Pools, Name: "p", Base: n.publication.State().Pools["p"].Revision, Value: []byte(value)}}
	}
	return edit
}

// reportedOutcome names the outcome that is reported to an operator.
func reportedOutcome(_ configfold.Result, err error) string {
	switch {
	case err == nil:
		return "accepted"
	case problem.Is(err, problem.EditConflict):
		return "rejected"
	case problem.Of(err).Outcome == problem.NotKnown:
		return "not known"
	}
	return "not published"
}

func scenario(without disabled, noBase bool) faultmatrix.Scenario {
	return faultmatrix.Scenario{
		Protocol: "apply",
		Build: func(w *faultmatrix.World) {
			f := &facts{reported: make(map[ident.EditID]string), disabled: without, noBase: noBase}
			w.ScenarioState = f
			w.Add("log", func(int) faultmatrix.Node { return logNode{f} })
			for i := range operators {
				name := fmt.Sprintf("operator-%d", i)
				w.Add(name, func(int) faultmatrix.Node { return &operatorNode{f: f} })
				w.Start(name, 0, begin{})
			}
		},
		Check:        check,
		Parallel:     true,
		Inapplicable: []faultmatrix.Fault{faultmatrix.ListLagging, faultmatrix.LeaseLapsed, faultmatrix.LogSlow, faultmatrix.OperatorRaces},
	}
}

// check compares the outcomes reported to the operators with the log, and checks
// that at most one edit is accepted per base.
func check(w *faultmatrix.World) []string {
	f := w.ScenarioState.(*facts)
	var out []string
	state := configfold.Empty()
	actual := make(map[ident.EditID]string)
	accepted := make(map[int64]int)
	for _, r := range f.records {
		if f.noBase {
			r.Data = withoutBase(r.Data, state)
		}
		next, result, err := configfold.Fold(state, r.Offset, r.Data)
		if err != nil {
			return []string{err.Error()}
		}
		if result.Accepted {
			actual[result.ID] = "accepted"
			accepted[baseOf(r.Data, f.noBase)]++
		} else if actual[result.ID] == "" {
			actual[result.ID] = "rejected"
		}
		state = next
	}
	for base, n := range accepted {
		if n > 1 {
			out = append(out, fmt.Sprintf("%d edits with base %d were accepted", n, base))
		}
	}
	for id, t := range f.reported {
		want := actual[id]
		wrong := t == "accepted" && want != "accepted" || t == "rejected" && want != "rejected" || t == "not published" && want != ""
		if wrong {
			out = append(out, fmt.Sprintf("%s: outcome %q was reported, outcome in the log is %q", id, t, want))
		}
	}
	return out
}

// withoutBase simulates a fold that does not check the base: it replaces the
// edit's base by the current revision.
func withoutBase(record []byte, s configfold.State) []byte {
	var e configfold.Edit
	_ = json.Unmarshal(record, &e)
	for i := range e.Changes {
		e.Changes[i].Base = s.Pools["p"].Revision
	}
	out, _ := json.Marshal(e)
	return out
}

func baseOf(record []byte, noBase bool) int64 {
	var e configfold.Edit
	if noBase || json.Unmarshal(record, &e) != nil || len(e.Changes) == 0 {
		return 0
	}
	return e.Changes[0].Base
}

// TestMatrix guards against an outcome reported to an operator that the log contradicts, and against
// two accepted edits with the same base (see check).
func TestMatrix(t *testing.T) {
	faultmatrix.TestWith(t, scenario(disabled{}, false), faultmatrix.Options{Seeds: []uint64{1, 2}, Pairs: 200})
}

// TestMatrixDetectsDisabledMechanisms disables one mechanism at a time. The
// matrix must fail, which shows that it tests the mechanism.
func TestMatrixDetectsDisabledMechanisms(t *testing.T) {
	t.Run("check of the base", func(t *testing.T) { faultmatrix.RequireViolation(t, scenario(disabled{}, true)) })
	t.Run("search for the edit", func(t *testing.T) { faultmatrix.RequireViolation(t, scenario(disabled{search: true}, false)) })
}

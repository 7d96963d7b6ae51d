package answer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	tokens           = 5
	tokenInterval    = 10 * time.Millisecond
	attemptTimeout   = 5 * time.Second
	requestTimeout   = 2 * time.Minute
	maxTries         = 4
	maxBufferedBytes = 1 << 10
)

// Messages of the model request protocol.
type (
	callerRequest  struct{ caller string }
	attemptRequest struct {
		attempt ident.AttemptID
		caller  string
		resume  string
		salt    int
	}
	tokenTimer struct {
		request attemptRequest
		next    int
		seq     int
	}
	frameMessage    struct{ frame.Frame }
	attemptDeadline struct{ attempt ident.AttemptID }
	answerDeadline  struct{}
	// The pos fields number the messages that an entry sends on its connection to the caller.
	streamData struct {
		pos  int
		data string
	}
	failed struct {
		pos int
		err string
	}
	completed struct{ pos int }
)

func (frameMessage) Label() string { return "frame" }

// mechanisms are the safeguards that single tests disable, to show that the matrix detects
// their absence.
type mechanisms struct {
	// sequence drops frames of earlier attempts and detects gaps.
	sequence bool
	// exact resumes from exactly the text sent to the caller.
	exact bool
}

var allEnabled = mechanisms{sequence: true, exact: true}

// facts records what the callers received.
type facts struct {
	received map[string]string
	complete map[string]bool
	err      map[string]string
}

// tokenOf returns a token of one generation. Each generation has its own salt, as engines that
// sample give different texts.
func tokenOf(caller string, salt, i int) string { return fmt.Sprintf("%s/%d/%d ", caller, salt, i) }

// callerNode reads a connection. Like TCP, it drops duplicates, and a gap breaks the
// connection.
type callerNode struct {
	name   string
	f      *facts
	next   int
	broken bool
}

// inOrder reports whether the message at pos is the next one. A gap marks the connection as
// broken.
func (c *callerNode) inOrder(pos int) bool {
	if pos < c.next || c.broken {
		return false
	}
	c.broken = pos > c.next
	c.next++
	return !c.broken
}

func (c *callerNode) Handle(ctx *faultmatrix.Context, _ string, m faultmatrix.Message) {
	switch m := m.(type) {
	case callerRequest:
		ctx.Send("entry-"+c.name, m)
	case streamData:
		if c.inOrder(m.pos) {
			c.f.received[c.name] += m.data
		}
	case completed:
		if c.inOrder(m.pos) {
			c.f.complete[c.name] = true
		}
	case failed:
		if c.inOrder(m.pos) {
			c.f.err[c.name] = m.err
		}
	}
}

// entryNode drives an Assembler as the entry does. It generates deterministic attempt IDs, so
// that runs can be repeated.
type entryNode struct {
	caller      string
	incarnation int
	enabled     mechanisms
	assembler   *answer.Assembler
	tries       int
	id          ident.AttemptID
	finished    bool
	pos         int
}

// nextPosition returns the next position on the connection to the caller.
func (e *entryNode) nextPosition() int {
	e.pos++
	return e.pos - 1
}

func (e *entryNode) Handle(ctx *faultmatrix.Context, _ string, m faultmatrix.Message) {
	switch m := m.(type) {
	case callerRequest:
		if e.assembler == nil {
			e.assembler = answer.New(true, maxBufferedBytes)
			ctx.After(requestTimeout, answerDeadline{})
			e.startAttempt(ctx)
		}
	case frameMessage:
		if !e.finished && e.assembler != nil {
			e.accept(ctx, m.Frame)
		}
	case attemptDeadline:
		if !e.finished && m.attempt == e.id {
			e.handleFailure(ctx, problem.New(problem.Unavailable, "wait", "no frame arrived before the attempt timed out"))
		}
	case answerDeadline:
		if !e.finished {
			e.endWithError(ctx, problem.New(problem.DeadlineExceeded, "ask again", "deadline"))
		}
	}
}

func (e *entryNode) startAttempt(ctx *faultmatrix.Context) {
	e.tries++
	e.id = ident.AttemptID(fmt.Sprintf("%s-%d-%d", e.caller, e.incarnation, e.tries))
	if e.enabled.sequence || e.tries == 1 {
		e.assembler.BeginAttempt(e.id)
	}
	r := attemptRequest{attempt: e.id, caller: e.caller, salt: e.tries}
	if e.assembler.Committed() {
		r.resume = e.assembler.Text()
	}
	if !e.enabled.exact {
		r.resume = ""
	}
	ctx.Send([]string{"agent-1", "agent-2"}[e.tries%2], r)
	ctx.After(attemptTimeout, attemptDeadline{e.id})
}

func (e *entryNode) accept(ctx *faultmatrix.Context, f frame.Frame) {
	if !e.enabled.sequence {
		f.Attempt = ident.AttemptID(fmt.Sprintf("%s-%d-1", e.caller, e.incarnation))
	}
	out, err := e.assembler.Accept(f)
	if err != nil {
		e.handleFailure(ctx, err)
		return
	}
	if len(out.Data) > 0 {
		ctx.Send("caller-"+e.caller, streamData{e.nextPosition(), string(out.Data)})
	}
	if out.Done {
		e.finished = true
		ctx.Send("caller-"+e.caller, completed{e.nextPosition()})
	}
}

func (e *entryNode) handleFailure(ctx *faultmatrix.Context, err error) {
	if e.tries >= maxTries || e.assembler.AfterFailure(true) == answer.Fail {
		e.endWithError(ctx, err)
		return
	}
	e.startAttempt(ctx)
}

func (e *entryNode) endWithError(ctx *faultmatrix.Context, err error) {
	e.finished = true
	ctx.Send("caller-"+e.caller, failed{e.nextPosition(), string(problem.Of(err).Kind)})
}

// agentNode generates one token per tick. A resumed stream continues the given text, of
// whichever generation.
type agentNode struct{ enabled mechanisms }

func (a *agentNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case attemptRequest:
		ctx.Send("entry-"+m.caller, frameMessage{frame.Frame{Attempt: m.attempt, Status: 200}})
		ctx.After(tokenInterval, tokenTimer{request: m, next: strings.Count(m.resume, " "), seq: 1})
	case tokenTimer:
		a.emitToken(ctx, m)
	}
}

func (a *agentNode) emitToken(ctx *faultmatrix.Context, m tokenTimer) {
	f := frame.Frame{Attempt: m.request.attempt, Seq: m.seq}
	if m.next == tokens {
		f.Data = []byte(engine.DoneMarker + "\n\n")
		f.Last = true
		ctx.Send("entry-"+m.request.caller, frameMessage{f})
		return
	}
	salt := m.request.salt
	if head, _, ok := strings.Cut(m.request.resume, "/"); ok && head == m.request.caller {
		_, _ = fmt.Sscanf(m.request.resume[len(head):], "/%d/", &salt)
	}
	data, _ := json.Marshal(engine.ChatAnswer{Choices: []engine.Choice{{Delta: &engine.Message{Content: tokenOf(m.request.caller, salt, m.next)}}}})
	f.Data = []byte("data: " + string(data) + "\n\n")
	ctx.Send("entry-"+m.request.caller, frameMessage{f})
	m.next++
	m.seq++
	ctx.After(tokenInterval, m)
}

func modelRequest(enabled mechanisms) faultmatrix.Scenario {
	callers := []string{"a", "b"}
	return faultmatrix.Scenario{
		Protocol:     "model request",
		Parallel:     true,
		Inapplicable: []faultmatrix.Fault{faultmatrix.LogDown, faultmatrix.LogSlow, faultmatrix.ListLagging, faultmatrix.LeaseLapsed, faultmatrix.OperatorRaces},
		Build: func(w *faultmatrix.World) {
			f := &facts{received: map[string]string{}, complete: map[string]bool{}, err: map[string]string{}}
			w.ScenarioState = f
			for _, name := range []string{"agent-1", "agent-2"} {
				w.Add(name, func(int) faultmatrix.Node { return &agentNode{enabled} })
			}
			for i, c := range callers {
				w.Add("entry-"+c, func(incarnation int) faultmatrix.Node {
					return &entryNode{caller: c, incarnation: incarnation, enabled: enabled}
				})
				w.Add("caller-"+c, func(int) faultmatrix.Node { return &callerNode{name: c, f: f} })
				w.Start("caller-"+c, time.Duration(i)*time.Millisecond, callerRequest{c})
			}
		},
		Check: func(w *faultmatrix.World) []string {
			return append(check(w.ScenarioState.(*facts), callers), unfinished(w, callers)...)
		},
	}
}

// check compares what each caller received with the generations of its own request. The link
// from entry to caller may break: a caller that received neither the end marker nor an error
// knows that its answer is incomplete.
func check(f *facts, callers []string) []string {
	var out []string
	for _, c := range callers {
		text, endMarker := readEvents(f.received[c])
		if f.complete[c] && !endMarker {
			out = append(out, c+" received a complete answer without the end marker")
		}
		if !isPrefixOfOneGeneration(c, text, endMarker && f.complete[c]) {
			out = append(out, fmt.Sprintf("%s received %q complete=%t", c, text, f.complete[c]))
		}
	}
	return out
}

// unfinished lists the entries that accepted a request and did not reach a final answer or
// error.
func unfinished(w *faultmatrix.World, callers []string) []string {
	var out []string
	for _, c := range callers {
		e := w.Node("entry-" + c).(*entryNode)
		if e.assembler != nil && !e.finished {
			out = append(out, "the entry sent "+c+" no final answer")
		}
	}
	return out
}

func readEvents(stream string) (text string, endMarker bool) {
	for event := range strings.SplitSeq(stream, "\n\n") {
		if event == engine.DoneMarker {
			return text, true
		}
		var a engine.ChatAnswer
		if json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &a) == nil && len(a.Choices) > 0 {
			text += a.Choices[0].Delta.Content
		}
	}
	return text, false
}

// isPrefixOfOneGeneration reports whether the text is the start of one of the caller's
// generations, and all of it if the stream has ended.
func isPrefixOfOneGeneration(caller, text string, ended bool) bool {
	for salt := 1; salt <= maxTries; salt++ {
		generation := ""
		for i := range tokens {
			generation += tokenOf(caller, salt, i)
		}
		if text == generation || !ended && strings.HasPrefix(generation, text) {
			return true
		}
	}
	return false
}

// Guards the rule that a caller receives one generation, complete or marked as failed,
// whichever fault occurs at whichever step.
func TestMatrixCompleteAnswers(t *testing.T) { faultmatrix.Test(t, modelRequest(allEnabled)) }

// Without frame sequencing, late frames of an earlier attempt mix with the current one.
func TestMatrixDetectsMissingFrameSequencing(t *testing.T) {
	faultmatrix.RequireViolation(t, modelRequest(mechanisms{exact: true}))
}

// If a resumed stream does not start from exactly the text already sent, the caller receives
// parts twice or of two generations.
func TestMatrixDetectsInexactResume(t *testing.T) {
	faultmatrix.RequireViolation(t, modelRequest(mechanisms{sequence: true}))
}

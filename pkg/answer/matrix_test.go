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
	tokens       = 5
	tokenTime    = 10 * time.Millisecond
	attemptLimit = 5 * time.Second
	requestLimit = 2 * time.Minute
	maxTries     = 4
	heldBytes    = 1 << 10
)

// Messages of the model request protocol.
type (
	ask     struct{ caller string }
	request struct {
		attempt ident.AttemptID
		caller  string
		resume  string
		salt    int
	}
	tick struct {
		request request
		next    int
		seq     int
	}
	frameOf struct{ frame.Frame }
	idle    struct{ attempt ident.AttemptID }
	giveUp  struct{}
	// pos numbers what an entry sends on its connection to the caller.
	sent struct {
		pos  int
		data string
	}
	ended struct {
		pos int
		err string
	}
	complete struct{ pos int }
)

func (frameOf) Label() string { return "frame" }

// mechanisms are what the teeth tests turn off.
type mechanisms struct {
	// sequence drops frames of earlier attempts and notices gaps.
	sequence bool
	// exact resumes from exactly the text sent.
	exact bool
}

var allOn = mechanisms{sequence: true, exact: true}

// facts is what the callers saw.
type facts struct {
	got   map[string]string
	whole map[string]bool
	err   map[string]string
}

// tokenOf is the token of one generation: engines that sample differ by salt.
func tokenOf(caller string, salt, i int) string { return fmt.Sprintf("%s/%d/%d ", caller, salt, i) }

// callerNode reads a connection: what comes twice is dropped, and a gap breaks
// it, as TCP does.
type callerNode struct {
	name   string
	f      *facts
	next   int
	broken bool
}

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
	case ask:
		ctx.Send("entry-"+c.name, m)
	case sent:
		if c.inOrder(m.pos) {
			c.f.got[c.name] += m.data
		}
	case complete:
		if c.inOrder(m.pos) {
			c.f.whole[c.name] = true
		}
	case ended:
		if c.inOrder(m.pos) {
			c.f.err[c.name] = m.err
		}
	}
}

// entryNode drives an Assembler as the entry does. Attempt ids come from the
// node, so that runs repeat.
type entryNode struct {
	caller string
	life   int
	on     mechanisms
	asm    *answer.Assembler
	tries  int
	id     ident.AttemptID
	over   bool
	pos    int
}

// place returns the next place on the connection to the caller.
func (e *entryNode) place() int {
	e.pos++
	return e.pos - 1
}

func (e *entryNode) Handle(ctx *faultmatrix.Context, _ string, m faultmatrix.Message) {
	switch m := m.(type) {
	case ask:
		if e.asm == nil {
			e.asm = answer.New(true, heldBytes)
			ctx.After(requestLimit, giveUp{})
			e.try(ctx)
		}
	case frameOf:
		if !e.over && e.asm != nil {
			e.accept(ctx, m.Frame)
		}
	case idle:
		if !e.over && m.attempt == e.id {
			e.failed(ctx, problem.New(problem.Unavailable, "wait", "no frame came"))
		}
	case giveUp:
		if !e.over {
			e.end(ctx, problem.New(problem.DeadlineExceeded, "ask again", "deadline"))
		}
	}
}

func (e *entryNode) try(ctx *faultmatrix.Context) {
	e.tries++
	e.id = ident.AttemptID(fmt.Sprintf("%s-%d-%d", e.caller, e.life, e.tries))
	if e.on.sequence || e.tries == 1 {
		e.asm.BeginAttempt(e.id)
	}
	r := request{attempt: e.id, caller: e.caller, salt: e.tries}
	if e.asm.Committed() {
		r.resume = e.asm.Text()
	}
	if !e.on.exact {
		r.resume = ""
	}
	ctx.Send([]string{"agent-1", "agent-2"}[e.tries%2], r)
	ctx.After(attemptLimit, idle{e.id})
}

func (e *entryNode) accept(ctx *faultmatrix.Context, f frame.Frame) {
	if !e.on.sequence {
		f.Attempt = ident.AttemptID(fmt.Sprintf("%s-%d-1", e.caller, e.life))
	}
	out, err := e.asm.Accept(f)
	if err != nil {
		e.failed(ctx, err)
		return
	}
	if len(out.Data) > 0 {
		ctx.Send("caller-"+e.caller, sent{e.place(), string(out.Data)})
	}
	if out.Done {
		e.over = true
		ctx.Send("caller-"+e.caller, complete{e.place()})
	}
}

func (e *entryNode) failed(ctx *faultmatrix.Context, err error) {
	if e.tries >= maxTries || e.asm.AfterFailure(true) == answer.Fail {
		e.end(ctx, err)
		return
	}
	e.try(ctx)
}

func (e *entryNode) end(ctx *faultmatrix.Context, err error) {
	e.over = true
	ctx.Send("caller-"+e.caller, ended{e.place(), string(problem.Of(err).Kind)})
}

// agentNode generates one token a tick. A resumed stream continues the text
// that it is given, whatever generation that is of.
type agentNode struct{ on mechanisms }

func (a *agentNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case request:
		ctx.Send("entry-"+m.caller, frameOf{frame.Frame{Attempt: m.attempt, Status: 200}})
		ctx.After(tokenTime, tick{request: m, next: strings.Count(m.resume, " "), seq: 1})
	case tick:
		a.step(ctx, m)
	}
}

func (a *agentNode) step(ctx *faultmatrix.Context, m tick) {
	f := frame.Frame{Attempt: m.request.attempt, Seq: m.seq}
	if m.next == tokens {
		f.Data = []byte(engine.DoneMarker + "\n\n")
		f.Last = true
		ctx.Send("entry-"+m.request.caller, frameOf{f})
		return
	}
	salt := m.request.salt
	if head, _, ok := strings.Cut(m.request.resume, "/"); ok && head == m.request.caller {
		_, _ = fmt.Sscanf(m.request.resume[len(head):], "/%d/", &salt)
	}
	data, _ := json.Marshal(engine.ChatAnswer{Choices: []engine.Choice{{Delta: &engine.Message{Content: tokenOf(m.request.caller, salt, m.next)}}}})
	f.Data = []byte("data: " + string(data) + "\n\n")
	ctx.Send("entry-"+m.request.caller, frameOf{f})
	m.next++
	m.seq++
	ctx.After(tokenTime, m)
}

func modelRequest(on mechanisms) faultmatrix.Scenario {
	callers := []string{"a", "b"}
	return faultmatrix.Scenario{
		Protocol:     "model request",
		Parallel:     true,
		Inapplicable: []faultmatrix.Fault{faultmatrix.LogDown, faultmatrix.LogSlow, faultmatrix.ListLagging, faultmatrix.LeaseLapsed, faultmatrix.OperatorRaces},
		Build: func(w *faultmatrix.World) {
			f := &facts{got: map[string]string{}, whole: map[string]bool{}, err: map[string]string{}}
			w.ScenarioState = f
			for _, name := range []string{"agent-1", "agent-2"} {
				w.Add(name, func(int) faultmatrix.Node { return &agentNode{on} })
			}
			for i, c := range callers {
				w.Add("entry-"+c, func(life int) faultmatrix.Node { return &entryNode{caller: c, life: life, on: on} })
				w.Add("caller-"+c, func(int) faultmatrix.Node { return &callerNode{name: c, f: f} })
				w.Start("caller-"+c, time.Duration(i)*time.Millisecond, ask{c})
			}
		},
		Check: func(w *faultmatrix.World) []string {
			return append(check(w.ScenarioState.(*facts), callers), unfinished(w, callers)...)
		},
	}
}

// check compares what each caller saw with the generations of its own request.
// The link from entry to caller may break: a caller that saw neither the end
// marker nor an error knows that its answer is not whole.
func check(f *facts, callers []string) []string {
	var out []string
	for _, c := range callers {
		text, marked := readEvents(f.got[c])
		if f.whole[c] && !marked {
			out = append(out, c+" was told whole without the end marker")
		}
		if !startOfOneGeneration(c, text, marked && f.whole[c]) {
			out = append(out, fmt.Sprintf("%s saw %q whole=%t", c, text, f.whole[c]))
		}
	}
	return out
}

// unfinished finds entries that took a request and never came to its final
// answer.
func unfinished(w *faultmatrix.World, callers []string) []string {
	var out []string
	for _, c := range callers {
		e := w.Node("entry-" + c).(*entryNode)
		if e.asm != nil && !e.over {
			out = append(out, "the entry gave "+c+" no final answer")
		}
	}
	return out
}

func readEvents(stream string) (text string, marked bool) {
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

func startOfOneGeneration(caller, text string, whole bool) bool {
	for salt := 1; salt <= maxTries; salt++ {
		generation := ""
		for i := range tokens {
			generation += tokenOf(caller, salt, i)
		}
		if text == generation || !whole && strings.HasPrefix(generation, text) {
			return true
		}
	}
	return false
}

func TestMatrixWholeAnswers(t *testing.T) { faultmatrix.Test(t, modelRequest(allOn)) }

func TestTeethFramesOfEarlierAttempts(t *testing.T) {
	faultmatrix.RequireViolation(t, modelRequest(mechanisms{exact: true}))
}

func TestTeethResumeFromExactText(t *testing.T) {
	faultmatrix.RequireViolation(t, modelRequest(mechanisms{sequence: true}))
}

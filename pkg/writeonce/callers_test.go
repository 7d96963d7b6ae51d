package writeonce_test

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// flight is one request at an entry.
type flight struct {
	caller   string
	conn     int
	call     *writeonce.Call
	keyless  bool
	body     string
	deadline time.Time
	tried    []string
	agent    ident.Incarnation
	last     *problem.Error
	// attempt is the id of the try that is awaited, asked the agent whose
	// incarnation is awaited.
	attempt string
	asked   string
	// certificates are awaited while settling.
	settling     bool
	certificates []writeonce.Certificate
}

// entryNode is one life of an entry.
type entryNode struct {
	f       *facts
	name    string
	life    int
	tries   int
	flights []*flight
	// asks are the connections of callers that want a permit.
	asks map[string][]string
	// claimOnlyTry breaks the rule that a refusal speaks for a key only where
	// it was the only try.
	claimOnlyTry bool
}

func (e *entryNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case callMsg:
		e.open(ctx, from, m)
	case askPermit:
		agent := agentNames[m.Conn%len(agentNames)]
		e.asks[agent] = append(e.asks[agent], fmt.Sprint(from, " ", m.Conn))
		ctx.Send(agent, whoIs{})
	case iAm:
		e.identified(ctx, from, m)
	case attemptEnd:
		e.ended(ctx, m)
	case attemptTimer:
		e.unreached(ctx, m.id)
	case flightTimer:
		e.timeUp(ctx, m.conn)
	case refuseEnd:
		e.certified(ctx, m)
	case refuseTimer:
		for _, f := range slices.Clone(e.flights) {
			if f.settling && f.attempt == m.id {
				e.tell(ctx, f, f.call.FinalError(f.last, f.certificates))
			}
		}
	}
}

func (e *entryNode) open(ctx *faultmatrix.Context, from string, m callMsg) {
	if !e.f.once(m.Conn) {
		return
	}
	f := &flight{caller: from, conn: m.Conn, body: m.Body, keyless: m.Key == "", deadline: ctx.Now.Add(entryBound)}
	text := m.Key
	if f.keyless {
		text = keyAt(ctx.Now, m.Conn)
	}
	key, err := writeonce.ParseKey(text)
	if err != nil {
		ctx.Send(from, told{Conn: m.Conn, Outcome: problem.Of(err).Outcome})
		return
	}
	f.call = writeonce.NewCall(key, f.keyless || m.FirstTry || e.claimOnlyTry)
	e.flights = append(e.flights, f)
	ctx.After(entryBound, flightTimer{f.conn})
	e.next(ctx, f)
}

// next asks the agent of the next try who it is.
func (e *entryNode) next(ctx *faultmatrix.Context, f *flight) {
	e.tries++
	f.attempt = fmt.Sprint(e.name, "/", e.life, "/", e.tries)
	f.asked = e.choose(f)
	ctx.Send(f.asked, whoIs{})
	ctx.After(time.Second, attemptTimer{f.attempt})
}

func (e *entryNode) choose(f *flight) string {
	if target := string(f.call.Target()); target != "" {
		return target[:2]
	}
	// The entries prefer different agents, so that one key meets two.
	first := 0
	if e.name == "e2" {
		first = 1
	}
	for i := range agentNames {
		name := agentNames[(first+i)%len(agentNames)]
		if !slices.Contains(f.tried, name) {
			return name
		}
	}
	return agentNames[first]
}

func (e *entryNode) identified(ctx *faultmatrix.Context, from string, m iAm) {
	for _, ask := range e.asks[from] {
		var caller string
		var conn int
		fmt.Sscan(ask, &caller, &conn)
		ctx.Send(caller, permitTold{Conn: conn, Key: m.Permit})
	}
	e.asks[from] = nil
	for _, f := range slices.Clone(e.flights) {
		if f.asked != from || f.settling {
			continue
		}
		f.asked = ""
		if target := f.call.Target(); target != "" && target != m.Agent && !e.f.off.AnyIncarnation {
			e.settle(ctx, f, f.call.UnreachableError(true))
			continue
		}
		if f.keyless && f.call.Target() == "" {
			key, _ := writeonce.ParseKey(m.Permit)
			f.call = writeonce.NewCall(key, true)
		}
		f.agent = m.Agent
		f.tried = append(f.tried, from)
		ctx.Send(from, attempt{ID: f.attempt, To: m.Agent, Key: f.call.Key.String(), Body: f.body, Deadline: f.deadline})
	}
}

func (e *entryNode) ended(ctx *faultmatrix.Context, m attemptEnd) {
	for _, f := range slices.Clone(e.flights) {
		if f.attempt != m.ID || f.settling {
			continue
		}
		if m.P == nil {
			e.forget(f)
			ctx.Send(f.caller, told{Conn: f.conn, Key: m.Answer, Outcome: problem.Ran})
			continue
		}
		e.failed(ctx, f, m.P, m.Owner)
	}
}

func (e *entryNode) failed(ctx *faultmatrix.Context, f *flight, p *problem.Error, owner ident.Incarnation) {
	if f.call.RecordFailure(f.agent, p, owner) && ctx.Now.Before(f.deadline) {
		e.next(ctx, f)
		return
	}
	e.settle(ctx, f, p)
}

// unreached ends the wait for an agent that cannot be reached: nothing was
// sent.
func (e *entryNode) unreached(ctx *faultmatrix.Context, id string) {
	for _, f := range slices.Clone(e.flights) {
		if f.settling || f.attempt != id || f.asked == "" {
			continue
		}
		f.tried = append(f.tried, f.asked)
		f.asked = ""
		if f.call.Target() != "" {
			e.settle(ctx, f, f.call.UnreachableError(false))
			continue
		}
		e.failed(ctx, f, problem.New(problem.BackendUnreachable, "", "").WithOutcome(problem.NotRun), "")
	}
}

func (e *entryNode) timeUp(ctx *faultmatrix.Context, conn int) {
	for _, f := range slices.Clone(e.flights) {
		if !f.settling && f.conn == conn {
			e.failed(ctx, f, problem.New(problem.DeadlineExceeded, "", "").WithOutcome(problem.NotKnown), "")
		}
	}
}

func (e *entryNode) settle(ctx *faultmatrix.Context, f *flight, p *problem.Error) {
	f.last = p
	if len(f.call.UncertainAgents()) == 0 {
		e.tell(ctx, f, f.call.FinalError(p, nil))
		return
	}
	f.settling = true
	for _, agent := range f.call.UncertainAgents() {
		ctx.Send(string(agent)[:2], refuseMsg{ID: f.attempt, Key: f.call.Key.String(), Body: f.body, To: agent})
	}
	ctx.After(refuseWait, refuseTimer{f.attempt})
}

func (e *entryNode) certified(ctx *faultmatrix.Context, m refuseEnd) {
	for _, f := range slices.Clone(e.flights) {
		if !f.settling || f.attempt != m.ID {
			continue
		}
		f.certificates = append(f.certificates, m.Cert)
		if len(f.certificates) == len(f.call.UncertainAgents()) {
			e.tell(ctx, f, f.call.FinalError(f.last, f.certificates))
		}
	}
}

func (e *entryNode) tell(ctx *faultmatrix.Context, f *flight, p *problem.Error) {
	e.forget(f)
	ctx.Send(f.caller, told{Conn: f.conn, Key: f.call.Key.String(), Outcome: p.Outcome, Kind: p.Kind})
}

func (e *entryNode) forget(f *flight) {
	e.flights = slices.DeleteFunc(e.flights, func(o *flight) bool { return o == f })
}

// plan is one action that a caller wants done once.
type plan struct {
	name    string
	at      time.Duration
	key     string
	body    string
	entries [2]string
	// permit asks for a permit first; firstTry says so on the first request.
	permit, keyless, firstTry bool
	// late requests come after the window.
	late []time.Duration

	tries int
	conn  int
	op    int
	done  bool
}

// callerNode retries under one key until it is told ran or not-run.
type callerNode struct {
	f     *facts
	begin time.Time
	plans []*plan
}

func (c *callerNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case startCall:
		p := *m.plan
		c.plans = append(c.plans, &p)
		if p.permit {
			p.conn = c.f.nextConn()
			c.plans[len(c.plans)-1].conn = p.conn
			ctx.Send(p.entries[0], askPermit{Conn: p.conn})
			return
		}
		c.send(ctx, c.plans[len(c.plans)-1])
	case permitTold:
		for _, p := range c.plans {
			if p.conn == m.Conn && p.key == "" {
				p.key = m.Key
				c.send(ctx, p)
			}
		}
	case told:
		c.told(ctx, m)
	case callTimer:
		for _, p := range c.plans {
			if p.conn == m.try && !p.done {
				c.send(ctx, p)
			}
		}
	case lateTimer:
		for _, p := range c.plans {
			if p.name == m.plan && p.key != "" {
				p.done = true
				c.request(ctx, p)
			}
		}
	}
}

type lateTimer struct{ plan string }

// send makes the next try at the other entry.
func (c *callerNode) send(ctx *faultmatrix.Context, p *plan) {
	if p.tries >= maxTries {
		return
	}
	if p.tries == 0 {
		for _, after := range p.late {
			ctx.After(after, lateTimer{p.name})
		}
	}
	c.request(ctx, p)
	ctx.After(callWait, callTimer{p.conn})
}

func (c *callerNode) request(ctx *faultmatrix.Context, p *plan) {
	p.conn = c.f.nextConn()
	p.op = len(c.f.ops)
	if _, ok := c.f.firstOps[p.name]; !ok {
		c.f.firstOps[p.name] = p.op
	}
	c.f.lastOps[p.name] = p.op
	c.f.ops = append(c.f.ops, operation{key: p.key, body: p.body, call: ctx.Now.Sub(c.begin), end: -1})
	ctx.Send(p.entries[p.tries%2], callMsg{Conn: p.conn, Key: p.key, Body: p.body, FirstTry: p.firstTry && p.tries == 0})
	p.tries++
}

func (c *callerNode) told(ctx *faultmatrix.Context, m told) {
	for _, p := range c.plans {
		if p.conn != m.Conn || c.f.ops[p.op].end >= 0 {
			continue
		}
		op := &c.f.ops[p.op]
		if p.key == "" {
			p.key, op.key = m.Key, m.Key
		}
		op.end = ctx.Now.Sub(c.begin)
		op.outcome, op.kind = m.Outcome, m.Kind
		if m.Outcome == problem.Ran && m.Key != p.key {
			op.kind = "anothers-answer"
		}
		if m.Outcome == problem.NotKnown {
			ctx.After(callerPause, callTimer{p.conn})
			continue
		}
		p.done = true
	}
}

// keyAt returns a dated key.
func keyAt(at time.Time, n int) string {
	h := fnv.New64a()
	fmt.Fprint(h, n)
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", at.UnixMilli()>>16, at.UnixMilli()&0xffff, h.Sum64()&0xffffffffffff)
}

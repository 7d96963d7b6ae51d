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

// entryRequest is one caller request at an entry.
type entryRequest struct {
	caller      string
	conn        int
	call        *writeonce.Call
	keyless     bool
	body        string
	deadline    time.Time
	triedAgents []string
	agent       ident.Incarnation
	lastFailure *problem.Error
	// attempt is the id of the attempt in progress. asked is the agent whose identity reply is
	// awaited.
	attempt string
	asked   string
	// collecting is true while the entry waits for certificates.
	collecting   bool
	certificates []writeonce.Certificate
}

// entryNode is one incarnation of an entry.
type entryNode struct {
	f           *facts
	name        string
	incarnation int
	attempts    int
	requests    []*entryRequest
	// permitRequests holds the connections of callers that wait for a permit, by agent.
	permitRequests map[string][]string
	// assumeOnlyRequest disables the rule that a refused attempt shows that the key did not run
	// only if it was the caller's only request.
	assumeOnlyRequest bool
}

func (e *entryNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case callMsg:
		e.handleCall(ctx, from, m)
	case askPermit:
		agent := agentNames[m.Conn%len(agentNames)]
		e.permitRequests[agent] = append(e.permitRequests[agent], fmt.Sprint(from, " ", m.Conn))
		ctx.Send(agent, whoIs{})
	case iAm:
		e.handleIdentity(ctx, from, m)
	case attemptEnd:
		e.handleAttemptEnd(ctx, m)
	case attemptTimer:
		e.handleUnreachable(ctx, m.id)
	case flightTimer:
		e.handleDeadline(ctx, m.conn)
	case refuseEnd:
		e.handleCertificate(ctx, m)
	case refuseTimer:
		for _, f := range slices.Clone(e.requests) {
			if f.collecting && f.attempt == m.id {
				e.reply(ctx, f, f.call.FinalError(f.lastFailure, f.certificates))
			}
		}
	}
}

func (e *entryNode) handleCall(ctx *faultmatrix.Context, from string, m callMsg) {
	if !e.f.firstOnConn(m.Conn) {
		return
	}
	f := &entryRequest{caller: from, conn: m.Conn, body: m.Body, keyless: m.Key == "", deadline: ctx.Now.Add(entryBound)}
	text := m.Key
	if f.keyless {
		text = keyAt(ctx.Now, m.Conn)
	}
	key, err := writeonce.ParseKey(text)
	if err != nil {
		ctx.Send(from, told{Conn: m.Conn, Outcome: problem.Of(err).Outcome})
		return
	}
	f.call = writeonce.NewCall(key, f.keyless || m.FirstTry || e.assumeOnlyRequest)
	e.requests = append(e.requests, f)
	ctx.After(entryBound, flightTimer{f.conn})
	e.nextAttempt(ctx, f)
}

// nextAttempt asks the agent of the next attempt for its incarnation.
func (e *entryNode) nextAttempt(ctx *faultmatrix.Context, f *entryRequest) {
	e.attempts++
	f.attempt = fmt.Sprint(e.name, "/", e.incarnation, "/", e.attempts)
	f.asked = e.chooseAgent(f)
	ctx.Send(f.asked, whoIs{})
	ctx.After(time.Second, attemptTimer{f.attempt})
}

func (e *entryNode) chooseAgent(f *entryRequest) string {
	if target := string(f.call.Target()); target != "" {
		return target[:2]
	}
	// The entries prefer different agents, so that one key reaches two agents.
	first := 0
	if e.name == "e2" {
		first = 1
	}
	for i := range agentNames {
		name := agentNames[(first+i)%len(agentNames)]
		if !slices.Contains(f.triedAgents, name) {
			return name
		}
	}
	return agentNames[first]
}

func (e *entryNode) handleIdentity(ctx *faultmatrix.Context, from string, m iAm) {
	for _, ask := range e.permitRequests[from] {
		var caller string
		var conn int
		fmt.Sscan(ask, &caller, &conn)
		ctx.Send(caller, permitTold{Conn: conn, Key: m.Permit})
	}
	e.permitRequests[from] = nil
	for _, f := range slices.Clone(e.requests) {
		if f.asked != from || f.collecting {
			continue
		}
		f.asked = ""
		if target := f.call.Target(); target != "" && target != m.Agent && !e.f.off.AnyIncarnation {
			e.collectCertificates(ctx, f, f.call.UnreachableError(true))
			continue
		}
		if f.keyless && f.call.Target() == "" {
			key, _ := writeonce.ParseKey(m.Permit)
			f.call = writeonce.NewCall(key, true)
		}
		f.agent = m.Agent
		f.triedAgents = append(f.triedAgents, from)
		ctx.Send(from, attempt{ID: f.attempt, To: m.Agent, Key: f.call.Key.String(), Body: f.body, Deadline: f.deadline})
	}
}

func (e *entryNode) handleAttemptEnd(ctx *faultmatrix.Context, m attemptEnd) {
	for _, f := range slices.Clone(e.requests) {
		if f.attempt != m.ID || f.collecting {
			continue
		}
		if m.P == nil {
			e.remove(f)
			ctx.Send(f.caller, told{Conn: f.conn, Key: m.Answer, Outcome: problem.Ran})
			continue
		}
		e.handleFailure(ctx, f, m.P, m.Owner)
	}
}

func (e *entryNode) handleFailure(ctx *faultmatrix.Context, f *entryRequest, p *problem.Error, owner ident.Incarnation) {
	if f.call.RecordFailure(f.agent, p, owner) && ctx.Now.Before(f.deadline) {
		e.nextAttempt(ctx, f)
		return
	}
	e.collectCertificates(ctx, f, p)
}

// handleUnreachable stops waiting for an agent that did not answer. No call was sent to it.
func (e *entryNode) handleUnreachable(ctx *faultmatrix.Context, id string) {
	for _, f := range slices.Clone(e.requests) {
		if f.collecting || f.attempt != id || f.asked == "" {
			continue
		}
		f.triedAgents = append(f.triedAgents, f.asked)
		f.asked = ""
		if f.call.Target() != "" {
			e.collectCertificates(ctx, f, f.call.UnreachableError(false))
			continue
		}
		e.handleFailure(ctx, f, problem.New(problem.BackendUnreachable, "", "").WithOutcome(problem.NotRun), "")
	}
}

func (e *entryNode) handleDeadline(ctx *faultmatrix.Context, conn int) {
	for _, f := range slices.Clone(e.requests) {
		if !f.collecting && f.conn == conn {
			e.handleFailure(ctx, f, problem.New(problem.DeadlineExceeded, "", "").WithOutcome(problem.NotKnown), "")
		}
	}
}

func (e *entryNode) collectCertificates(ctx *faultmatrix.Context, f *entryRequest, p *problem.Error) {
	f.lastFailure = p
	if len(f.call.UncertainAgents()) == 0 {
		e.reply(ctx, f, f.call.FinalError(p, nil))
		return
	}
	f.collecting = true
	for _, agent := range f.call.UncertainAgents() {
		ctx.Send(string(agent)[:2], refuseMsg{ID: f.attempt, Key: f.call.Key.String(), Body: f.body, To: agent})
	}
	ctx.After(refuseWait, refuseTimer{f.attempt})
}

func (e *entryNode) handleCertificate(ctx *faultmatrix.Context, m refuseEnd) {
	for _, f := range slices.Clone(e.requests) {
		if !f.collecting || f.attempt != m.ID {
			continue
		}
		f.certificates = append(f.certificates, m.Cert)
		if len(f.certificates) == len(f.call.UncertainAgents()) {
			e.reply(ctx, f, f.call.FinalError(f.lastFailure, f.certificates))
		}
	}
}

func (e *entryNode) reply(ctx *faultmatrix.Context, f *entryRequest, p *problem.Error) {
	e.remove(f)
	ctx.Send(f.caller, told{Conn: f.conn, Key: f.call.Key.String(), Outcome: p.Outcome, Kind: p.Kind})
}

func (e *entryNode) remove(f *entryRequest) {
	e.requests = slices.DeleteFunc(e.requests, func(o *entryRequest) bool { return o == f })
}

// plan is one action that a caller wants carried out once.
type plan struct {
	name    string
	at      time.Duration
	key     string
	body    string
	entries [2]string
	// permit requests a permit first; keyless sends no key; firstTry marks the first request as
	// the first one under the key.
	permit, keyless, firstTry bool
	// late requests are sent after the key's lifetime.
	late []time.Duration

	requests int
	conn     int
	op       int
	done     bool
}

// callerNode retries under one key until it receives the outcome ran or not-run.
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
		c.handleResponse(ctx, m)
	case callTimer:
		for _, p := range c.plans {
			if p.conn == m.conn && !p.done {
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

// send sends the next request, alternating between the two entries.
func (c *callerNode) send(ctx *faultmatrix.Context, p *plan) {
	if p.requests >= maxRequests {
		return
	}
	if p.requests == 0 {
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
	ctx.Send(p.entries[p.requests%2], callMsg{Conn: p.conn, Key: p.key, Body: p.body, FirstTry: p.firstTry && p.requests == 0})
	p.requests++
}

func (c *callerNode) handleResponse(ctx *faultmatrix.Context, m told) {
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
			op.kind = "answer-of-another-key"
		}
		if m.Outcome == problem.NotKnown {
			ctx.After(callerPause, callTimer{p.conn})
			continue
		}
		p.done = true
	}
}

// keyAt returns a dated key created at a time; n makes it unique.
func keyAt(at time.Time, n int) string {
	h := fnv.New64a()
	fmt.Fprint(h, n)
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", at.UnixMilli()>>16, at.UnixMilli()&0xffff, h.Sum64()&0xffffffffffff)
}

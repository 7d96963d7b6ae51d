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
	// attempt is the id of the attempt in progress. queriedAgent is the agent whose identity
	// response is awaited.
	attempt      string
	queriedAgent string
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
	case writeRequest:
		e.handleCall(ctx, from, m)
	case permitRequest:
		agent := agentNames[m.Conn%len(agentNames)]
		e.permitRequests[agent] = append(e.permitRequests[agent], fmt.Sprint(from, " ", m.Conn))
		ctx.Send(agent, identityRequest{})
	case identityResponse:
		e.handleIdentity(ctx, from, m)
	case attemptResponse:
		e.handleAttemptResponse(ctx, m)
	case agentTimeout:
		e.handleAgentTimeout(ctx, m.id)
	case callDeadline:
		e.handleDeadline(ctx, m.conn)
	case refusalCertificate:
		e.handleCertificate(ctx, m)
	case certificateTimeout:
		for _, r := range slices.Clone(e.requests) {
			if r.collecting && r.attempt == m.id {
				e.reply(ctx, r, r.call.FinalError(r.lastFailure, r.certificates))
			}
		}
	}
}

func (e *entryNode) handleCall(ctx *faultmatrix.Context, from string, m writeRequest) {
	if !e.f.firstOnConn(m.Conn) {
		return
	}
	r := &entryRequest{caller: from, conn: m.Conn, body: m.Body, keyless: m.Key == "", deadline: ctx.Now.Add(entryTimeLimit)}
	text := m.Key
	if r.keyless {
		text = keyAt(ctx.Now, m.Conn)
	}
	key, err := writeonce.ParseKey(text)
	if err != nil {
		ctx.Send(from, writeResponse{Conn: m.Conn, Outcome: problem.Of(err).Outcome})
		return
	}
	r.call = writeonce.NewCall(key, r.keyless || m.FirstTry || e.assumeOnlyRequest)
	e.requests = append(e.requests, r)
	ctx.After(entryTimeLimit, callDeadline{r.conn})
	e.nextAttempt(ctx, r)
}

// nextAttempt asks the agent of the next attempt for its incarnation.
func (e *entryNode) nextAttempt(ctx *faultmatrix.Context, r *entryRequest) {
	e.attempts++
	r.attempt = fmt.Sprint(e.name, "/", e.incarnation, "/", e.attempts)
	r.queriedAgent = e.chooseAgent(r)
	ctx.Send(r.queriedAgent, identityRequest{})
	ctx.After(time.Second, agentTimeout{r.attempt})
}

func (e *entryNode) chooseAgent(r *entryRequest) string {
	if target := string(r.call.Target()); target != "" {
		return target[:2]
	}
	// The entries prefer different agents, so that one key reaches two agents.
	first := 0
	if e.name == "e2" {
		first = 1
	}
	for i := range agentNames {
		name := agentNames[(first+i)%len(agentNames)]
		if !slices.Contains(r.triedAgents, name) {
			return name
		}
	}
	return agentNames[first]
}

func (e *entryNode) handleIdentity(ctx *faultmatrix.Context, from string, m identityResponse) {
	for _, request := range e.permitRequests[from] {
		var caller string
		var conn int
		fmt.Sscan(request, &caller, &conn)
		ctx.Send(caller, permitResponse{Conn: conn, Key: m.Permit})
	}
	e.permitRequests[from] = nil
	for _, r := range slices.Clone(e.requests) {
		if r.queriedAgent != from || r.collecting {
			continue
		}
		r.queriedAgent = ""
		if target := r.call.Target(); target != "" && target != m.Agent && !e.f.off.AnyIncarnation {
			e.collectCertificates(ctx, r, r.call.UnreachableError(true))
			continue
		}
		if r.keyless && r.call.Target() == "" {
			key, _ := writeonce.ParseKey(m.Permit)
			r.call = writeonce.NewCall(key, true)
		}
		r.agent = m.Agent
		r.triedAgents = append(r.triedAgents, from)
		ctx.Send(from, attemptRequest{ID: r.attempt, To: m.Agent, Key: r.call.Key.String(), Body: r.body, Deadline: r.deadline})
	}
}

func (e *entryNode) handleAttemptResponse(ctx *faultmatrix.Context, m attemptResponse) {
	for _, r := range slices.Clone(e.requests) {
		if r.attempt != m.ID || r.collecting {
			continue
		}
		if m.Problem == nil {
			e.remove(r)
			ctx.Send(r.caller, writeResponse{Conn: r.conn, Key: m.Answer, Outcome: problem.Ran})
			continue
		}
		e.handleFailure(ctx, r, m.Problem, m.Owner)
	}
}

func (e *entryNode) handleFailure(ctx *faultmatrix.Context, r *entryRequest, p *problem.Error, owner ident.Incarnation) {
	if r.call.RecordFailure(r.agent, p, owner) && ctx.Now.Before(r.deadline) {
		e.nextAttempt(ctx, r)
		return
	}
	e.collectCertificates(ctx, r, p)
}

// handleAgentTimeout stops waiting for an agent that did not answer. No call was sent to it.
func (e *entryNode) handleAgentTimeout(ctx *faultmatrix.Context, id string) {
	for _, r := range slices.Clone(e.requests) {
		if r.collecting || r.attempt != id || r.queriedAgent == "" {
			continue
		}
		r.triedAgents = append(r.triedAgents, r.queriedAgent)
		r.queriedAgent = ""
		if r.call.Target() != "" {
			e.collectCertificates(ctx, r, r.call.UnreachableError(false))
			continue
		}
		e.handleFailure(ctx, r, problem.New(problem.BackendUnreachable, "", "").WithOutcome(problem.NotRun), "")
	}
}

func (e *entryNode) handleDeadline(ctx *faultmatrix.Context, conn int) {
	for _, r := range slices.Clone(e.requests) {
		if !r.collecting && r.conn == conn {
			e.handleFailure(ctx, r, problem.New(problem.DeadlineExceeded, "", "").WithOutcome(problem.NotKnown), "")
		}
	}
}

func (e *entryNode) collectCertificates(ctx *faultmatrix.Context, r *entryRequest, p *problem.Error) {
	r.lastFailure = p
	if len(r.call.UncertainAgents()) == 0 {
		e.reply(ctx, r, r.call.FinalError(p, nil))
		return
	}
	r.collecting = true
	for _, agent := range r.call.UncertainAgents() {
		ctx.Send(string(agent)[:2], certificateRequest{ID: r.attempt, Key: r.call.Key.String(), Body: r.body, To: agent})
	}
	ctx.After(certificateWait, certificateTimeout{r.attempt})
}

func (e *entryNode) handleCertificate(ctx *faultmatrix.Context, m refusalCertificate) {
	for _, r := range slices.Clone(e.requests) {
		if !r.collecting || r.attempt != m.ID {
			continue
		}
		r.certificates = append(r.certificates, m.Certificate)
		if len(r.certificates) == len(r.call.UncertainAgents()) {
			e.reply(ctx, r, r.call.FinalError(r.lastFailure, r.certificates))
		}
	}
}

func (e *entryNode) reply(ctx *faultmatrix.Context, r *entryRequest, p *problem.Error) {
	e.remove(r)
	ctx.Send(r.caller, writeResponse{Conn: r.conn, Key: r.call.Key.String(), Outcome: p.Outcome, Kind: p.Kind})
}

func (e *entryNode) remove(r *entryRequest) {
	e.requests = slices.DeleteFunc(e.requests, func(o *entryRequest) bool { return o == r })
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
			ctx.Send(p.entries[0], permitRequest{Conn: p.conn})
			return
		}
		c.send(ctx, c.plans[len(c.plans)-1])
	case permitResponse:
		for _, p := range c.plans {
			if p.conn == m.Conn && p.key == "" {
				p.key = m.Key
				c.send(ctx, p)
			}
		}
	case writeResponse:
		c.handleResponse(ctx, m)
	case callTimeout:
		for _, p := range c.plans {
			if p.conn == m.conn && !p.done {
				c.send(ctx, p)
			}
		}
	case lateRequestDue:
		for _, p := range c.plans {
			if p.name == m.plan && p.key != "" {
				p.done = true
				c.request(ctx, p)
			}
		}
	}
}

type lateRequestDue struct{ plan string }

// send sends the next request, alternating between the two entries.
func (c *callerNode) send(ctx *faultmatrix.Context, p *plan) {
	if p.requests >= maxRequests {
		return
	}
	if p.requests == 0 {
		for _, after := range p.late {
			ctx.After(after, lateRequestDue{p.name})
		}
	}
	c.request(ctx, p)
	ctx.After(callWait, callTimeout{p.conn})
}

func (c *callerNode) request(ctx *faultmatrix.Context, p *plan) {
	p.conn = c.f.nextConn()
	p.op = len(c.f.ops)
	if _, ok := c.f.firstOps[p.name]; !ok {
		c.f.firstOps[p.name] = p.op
	}
	c.f.lastOps[p.name] = p.op
	c.f.ops = append(c.f.ops, operation{key: p.key, body: p.body, call: ctx.Now.Sub(c.begin), end: -1})
	ctx.Send(p.entries[p.requests%2], writeRequest{Conn: p.conn, Key: p.key, Body: p.body, FirstTry: p.firstTry && p.requests == 0})
	p.requests++
}

func (c *callerNode) handleResponse(ctx *faultmatrix.Context, m writeResponse) {
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
			ctx.After(callerPause, callTimeout{p.conn})
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

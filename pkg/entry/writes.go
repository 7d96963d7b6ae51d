package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/peer/plainservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// FirstTryHeader tells that the caller has sent no other request under the
// key. A refusal then speaks for the key, not only for this request.
const FirstTryHeader = "Fescue-First-Try"

// maxRenewals bounds the keys that an entry makes for one call.
const maxRenewals = 2

// refuseTimeout bounds the question whether an agent refuses a key.
const refuseTimeout = 500 * time.Millisecond

// openKey reads the key of an unrepeatable call, or makes one. The error kind
// is KeyUndated.
func (x *exchange) openKey(r *http.Request) error {
	text := r.Header.Get(plainservice.KeyHeader)
	x.keyless = text == ""
	if x.keyless {
		text = ident.NewKey()
	}
	key, err := writeonce.ParseKey(text)
	if err != nil {
		return err
	}
	x.call = writeonce.NewCall(key, onlyTry(r))
	return nil
}

// onlyTry reports whether no other request can have been sent under the key.
func onlyTry(r *http.Request) bool {
	return r.Header.Get(plainservice.KeyHeader) == "" || r.Header.Get(FirstTryHeader) == "true"
}

// aboutKey returns what the caller is told of an error that came before the
// call was sent: without a certificate, a refusal of this request says nothing
// of an earlier one under the same key.
func aboutKey(onlyTry bool, err error) error {
	p := problem.Of(err)
	if p.Outcome != problem.NotRun || onlyTry || writeonce.KeyNeverRuns(p) {
		return err
	}
	return p.WithOutcome(problem.NotKnown)
}

// forwardWrite tries agents until one gives the answer of the call or no
// further try is allowed.
func (e *Entry) forwardWrite(ctx context.Context, x *exchange, g *gate) error {
	var tried []string
	x.call.StartRound()
	for {
		replica, err := e.chooseWriter(ctx, x, tried)
		if err != nil {
			return e.settle(ctx, x, problem.Of(err))
		}
		tried = append(tried, replica.Name)
		if err = e.attemptAt(ctx, x, replica); err == nil {
			return nil
		}
		p := problem.Of(err)
		again := x.call.RecordFailure(replica.Incarnation, p, x.owner)
		if x.answer.Committed() || ctx.Err() != nil {
			return e.settle(ctx, x, p)
		}
		if again || x.keyless && e.renewKey(x, p) {
			e.scope.Counter("write_retries").Inc(1)
			continue
		}
		if x.call.Unsent(p) && p.Kind == problem.Overloaded {
			return g.final(p)
		}
		return g.final(e.settle(ctx, x, p))
	}
}

// renewKey lets a call without a key of its caller go on under another key,
// where its first one was certainly not run.
func (e *Entry) renewKey(x *exchange, p *problem.Error) bool {
	if p.Outcome != problem.NotRun || len(x.call.UncertainAgents()) > 0 || p.Kind == problem.KeyReused || x.renewals >= maxRenewals {
		return false
	}
	key, err := writeonce.ParseKey(ident.NewKey())
	if err != nil {
		return false
	}
	x.renewals++
	x.setKey(key)
	return true
}

// setKey changes the key of a call whose key the entry makes.
func (x *exchange) setKey(key writeonce.Key) {
	x.call = writeonce.NewCall(key, true)
	x.out.w.Header().Set(plainservice.KeyHeader, key.String())
}

// chooseWriter selects the agent of the next try. A call without a key of its
// caller gets a permit of the agent.
func (e *Entry) chooseWriter(ctx context.Context, x *exchange, tried []string) (routing.Replica, error) {
	if target := x.call.Target(); target != "" {
		return e.replicaOf(x, target)
	}
	if !x.keyless {
		return e.claimant(x, tried)
	}
	replica, ok := e.choose(x, tried)
	if !ok {
		return replica, noReplica(x, tried)
	}
	if permit, ok := e.permits.take(ctx, replica); ok {
		x.setKey(permit)
	}
	return replica, nil
}

// replicaOf finds an agent by its incarnation, in any pool. A leaving one, and
// one of the pool that the route led to before, still answers for its keys.
func (e *Entry) replicaOf(x *exchange, agent ident.Incarnation) (routing.Replica, error) {
	replica, dead, ok := e.replicas.find(agent)
	if ok {
		return replica, nil
	}
	name, _, _ := strings.Cut(string(agent), "@")
	if !dead && e.listed(name).DataAddress != "" {
		return routing.Replica{Name: name, Incarnation: agent}, nil
	}
	return routing.Replica{}, x.call.UnreachableError(dead)
}

// listed returns the agent's row of the instance list. Agents that the entry is
// not linked to are reached by it; each checks its incarnation itself.
func (e *Entry) listed(agent string) instancelist.Instance {
	for _, i := range e.members.withRole(instancelist.Agent) {
		if i.Name == agent {
			return i
		}
	}
	return instancelist.Instance{}
}

// find returns the connected agent with the incarnation. dead is true where
// its instance runs another incarnation now.
func (rs *replicas) find(agent ident.Incarnation) (replica routing.Replica, dead, ok bool) {
	name, _, _ := strings.Cut(string(agent), "@")
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byKey[name]
	if !ok || r.conn == nil {
		return routing.Replica{}, false, false
	}
	if r.status.Incarnation != agent {
		return routing.Replica{}, true, false
	}
	return routing.Replica{Name: name, Incarnation: agent}, false, true
}

// claimant selects the agent that claims the key: the same at every entry that
// sees the same agents, so that few agents follow each claim stream.
func (e *Entry) claimant(x *exchange, tried []string) (routing.Replica, error) {
	var best, again *routing.Replica
	for _, r := range e.replicas.snapshot(x.pool.Name, x.pool.Concurrency) {
		switch {
		case r.Draining:
		case slices.Contains(tried, r.Name):
			again = &r
		case best == nil || claimRank(x, r.Name) > claimRank(x, best.Name):
			best = &r
		}
	}
	if best == nil {
		best = again
	}
	if best == nil {
		return routing.Replica{}, noReplica(x, tried)
	}
	return *best, nil
}

func claimRank(x *exchange, agent string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", x.route.Name, x.call.Key.Partition(), agent))
}

// settle returns what the caller is told. Every agent that may still run the
// call is asked to refuse its key first: only that agent can say that it did
// not and will not run it.
func (e *Entry) settle(ctx context.Context, x *exchange, p *problem.Error) error {
	var certificates []writeonce.Certificate
	for _, agent := range x.call.UncertainAgents() {
		if cert, ok := e.askRefusal(context.WithoutCancel(ctx), x, agent); ok {
			certificates = append(certificates, cert)
		}
	}
	told := x.call.FinalError(p, certificates)
	e.scope.Tagged(map[string]string{"outcome": string(told.Outcome)}).Counter("writes_failed").Inc(1)
	return told
}

// content returns what the key of the call stands for.
func (x *exchange) content() writeonce.Content {
	return writeonce.Content{Route: x.route.Name, Organisation: x.organisation.Name, Method: x.method, Path: x.path, Body: x.body}
}

// askRefusal asks an agent to refuse the call's key, over a connection of its
// own where the entry is not linked to the agent.
func (e *Entry) askRefusal(ctx context.Context, x *exchange, agent ident.Incarnation) (writeonce.Certificate, bool) {
	var cert writeonce.Certificate
	ctx, cancel := context.WithTimeout(ctx, refuseTimeout)
	defer cancel()
	name, _, _ := strings.Cut(string(agent), "@")
	conn, ok := e.replicas.conn(name)
	if !ok {
		own, err := rpc.Dial(ctx, e.listed(name).ControlAddress, nil)
		if err != nil {
			return cert, false
		}
		defer own.Close()
		conn = own
	}
	request := agentlink.RefuseRequest{
		Attempt: x.attempt, Route: x.route.Name, Key: x.call.Key.String(), Digest: x.content().Digest(), Incarnation: agent,
	}
	return cert, conn.Call(ctx, agentlink.MethodRefuse, request, &cert) == nil
}

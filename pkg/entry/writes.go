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

// FirstTryHeader is the request header by which the caller states that it has sent no other
// request under the key. A refusal then applies to the key, not only to this request.
const FirstTryHeader = "Fescue-First-Try"

// maxRenewals bounds the replacement keys that an entry generates for one call.
const maxRenewals = 2

// refuseTimeout bounds the call that asks an agent to refuse a key.
const refuseTimeout = 500 * time.Millisecond

// parseKey parses the key of an unrepeatable call, or generates one. The error kind is
// KeyUndated.
func (x *exchange) parseKey(r *http.Request) error {
	text := r.Header.Get(plainservice.KeyHeader)
	x.keyless = text == ""
	if x.keyless {
		text = ident.NewKey()
	}
	key, err := writeonce.ParseKey(text)
	if err != nil {
		return err
	}
	x.call = writeonce.NewCall(key, isOnlyRequest(r))
	return nil
}

// isOnlyRequest reports whether no other request can have been sent under the key.
func isOnlyRequest(r *http.Request) bool {
	return r.Header.Get(plainservice.KeyHeader) == "" || r.Header.Get(FirstTryHeader) == "true"
}

// withKeyOutcome adjusts an error from before the call was sent. Without a certificate for the
// key, the refusal of this request proves nothing about an earlier one under the same key, so
// the outcome becomes NotKnown.
func withKeyOutcome(onlyRequest bool, err error) error {
	p := problem.Of(err)
	if p.Outcome != problem.NotRun || onlyRequest || writeonce.KeyNeverRuns(p) {
		return err
	}
	return p.WithOutcome(problem.NotKnown)
}

// forwardWrite tries agents until one returns the answer of the call or no further attempt is
// allowed.
func (e *Entry) forwardWrite(ctx context.Context, x *exchange, g *gate) error {
	var tried []string
	x.call.StartRound()
	for {
		replica, err := e.chooseWriteReplica(ctx, x, tried)
		if err != nil {
			return e.resolveWrite(ctx, x, problem.Of(err))
		}
		tried = append(tried, replica.Name)
		if err = e.attemptReplica(ctx, x, replica); err == nil {
			return nil
		}
		p := problem.Of(err)
		if p.Kind == problem.NotCertified {
			return p // the answer of the key, which a later attempt would get as well
		}
		again := x.call.RecordFailure(replica.Incarnation, p, x.owner)
		if x.answer.Committed() || ctx.Err() != nil {
			return e.resolveWrite(ctx, x, p)
		}
		if again || x.keyless && e.renewKey(x, p) {
			e.scope.Counter("write_retries").Inc(1)
			continue
		}
		if x.call.KnownNotRun(p) && p.Kind == problem.Overloaded {
			return g.withRetryAfter(p)
		}
		return g.withRetryAfter(e.resolveWrite(ctx, x, p))
	}
}

// renewKey replaces the key of a call whose caller sent none, if the call certainly did not run
// under the previous key. It reports whether the call may continue.
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

// setKey replaces the key of a call whose caller sent none.
func (x *exchange) setKey(key writeonce.Key) {
	x.call = writeonce.NewCall(key, true)
	x.out.w.Header().Set(plainservice.KeyHeader, key.String())
}

// chooseWriteReplica selects the agent of the next attempt. A call whose caller sent no key
// gets a permit of that agent.
func (e *Entry) chooseWriteReplica(ctx context.Context, x *exchange, tried []string) (routing.Replica, error) {
	if target := x.call.Target(); target != "" {
		return e.replicaByIncarnation(x, target)
	}
	if !x.keyless {
		return e.chooseClaimant(x, tried)
	}
	replica, ok := e.chooseReplica(x, tried)
	if !ok {
		return replica, noReplicaError(x, tried)
	}
	if permit, ok := e.permits.get(ctx, replica); ok {
		x.setKey(permit)
	}
	return replica, nil
}

// replicaByIncarnation finds an agent by its incarnation, in any pool. A draining agent, and
// one of the pool that the route used before, still answers for its keys.
func (e *Entry) replicaByIncarnation(x *exchange, agent ident.Incarnation) (routing.Replica, error) {
	replica, replaced, ok := e.replicas.find(agent)
	if ok {
		return replica, nil
	}
	name, _, _ := strings.Cut(string(agent), "@")
	if !replaced && e.listedAgent(name).DataAddress != "" {
		return routing.Replica{Name: name, Incarnation: agent}, nil
	}
	return routing.Replica{}, x.call.UnreachableError(replaced)
}

// listedAgent returns the agent's row of the instance list. It is used for agents that the
// entry is not linked to; the agent itself checks its incarnation.
func (e *Entry) listedAgent(agent string) instancelist.Instance {
	for _, i := range e.members.withRole(instancelist.Agent) {
		if i.Name == agent {
			return i
		}
	}
	return instancelist.Instance{}
}

// find returns the connected agent with the given incarnation. replaced is true if its instance
// now runs another incarnation.
func (rs *replicas) find(agent ident.Incarnation) (replica routing.Replica, replaced, ok bool) {
	name, _, _ := strings.Cut(string(agent), "@")
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byName[name]
	if !ok || r.conn == nil {
		return routing.Replica{}, false, false
	}
	if r.status.Incarnation != agent {
		return routing.Replica{}, true, false
	}
	return routing.Replica{Name: name, Incarnation: agent}, false, true
}

// chooseClaimant selects the agent that claims the key. Entries that know the same agents
// choose the same one, so that few agents follow each claim stream.
func (e *Entry) chooseClaimant(x *exchange, tried []string) (routing.Replica, error) {
	var best, fallback *routing.Replica
	for _, r := range e.replicas.snapshot(x.pool.Name, x.pool.Concurrency) {
		switch {
		case r.Draining:
		case slices.Contains(tried, r.Name):
			fallback = &r
		case best == nil || claimantHash(x, r.Name) > claimantHash(x, best.Name):
			best = &r
		}
	}
	if best == nil {
		best = fallback
	}
	if best == nil {
		return routing.Replica{}, noReplicaError(x, tried)
	}
	return *best, nil
}

// claimantHash is the rendezvous hash of an agent for the claim stream of the call's key.
func claimantHash(x *exchange, agent string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", x.route.Name, x.call.Key.Partition(), agent))
}

// resolveWrite returns the final error of a call. It first asks every agent that may still run
// the call to refuse its key: only that agent can certify that it did not and will not run it.
func (e *Entry) resolveWrite(ctx context.Context, x *exchange, p *problem.Error) error {
	var certificates []writeonce.Certificate
	for _, agent := range x.call.UncertainAgents() {
		if cert, ok := e.requestRefusal(context.WithoutCancel(ctx), x, agent); ok {
			certificates = append(certificates, cert)
		}
	}
	final := x.call.FinalError(p, certificates)
	e.scope.Tagged(map[string]string{"outcome": string(final.Outcome)}).Counter("writes_failed").Inc(1)
	return final
}

// content returns the content that the key of the call is bound to.
func (x *exchange) content() writeonce.Content {
	return writeonce.Content{Route: x.route.Name, Organisation: x.organisation.Name, Method: x.method, Path: x.path, Body: x.body}
}

// requestRefusal asks an agent to refuse the call's key. It opens a connection if the entry is
// not linked to the agent.
func (e *Entry) requestRefusal(ctx context.Context, x *exchange, agent ident.Incarnation) (writeonce.Certificate, bool) {
	var cert writeonce.Certificate
	ctx, cancel := context.WithTimeout(ctx, refuseTimeout)
	defer cancel()
	name, _, _ := strings.Cut(string(agent), "@")
	conn, ok := e.replicas.conn(name)
	if !ok {
		direct, err := rpc.Dial(ctx, e.listedAgent(name).ControlAddress, nil)
		if err != nil {
			return cert, false
		}
		defer direct.Close()
		conn = direct
	}
	request := agentlink.RefuseRequest{
		Attempt: x.attempt, Route: x.route.Name, Key: x.call.Key.String(), Digest: x.content().Digest(), Incarnation: agent,
	}
	return cert, conn.Call(ctx, agentlink.MethodRefuse, request, &cert) == nil
}

package agent

import (
	"context"
	"maps"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

func (a *Agent) controlMethods() rpc.Methods {
	methods := rpc.Methods{
		agentlink.MethodHello:     rpc.Typed(a.hello),
		agentlink.MethodConfigure: rpc.Typed(a.configure),
		agentlink.MethodRefuse:    rpc.Typed(a.refuse),
		agentlink.MethodPermits:   rpc.Typed(a.permits),
		agentlink.MethodClaims:    rpc.Typed(a.openClaims),
	}
	maps.Copy(methods, a.maps.methods())
	return methods
}

// configure applies the agent's part of the pool configuration. A part that is not newer than the
// current one is ignored.
func (a *Agent) configure(_ context.Context, _ *rpc.Conn, part agentlink.PoolConfig) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if part.Offset > a.poolPart.Offset {
		a.poolPart = part
		a.log.Info("configuration in force", zap.Int64("offset", part.Offset), zap.Bool("poolKnown", part.Pool != nil))
	}
	return agentlink.PoolConfig{Offset: a.poolPart.Offset}, nil
}

// refuse makes the agent refuse an attempt and its key, and certifies the outcome of the key.
func (a *Agent) refuse(_ context.Context, _ *rpc.Conn, request agentlink.RefuseRequest) (any, error) {
	if request.Incarnation != a.incarnation {
		return nil, problem.New(problem.WrongIncarnation, "check at the service whether the action was carried out",
			"the agent has restarted since the attempt was sent").WithOutcome(problem.NotKnown)
	}
	a.attempts.refuse(request.Attempt)
	return a.writes.refuse(request.Route, request.Key, request.Digest)
}

// openClaims opens the claim streams of routes before their first call arrives.
func (a *Agent) openClaims(_ context.Context, _ *rpc.Conn, request agentlink.ClaimsRequest) (any, error) {
	a.writes.setAppendShare(request.Owners)
	for _, route := range request.Routes {
		if _, err := a.writes.routePartitions(route); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// permits issues keys that only this incarnation can execute.
func (a *Agent) permits(_ context.Context, _ *rpc.Conn, request agentlink.PermitRequest) (any, error) {
	return a.writes.issuePermits(request.Count), nil
}

func (a *Agent) status() agentlink.Status {
	phase := a.lifecycle.Phase()
	group := a.maps.groupRank()
	a.mu.Lock()
	defer a.mu.Unlock()
	return agentlink.Status{
		Name:         a.settings.Name,
		Incarnation:  a.incarnation,
		Pool:         a.settings.Pool,
		Draining:     phase != drain.Serving,
		BackendUp:    a.backendUp,
		Load:         a.load,
		ConfigOffset: a.poolPart.Offset,
		GroupRank:    group,
	}
}

// Package agent is the process in the slot of a backend server. It is the only
// process that gives the backend server work and orders.
package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/httpserver"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/lifecycle"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

// Agent is the process.
type Agent struct {
	settings    settings.Agent
	log         *zap.Logger
	metrics     *telemetry.Metrics
	scope       tally.Scope
	incarnation ident.Incarnation
	life        *lifecycle.Lifecycle
	backend     Backend
	attempts    *attempts
	writes      *writes
	started     time.Time
	maps        *expertMaps
	bound       bound

	mu        sync.Mutex
	links     map[*rpc.Conn]*entryLink
	part      agentlink.PoolPart
	backendUp bool
	load      routing.Load
	// told is the status that entries were last told of.
	told agentlink.Status
}

// New returns an agent that has opened nothing yet.
func New(s settings.Agent, log *zap.Logger, metrics *telemetry.Metrics, backend Backend, logClient *logservice.Client) *Agent {
	plan := drain.Plan{Timeout: time.Duration(s.ShutdownSeconds) * time.Second}
	started := time.Now()
	incarnation := ident.NewIncarnation(s.Name)
	scope := metrics.Scope.SubScope("agent")
	a := &Agent{
		settings:    s,
		log:         log,
		metrics:     metrics,
		scope:       scope,
		incarnation: incarnation,
		started:     started,
		life:        lifecycle.New(log, plan),
		backend:     backend,
		attempts:    newAttempts(started),
		maps:        newExpertMaps(s, log, scope),
		links:       make(map[*rpc.Conn]*entryLink),
		part:        agentlink.PoolPart{Offset: -1},
	}
	a.writes = newWrites(incarnation, started, backend, log, scope, logClient, slots{
		begin: func() bool { return a.bound.begin(a.concurrency()) == nil },
		end:   a.bound.end,
	})
	return a
}

// Incarnation returns the incarnation of the agent.
func (a *Agent) Incarnation() ident.Incarnation { return a.incarnation }

// Drain begins to leave; a second call ends the agent at once.
func (a *Agent) Drain() {
	a.life.Drain()
	a.sendStatus()
}

// Run serves until ctx ends or the drain has ended.
func (a *Agent) Run(ctx context.Context) error {
	defer a.metrics.Close()
	a.readLoad(ctx)
	data, err := httpserver.Listen("dataAddress", a.settings.DataAddress)
	if err != nil {
		return err
	}
	control, err := httpserver.Listen("controlAddress", a.settings.ControlAddress)
	if err != nil {
		_ = data.Close()
		return err
	}
	operator, err := httpserver.Listen("operatorAddress", a.settings.OperatorAddress)
	if err != nil {
		_ = data.Close()
		_ = control.Close()
		return err
	}
	work, cutOff := context.WithCancelCause(context.Background())
	defer cutOff(nil)
	dataServer := httpserver.NewWithContext(work, data, a.scope.SubScope("data"), a.dataHandler())
	operatorServer := httpserver.New(operator, a.scope.SubScope("operator"), a.operatorHandler())
	controlServer := rpc.NewServer(control, a.scope.SubScope("control"), a.controlMethods())

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(dataServer.Run)
	group.Go(operatorServer.Run)
	group.Go(func() error { return controlServer.Run(ctx) })
	group.Go(func() error { return a.watchBackend(ctx) })
	group.Go(func() error { return a.writes.run(ctx) })
	group.Go(func() error { return a.forgetAttempts(ctx) })
	group.Go(func() error { return a.maps.run(ctx) })
	group.Go(func() error {
		a.life.WaitAndShutdown(ctx, stop, cutOff, dataServer, operatorServer)
		return nil
	})
	a.log.Info("agent started", zap.String("incarnation", string(a.incarnation)), zap.String("pool", a.settings.Pool))
	err = group.Wait()
	a.log.Info("agent ended", zap.Error(err))
	return errors.CombineErrors(err, a.life.Err())
}

// WritesReady reports whether dated keys made now can be claimed.
func (a *Agent) WritesReady() bool { return a.writes.status().Ready }

func (a *Agent) forgetAttempts(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, forgetInterval)
		a.attempts.forget(time.Since(a.started))
	}
	return nil
}

func (a *Agent) dataHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+agentlink.AttemptsPath, a.serveAttempt)
	return mux
}

// Package agent implements the agent process, which runs next to each backend server. It is the
// only process that sends requests and control commands to its backend server.
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

// Agent is the state of the agent process.
type Agent struct {
	settings    settings.Agent
	log         *zap.Logger
	metrics     *telemetry.Metrics
	scope       tally.Scope
	incarnation ident.Incarnation
	lifecycle   *lifecycle.Lifecycle
	backend     Backend
	attempts    *attemptSet
	writes      *writeExecutor
	started     time.Time
	maps        *expertMaps
	limiter     concurrencyLimiter

	mu        sync.Mutex
	links     map[*rpc.Conn]*entryLink
	poolPart  agentlink.PoolConfig
	backendUp bool
	load      routing.Load
	// lastStatus is the status at the last call of statusChanged, without the parts that it
	// ignores.
	lastStatus agentlink.Status
}

// New returns an agent. It opens no socket before Run.
func New(s settings.Agent, log *zap.Logger, metrics *telemetry.Metrics, backend Backend, logClient *logservice.Client) *Agent {
	plan := drain.Plan{Timeout: time.Duration(s.ShutdownSeconds) * time.Second}
	started := time.Now()
	incarnation := ident.NewIncarnation(s.Name)
	scope := metrics.Scope.SubScope("agent")
	backend = newCheckedBackend(backend, log, scope)
	a := &Agent{
		settings:    s,
		log:         log,
		metrics:     metrics,
		scope:       scope,
		incarnation: incarnation,
		started:     started,
		lifecycle:   lifecycle.New(log, plan),
		backend:     backend,
		attempts:    newAttemptSet(started),
		maps:        newExpertMaps(s, log, scope),
		links:       make(map[*rpc.Conn]*entryLink),
		poolPart:    agentlink.PoolConfig{Offset: -1},
	}
	a.writes = newWriteExecutor(incarnation, started, backend, log, scope, logClient, slots{
		acquire: func() bool { return a.limiter.acquire(a.concurrency()) == nil },
		release: a.limiter.release,
	})
	return a
}

func (a *Agent) Incarnation() ident.Incarnation { return a.incarnation }

// Drain starts the drain; a second call stops the agent at once.
func (a *Agent) Drain() {
	a.lifecycle.Drain()
	a.sendStatus()
}

// Run serves until ctx is cancelled or the drain is complete.
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
	requestCtx, cancelRequests := context.WithCancelCause(context.Background())
	defer cancelRequests(nil)
	dataServer := httpserver.NewWithContext(requestCtx, data, a.scope.SubScope("data"), a.dataHandler())
	operatorServer := httpserver.New(operator, a.scope.SubScope("operator"), a.operatorHandler())
	controlServer := rpc.NewServer(control, a.scope.SubScope("control"), a.controlMethods())

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(dataServer.Run)
	group.Go(operatorServer.Run)
	group.Go(func() error { return controlServer.Run(ctx) })
	group.Go(func() error { return a.watchBackend(ctx) })
	group.Go(func() error { return a.writes.run(ctx) })
	group.Go(func() error { return a.evictAttempts(ctx) })
	group.Go(func() error { return a.maps.run(ctx) })
	group.Go(func() error {
		a.lifecycle.WaitAndShutdown(ctx, cancel, cancelRequests, dataServer, operatorServer)
		return nil
	})
	a.log.Info("agent started", zap.String("incarnation", string(a.incarnation)), zap.String("pool", a.settings.Pool))
	err = group.Wait()
	a.log.Info("agent stopped", zap.Error(err))
	return errors.CombineErrors(err, a.lifecycle.Err())
}

// WritesReady reports whether dated keys created now can be claimed.
func (a *Agent) WritesReady() bool { return a.writes.status().Ready }

func (a *Agent) evictAttempts(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, evictInterval)
		a.attempts.evictExpired(time.Since(a.started))
	}
	return nil
}

func (a *Agent) dataHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+agentlink.AttemptsPath, a.serveAttempt)
	return mux
}

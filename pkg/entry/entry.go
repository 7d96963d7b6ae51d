// Package entry implements the entry process, which serves callers: it answers address queries,
// admits requests, chooses replicas and relays complete answers.
package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fescuehub/fescuehub/pkg/configuration"
	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/httpserver"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/lifecycle"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/entrylink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// addressGrace is added to the lifetime of address answers, because an answer and the request
// that follows it take time in transit.
const addressGrace = time.Second

// Entry is one entry process.
type Entry struct {
	settings    settings.Entry
	log         *zap.Logger
	metrics     *telemetry.Metrics
	scope       tally.Scope
	incarnation ident.Incarnation
	lifecycle   *lifecycle.Lifecycle
	config      *configuration.Store
	follower    *configuration.Follower
	mesh        *entrylink.Mesh
	departures  *departures
	members     *members
	replicas    *replicas
	permits     *permits
	attempts    *agentlink.Client
	selector    routing.Selector
	planners    *planners
	admission   *admission
	burn        *burn
	logClient   *logservice.Client
}

// New returns an entry that has not opened any socket yet.
func New(
	s settings.Entry,
	log *zap.Logger,
	metrics *telemetry.Metrics,
	logClient *logservice.Client,
	instances *instancelist.Client,
	selector routing.Selector,
) *Entry {
	store := configuration.NewStore()
	incarnation := ident.NewIncarnation(s.Name)
	scope := metrics.Scope.SubScope("entry")
	e := &Entry{
		settings:    s,
		log:         log,
		metrics:     metrics,
		scope:       scope,
		incarnation: incarnation,
		lifecycle:   lifecycle.New(log, drainPlan(s)),
		config:      store,
		departures:  newDepartures(),
		attempts:    agentlink.NewClient(),
		selector:    selector,
		admission:   newAdmission(scope.SubScope("pool")),
		burn:        newBurn(),
		logClient:   logClient,
	}
	e.follower = configuration.NewFollower(log, scope.SubScope("configuration"), logClient, store, configuration.SnapshotOptions{
		Name:      s.Name,
		Retention: time.Duration(s.LogRetentionSeconds) * time.Second,
		Entries:   func() []string { return e.members.liveEntries() },
	})
	e.mesh = entrylink.NewMesh(s.Name, incarnation, e.follower, e.departures)
	e.follower.SetPeers(e.mesh)
	e.replicas = newReplicas(log, s.Name, incarnation, store, scope.SubScope("configuration"), e.follower.NoteAgentOffset)
	e.permits = newPermits(e.replicas)
	e.members = newMembers(log, instances, e.replicas, routing.Node{Name: s.Name, FailureDomain: s.FailureDomain})
	e.planners = newPlanners(e, logClient)
	return e
}

func drainPlan(s settings.Entry) drain.Plan {
	bound := time.Duration(s.ShutdownSeconds) * time.Second
	return drain.Plan{
		Linger:          time.Duration(s.AddressLifetimeSeconds)*time.Second + addressGrace,
		Timeout:         bound,
		AcceptUnbounded: drain.AcceptUnbounded(bound),
	}
}

// shutdownBound is the longest time from the start of a drain to its end.
func (e *Entry) shutdownBound() time.Duration { return drainPlan(e.settings).Timeout }

// Drain starts the drain and announces it to the other entries; a second call ends the entry at
// once.
func (e *Entry) Drain() {
	e.lifecycle.Drain()
	e.announceDeparture()
}

// Run serves until ctx or the drain ends.
func (e *Entry) Run(ctx context.Context) error {
	defer e.metrics.Close()
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	requests, abortRequests := context.WithCancelCause(context.Background())
	defer abortRequests(nil)
	callers := httpserver.NewWithContext(requests, listeners[0], e.scope.SubScope("caller"), e.callerHandler())
	operators := httpserver.New(listeners[1], e.scope.SubScope("operator"), e.operatorHandler())
	peers := rpc.NewServer(listeners[2], e.scope.SubScope("peer"), e.mesh.Methods())

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(callers.Run)
	group.Go(operators.Run)
	group.Go(func() error { return e.follower.Run(ctx) })
	group.Go(func() error { return e.members.run(ctx) })
	group.Go(func() error { return e.replicas.sendConfigs(ctx) })
	group.Go(func() error { e.replicas.keepLinks(ctx); return nil })
	group.Go(func() error { return peers.Run(ctx) })
	group.Go(func() error { return e.mesh.Run(ctx, e.config.Changed) })
	group.Go(func() error { return e.followPeers(ctx) })
	group.Go(func() error { return e.announceClaims(ctx) })
	group.Go(func() error { return e.planners.run(ctx) })
	group.Go(func() error { return e.runAdmission(ctx) })
	group.Go(func() error { return e.measureConfigurationDelay(ctx, e.logClient) })
	group.Go(func() error {
		e.lifecycle.WaitAndShutdown(ctx, cancel, abortRequests, callers, operators)
		return nil
	})
	e.log.Info("entry started", zap.String("incarnation", string(e.incarnation)), zap.String("callerAddress", e.settings.CallerAddress))
	err = group.Wait()
	e.log.Info("entry stopped", zap.Error(err))
	return errors.CombineErrors(err, e.lifecycle.Err())
}

// listen opens all addresses of the settings. If one fails, it closes the others.
func (e *Entry) listen() ([]net.Listener, error) {
	var open []net.Listener
	for _, a := range []struct{ setting, address string }{
		{"callerAddress", e.settings.CallerAddress},
		{"operatorAddress", e.settings.OperatorAddress},
		{"peerAddress", e.settings.PeerAddress},
	} {
		l, err := httpserver.Listen(a.setting, a.address)
		if err != nil {
			closeAll(open)
			return nil, err
		}
		open = append(open, l)
	}
	return open, nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

func (e *Entry) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", e.serveAddresses)
	mux.HandleFunc("POST /v1/chat/completions", e.inFlight(e.serveModel))
	mux.HandleFunc("/services/{route}/{path...}", e.inFlight(e.serveService))
	mux.HandleFunc("/", e.serveUnknownPath)
	return mux
}

func (e *Entry) serveUnknownPath(w http.ResponseWriter, r *http.Request) {
	e.refuse(w, problem.New(problem.UnknownRoute,
		"use GET /v1/addresses, POST /v1/chat/completions or /services/ROUTE/PATH",
		"no endpoint matches %s %s", r.Method, r.URL.Path).WithOutcome(problem.NotRun))
}

// inFlight wraps a handler so that a drain waits for its requests, from the header to the end
// of the answer. A draining entry asks callers to close the connection.
func (e *Entry) inFlight(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.lifecycle.Phase() != drain.Serving {
			w.Header().Set("Connection", "close")
		}
		if err := e.lifecycle.Begin(); err != nil {
			e.refuse(w, err)
			return
		}
		defer e.lifecycle.Done()
		next(w, r)
	}
}

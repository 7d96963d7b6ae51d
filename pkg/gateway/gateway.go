// Package gateway is the entry process of a deployment in which entries send
// requests straight to backend servers.
package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/backendconn"
	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/directory"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/netconn"
	"github.com/fescuehub/fescuehub/pkg/relay"
	"github.com/fescuehub/fescuehub/pkg/retrybudget"
	"github.com/fescuehub/fescuehub/pkg/roster"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// topicWait is how long a read waits for a record. A read on
	// a silent connection ends soon after, well within the time in which a
	// configuration must be in force again.
	topicWait = 1800 * time.Millisecond
	// topicPause is the time between two reads of an entry that does not lead
	// and hears of no news: it guards against lost messages only.
	topicPause = 12 * time.Second
	// readers is the number of entries that wait at the log for all.
	readers = 2
	// entriesPause is the time between two looks for entries that no message has
	// come from.
	entriesPause = 20 * time.Second
	// tellPause is the time between two messages to the other entries of a small
	// fleet: a choice is made on counts of this age.
	tellPause = 120 * time.Millisecond
	// smallFleet is the number of other entries up to which messages come each
	// tellPause and hold what is in flight.
	smallFleet = 12
	// digestSilence is how long a planner may be silent before agents are asked
	// for another one; askedAgents is how many are asked at a time.
	digestSilence = 1500 * time.Millisecond
	askedAgents   = 2
	// subscribePause is the time between two subscriptions at the agents.
	subscribePause = time.Second
	// sweepPause is the time between two looks at idle connections.
	sweepPause = 500 * time.Millisecond
)

// Dialect translates the deployment's wire.
type Dialect interface {
	relay.Dialect
	DecodeRequestHeaders(h http.Header) (relay.CallerHeaders, error)
	DecodeConfiguration(key string, value []byte) (fleet.Configuration, bool, error)
	DecodeServer(id string, value []byte) (fleet.Server, error)
	// ReadyPath and AddressPath are the paths of readiness checks and of
	// callers' questions for addresses; EncodeAddresses returns the body of an answer.
	ReadyPath() string
	AddressPath() string
	EncodeAddresses(addresses []string, lifetime time.Duration) ([]byte, error)
}

// Gateway is one entry process.
type Gateway struct {
	settings settings.Instance
	dialect  Dialect
	shared   sharedlog.Log
	log      *zap.Logger
	metrics  *telemetry.Metrics
	scope    tally.Scope
	latency  map[fleet.Kind]tally.Histogram

	pools    *backendconn.Pools
	balancer *balance.Balancer
	budget   *retrybudget.Budget
	relay    *relay.Relay
	table    atomic.Pointer[fleet.Table]
	drain    *leaving
	// addressTime is how long callers keep an address answer, in nanoseconds.
	addressTime atomic.Int64

	// starting ends once this entry has been ready, or has tried to be for startWait.
	starting   context.Context
	hasStarted context.CancelFunc

	mu        sync.Mutex
	roster    *roster.Roster
	directory *directory.Directory
	// known holds the addresses of the other entries' peer ports by name.
	known map[string]netip.AddrPort
	// planners holds the planner of each service.
	planners    map[string]planner
	incarnation string
	sequence    int64
	serversRead bool
	// reads is true while this entry reaches the shared log.
	reads bool
	// topics holds how far the followed topics are read.
	topics map[sharedlog.Topic]*topic
	// servers are the usable backend servers.
	servers map[string]fleet.Server

	socket *gossip.Socket
}

// New returns an entry process.
func New(s settings.Instance, d Dialect, shared sharedlog.Log, log *zap.Logger, metrics *telemetry.Metrics) *Gateway {
	g := &Gateway{
		settings: s, dialect: d, shared: shared, log: log, metrics: metrics, scope: metrics.Scope,
		pools:       backendconn.NewPools(),
		balancer:    balance.New(),
		budget:      retrybudget.New(retryLimits(s.Bounds), time.Now()),
		roster:      roster.New(s.Bounds.LeaveGrace),
		known:       make(map[string]netip.AddrPort),
		planners:    make(map[string]planner),
		incarnation: uuid.NewString(),
		drain:       newLeaving(s.Bounds.Grace),
		topics: map[sharedlog.Topic]*topic{
			sharedlog.Operators: newTopic(), sharedlog.Servers: newTopic(),
		},
		latency: make(map[fleet.Kind]tally.Histogram),
	}
	g.starting, g.hasStarted = context.WithTimeout(context.Background(), startWait)
	g.addressTime.Store(int64(s.Bounds.AddressLifetime))
	g.directory = directory.New(directory.Entry{Name: s.Name, Address: s.CallerAddress})
	g.relay = relay.New(d, g.pools, g.balancer, g.budget, g.misdirected)
	buckets := tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 1.6, 20)
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Unsafe, fleet.Streaming} {
		g.latency[kind] = metrics.Scope.Tagged(map[string]string{"kind": string(kind)}).Histogram("request_seconds", buckets)
	}
	return g
}

func retryLimits(b settings.Bounds) retrybudget.Limits {
	return retrybudget.Limits{Ratio: b.RetryRatio, Floor: b.RetryFloor, Window: b.RetryWindow}
}

// Reload takes bounds that have changed.
func (g *Gateway) Reload(b settings.Bounds) {
	g.starting, g.hasStarted = context.WithTimeout(context.Background(), startWait)
	g.addressTime.Store(int64(b.AddressLifetime))
	g.budget.SetLimits(b.RetryRatio, b.RetryFloor)
	g.drain.setGrace(b.Grace)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.SetReturnTime(b.LeaveGrace)
}

// Drain begins to leave; a second call ends the process at once.
func (g *Gateway) Drain() {
	first, inFlight := g.drain.begin(time.Now())
	if !first {
		g.log.Warn("stopping at once: told to stop twice", zap.Int("inFlight", inFlight))
		return
	}
	g.log.Info("stopping: callers are sent elsewhere", zap.Int("inFlight", inFlight))
	g.updateReady()
	g.tell()
}

// Run serves until the drain has ended.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer g.hasStarted()
	g.log.Info("starting", zap.String("callerAddress", g.settings.CallerAddress), zap.String("incarnation", g.incarnation))
	peer := net.JoinHostPort(g.settings.IP, portText(g.settings.PeerPort))
	socket, err := gossip.Open(ctx, peer, g.log)
	if err != nil {
		return err
	}
	g.socket = socket
	servers, err := g.listen(ctx)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	background := func(run func(context.Context)) { group.Go(func() { run(ctx) }) }
	background(func(ctx context.Context) { socket.Run(ctx, g.takeMessage) })
	background(func(ctx context.Context) {
		follow.Run(ctx, g.shared, g.topicOptions(sharedlog.Operators), (*operatorsSink)(g), g.log)
	})
	background(func(ctx context.Context) {
		follow.Run(ctx, g.shared, g.topicOptions(sharedlog.Servers), (*serversSink)(g), g.log)
	})
	background(g.announce)
	background(func(ctx context.Context) {
		for ctx.Err() == nil {
			wait.For(ctx, g.tell())
		}
	})
	background(func(ctx context.Context) { every(ctx, subscribePause, g.subscribe) })
	background(func(ctx context.Context) { every(ctx, sweepPause, func() { g.pools.CloseIdle(time.Now()) }) })
	for _, s := range servers {
		group.Go(func() {
			if err := s.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				g.log.Error("a server has ended", telemetry.Err(err))
			}
		})
	}
	err = g.leave(ctx, servers)
	cancel()
	group.Wait()
	g.log.Info("stopped", telemetry.Err(err))
	_ = g.log.Sync() // the process ends
	return err
}

func every(ctx context.Context, pause time.Duration, run func()) {
	for ctx.Err() == nil {
		run()
		wait.For(ctx, pause)
	}
}

// server is an HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
}

func (g *Gateway) listen(ctx context.Context) ([]server, error) {
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{g.settings.CallerAddress, http.HandlerFunc(g.serveCaller)},
		{g.settings.ReadyAddress, http.HandlerFunc(g.serveReady)},
		{g.settings.DirectoryAddress, http.HandlerFunc(g.serveAddresses)},
		{net.JoinHostPort(g.settings.IP, portText(g.settings.MetricsPort)), g.metrics.Handler},
	}
	var servers []server
	for _, h := range handlers {
		l, err := netconn.Listen(ctx, h.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen at %s", h.address)
		}
		servers = append(servers, server{
			&http.Server{Handler: h.handler, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle, ErrorLog: zap.NewStdLog(g.log)}, l,
		})
	}
	// The operators' limits, which change, bound the connections of callers.
	callers := &servers[0]
	callers.ReadHeaderTimeout, callers.IdleTimeout, callers.ConnState = 0, 0, noteState
	callers.listener = callerListener{callers.listener, g.limits}
	return servers, nil
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.dialect.ReadyPath() {
		http.NotFound(w, r)
		return
	}
	if !g.ready() {
		relay.WriteError(w, http.StatusServiceUnavailable, "this entry takes no callers now", 0)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.dialect.AddressPath() {
		http.NotFound(w, r)
		return
	}
	g.mu.Lock()
	addresses := g.directory.Addresses(time.Now())
	g.mu.Unlock()
	if len(addresses) == 0 {
		relay.WriteError(w, http.StatusServiceUnavailable, "no entry takes callers now", 0)
		return
	}
	body, err := g.dialect.EncodeAddresses(addresses, min(addressLifetime, time.Duration(g.addressTime.Load())))
	if err != nil {
		g.log.Error("an address answer cannot be encoded", telemetry.Err(err))
		relay.WriteError(w, http.StatusInternalServerError, "the answer cannot be encoded", 0)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a caller that has gone asks another entry
}

// addressLifetime is how long callers keep an address answer: a leaving entry
// gets new callers for so long.
const addressLifetime = 2 * time.Second

// ready reports whether this entry takes callers: it knows a configuration and
// the servers, and does not leave.
func (g *Gateway) ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.Ready()
}

func (g *Gateway) updateReady() {
	g.mu.Lock()
	defer g.mu.Unlock()
	ready := g.table.Load() != nil && g.serversRead && !g.drain.leaving()
	if ready != g.directory.Ready() {
		g.log.Info("readiness changed", zap.Bool("ready", ready))
	}
	g.directory.SetReady(ready)
	if ready {
		g.hasStarted()
	}
}

// entryRecord is an entry's record in the shared log.
type entryRecord struct {
	// Peer is the IP:port for messages.
	Peer string `json:"peer"`
}

// announce writes this entry's record and then looks for the others' now and
// again: messages tell it of all those that are in reach of each other.
func (g *Gateway) announce(ctx context.Context) {
	record, err := json.Marshal(entryRecord{Peer: net.JoinHostPort(g.settings.IP, portText(g.settings.PeerPort))})
	if err != nil {
		g.log.Error("this entry's record cannot be encoded", telemetry.Err(err))
		return
	}
	for failures := 0; ctx.Err() == nil; {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		err := g.shared.Put(call, sharedlog.Entries, g.settings.Name, record)
		cancel()
		if err == nil {
			break
		}
		failures++
		g.log.Warn("this entry's record was not written; trying again", telemetry.Err(err))
		wait.For(ctx, follow.Backoff(failures))
	}
	follow.Run(ctx, g.shared, follow.Options{Topic: sharedlog.Entries, Pause: entriesPause}, (*entriesSink)(g), g.log)
}

const announceTimeout = time.Second

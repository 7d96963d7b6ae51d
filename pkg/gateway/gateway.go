// Package gateway implements the entry process of a deployment in which entries forward
// requests directly to backend servers.
package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
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
	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/directory"
	"github.com/fescuehub/fescuehub/pkg/evacuation"
	"github.com/fescuehub/fescuehub/pkg/eventstream"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/httpserver"
	"github.com/fescuehub/fescuehub/pkg/membudget"
	"github.com/fescuehub/fescuehub/pkg/netconn"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
	"github.com/fescuehub/fescuehub/pkg/relay"
	"github.com/fescuehub/fescuehub/pkg/retrybudget"
	"github.com/fescuehub/fescuehub/pkg/roster"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// longPollWait is how long a read of the shared log waits for a new record. The first log reader waits only
	// for monitorWait, so that it notices soon that it does not reach the log and others replace the readers: see
	// docs/design/readers.md for the times that add up until a change has reached all entries.
	longPollWait = 1800 * time.Millisecond
	monitorWait  = 400 * time.Millisecond
	// topicPollInterval is the time between two reads by an entry that is not a log reader and
	// that no gossip message notified of newer records. It only makes up for lost messages.
	topicPollInterval = 12 * time.Second
	// logReaders is the number of entries that long-poll the shared log on behalf of all
	// entries.
	logReaders = 2
	// entriesPollInterval is the time between two reads of the entries' records, which find
	// entries that have sent no message yet.
	entriesPollInterval = 20 * time.Second
	// maxPollingEntries is the number of other entries up to which each polls at these intervals.
	maxPollingEntries = 36
	// gossipInterval is the time between two state messages to the other entries in a small
	// fleet. It bounds the age of the counts that the balancer uses.
	gossipInterval = 120 * time.Millisecond
	// readerStateInterval is the longest time between two state messages of a log reader: the others replace one
	// that is silent for directory.MaxReaderSilence.
	readerStateInterval = 200 * time.Millisecond
	// urgentRepeat is how long state messages repeat that others must not read a topic late, in case that the
	// first one is lost.
	urgentRepeat = 500 * time.Millisecond
	// Up to smallFleetEntries other entries, a state message is sent every gossipInterval. It
	// carries the loads in flight if there are fewer than that.
	smallFleetEntries = 12
	// plannerTimeout is how long the address of a planner may go unconfirmed before agents are
	// asked for the current planner; agentsPerQuery is the number of agents asked at a time.
	plannerTimeout = 1500 * time.Millisecond
	agentsPerQuery = 2
	// subscribeInterval is the time between two digest subscriptions at the planners, and
	// firstSubscribeInterval the time between two checks whether any engine is known.
	subscribeInterval      = time.Second
	firstSubscribeInterval = 100 * time.Millisecond
	// idleSweepInterval is the time between two sweeps that close idle backend connections.
	idleSweepInterval = 500 * time.Millisecond
)

// Codec translates between the deployment's wire format and this package's types.
type Codec interface {
	relay.Codec
	DecodeRequestHeaders(h http.Header) (relay.CallerHeaders, error)
	DecodeConfiguration(key string, value []byte) (fleet.Configuration, bool, error)
	DecodeServer(id string, value []byte) (fleet.Server, error)
	// DecodeEvacuation returns the failure domain of a record that evacuates it, or, without a value, ends that.
	// It returns false for any other record. The domain is valid even if the error says that the value is not.
	DecodeEvacuation(key string, value []byte) (domain string, ok bool, err error)
	// ReadyPath and AddressPath are the paths of readiness checks and of callers' address
	// queries; EncodeAddresses returns the response body of an address query.
	ReadyPath() string
	AddressPath() string
	EncodeAddresses(addresses []string, lifetime time.Duration) ([]byte, error)
}

// Gateway is one entry process.
type Gateway struct {
	settings  settings.Instance
	codec     Codec
	sharedLog sharedlog.Log
	log       *zap.Logger
	metrics   *telemetry.Metrics
	scope     tally.Scope
	latency   map[fleet.Kind]tally.Histogram

	pools      *backendconn.Pools
	balancer   *balance.Balancer
	budget     *retrybudget.Budget
	prompts    *quarantine.Tracker
	rateLimits *ratelimit.Limiter
	cold       *coldstart.Limiter
	relay      *relay.Relay
	table      atomic.Pointer[fleet.Table]
	// operatorsRead is true once the whole topic has been read. Each request reads it, so it needs no mutex.
	operatorsRead atomic.Bool
	drain         *drainState
	// requestsCtx is the parent of the contexts of callers' requests, and abortRequests cancels them.
	requestsCtx   context.Context
	abortRequests context.CancelCauseFunc
	// addressLifetimeNanos is how long callers may cache an address answer, in nanoseconds.
	addressLifetimeNanos atomic.Int64

	// startupCtx ends when this entry becomes ready, or maxStartupWait after the start.
	startupCtx context.Context
	endStartup context.CancelFunc

	mu        sync.Mutex
	roster    *roster.Roster
	directory *directory.Directory
	// spreadsByPrediction holds the services whose requests were spread by predicted loads lately.
	spreadsByPrediction map[string]bool
	// peerAddresses holds the peer port addresses of the other entries by entry name.
	peerAddresses map[string]netip.AddrPort
	// planners holds the current planner of each service.
	planners map[string]planner
	// digests skips digests that arrive after newer ones.
	digests     digestOrder
	incarnation string
	sequence    int64
	// serversRead is true once the whole topic has been read.
	serversRead bool
	evacuations *evacuation.Tracker
	// unreadable holds the topics that this entry cannot read.
	unreadable map[sharedlog.Topic]bool
	// topics holds the read progress of each followed topic.
	topics map[sharedlog.Topic]*topic
	// servers holds the usable backend servers by ID.
	servers map[string]fleet.Server

	// drains holds the servers that have just announced that they drain.
	drains recentDrains
	// quarantineWrites holds the records of parts in quarantine that are to be written to the shared log.
	quarantineWrites *pendingWrites
	// republish requests that this entry's record be written again.
	republish chan struct{}
	// recordWritten tells that this entry's record has been written.
	recordWritten chan struct{}
	// malformed holds the malformed header values of backend servers that have been logged.
	malformed loggedValues
	// malformedRecords holds the records of evacuations that have been logged.
	malformedRecords loggedValues

	// socket is nil until Run has opened it. A drain may begin before that.
	socket *gossip.Socket
	// memory bounds the bytes that are held for requests.
	memory *membudget.Budget
	// callerConns holds the connections of callers.
	callerConns *httpserver.Listener
}

// New returns an entry process that has not opened any socket yet.
func New(s settings.Instance, codec Codec, shared sharedlog.Log, log *zap.Logger, metrics *telemetry.Metrics) *Gateway {
	limits := ratelimit.New(s.Name)
	g := &Gateway{
		settings: s, codec: codec, sharedLog: sharedlog.NewGuard(shared, log), log: log, metrics: metrics, scope: metrics.Scope,
		pools:               backendconn.NewPools(),
		balancer:            balance.New(limits),
		budget:              retrybudget.New(retryLimits(s.Bounds), time.Now()),
		prompts:             quarantine.New(rand.Float64),
		rateLimits:          limits,
		cold:                coldstart.New(s.Name, coldBounds(s.Bounds)),
		roster:              roster.New(s.Bounds.LeaveGrace),
		evacuations:         evacuation.New(),
		peerAddresses:       make(map[string]netip.AddrPort),
		spreadsByPrediction: make(map[string]bool),
		planners:            make(map[string]planner),
		incarnation:         uuid.NewString(),
		drain:               newDrainState(s.Bounds.Grace),
		topics: map[sharedlog.Topic]*topic{
			sharedlog.Operators: newTopic(), sharedlog.Servers: newTopic(),
		},
		unreadable: map[sharedlog.Topic]bool{sharedlog.Operators: true, sharedlog.Servers: true},
		latency:    make(map[fleet.Kind]tally.Histogram),
		republish:  make(chan struct{}, 1), recordWritten: make(chan struct{}, 1),

		quarantineWrites: newPendingWrites(),
		memory:           membudget.New(s.RequestMemory()),
	}
	g.balancer.LimitCold(g.cold)
	g.startupCtx, g.endStartup = context.WithTimeout(context.Background(), maxStartupWait)
	g.addressLifetimeNanos.Store(int64(s.Bounds.AddressLifetime))
	g.directory = directory.New(directory.Entry{Name: s.Name, Address: s.CallerAddress, FailureDomain: s.FailureDomain})
	g.requestsCtx, g.abortRequests = context.WithCancelCause(context.Background())
	g.relay = relay.New(codec, g.pools, g.balancer, g.budget, g.prompts, g.rateLimits, g.drain, g, cmp.Or(s.MaxEventBytes, eventstream.DefaultMaxEventBytes))
	buckets := tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 1.6, 20)
	for _, kind := range []fleet.Kind{fleet.Safe, fleet.Unsafe, fleet.Streaming} {
		g.latency[kind] = metrics.Scope.Tagged(map[string]string{"kind": string(kind)}).Histogram("request_seconds", buckets)
	}
	return g
}

func retryLimits(b settings.Bounds) retrybudget.Limits {
	return retrybudget.Limits{Ratio: b.RetryRatio, Floor: b.RetryFloor, Window: b.RetryWindow}
}

// Reload applies changed bounds.
func (g *Gateway) Reload(b settings.Bounds) {
	g.addressLifetimeNanos.Store(int64(b.AddressLifetime))
	g.budget.SetLimits(b.RetryRatio, b.RetryFloor)
	g.drain.setGrace(b.Grace)
	g.cold.SetBounds(coldBounds(b))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.SetGracePeriod(b.LeaveGrace)
}

// Drain starts the drain; a second call ends the process at once.
func (g *Gateway) Drain() {
	first, inFlight := g.drain.start(time.Now())
	if !first {
		g.log.Warn("drain aborted by a second stop request; ending the process now", zap.Int("inFlight", inFlight))
		return
	}
	g.log.Info("drain started: readiness withdrawn, callers are directed to other entries", zap.Int("inFlight", inFlight))
	g.updateReady()
	g.sendState()
}

// Run serves until the drain or ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer g.endStartup()
	g.log.Info("starting", zap.String("callerAddress", g.settings.CallerAddress), zap.String("incarnation", g.incarnation))
	peer := net.JoinHostPort(g.settings.IP, portText(g.settings.PeerPort))
	socket, err := gossip.Open(ctx, peer, g.log)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.socket = socket
	g.mu.Unlock()
	servers, err := g.listen(ctx)
	if err != nil {
		socket.Close()
		return err
	}
	var group sync.WaitGroup
	startTask := func(run func(context.Context)) { group.Go(func() { run(ctx) }) }
	startTask(func(ctx context.Context) { socket.Run(ctx, g.handleMessage) })
	startTask(func(ctx context.Context) {
		follow.Run(ctx, g.sharedLog, g.topicOptions(sharedlog.Operators), (*operatorsSink)(g), g.log)
	})
	startTask(func(ctx context.Context) {
		follow.Run(ctx, g.sharedLog, g.topicOptions(sharedlog.Servers), (*serversSink)(g), g.log)
	})
	startTask(g.publishRecord)
	startTask(g.runQuarantine)
	startTask(g.persistQuarantine)
	startTask(g.runRateLimits)
	startTask(g.countWaiting)
	startTask(g.followEntries)
	startTask(func(ctx context.Context) {
		for ctx.Err() == nil {
			wait.For(ctx, g.sendState())
		}
	})
	startTask(func(ctx context.Context) {
		for ctx.Err() == nil {
			wait.For(ctx, g.subscribe())
		}
	})
	startTask(func(ctx context.Context) { runEvery(ctx, idleSweepInterval, func() { g.pools.CloseIdle(time.Now()) }) })
	for _, s := range servers {
		group.Go(func() {
			if err := s.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				g.log.Error("HTTP server failed", telemetry.Err(err))
			}
		})
	}
	err = g.drainAndClose(ctx, servers)
	cancel()
	group.Wait()
	g.log.Info("stopped", telemetry.Err(err))
	_ = g.log.Sync() // a failed flush cannot be reported: the process ends
	return err
}

func runEvery(ctx context.Context, interval time.Duration, run func()) {
	for ctx.Err() == nil {
		run()
		wait.For(ctx, interval)
	}
}

// server is an HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
}

func (g *Gateway) listen(ctx context.Context) ([]server, error) {
	internal := func(handler http.Handler) func(net.Listener) server {
		return func(l net.Listener) server {
			s, conns := httpserver.NewInternal(l, g.connBounds(g.settings.InternalConns()), handler)
			return server{s, conns}
		}
	}
	endpoints := []struct {
		address   string
		newServer func(net.Listener) server
	}{
		{g.settings.CallerAddress, g.callerServer},
		{g.settings.ReadyAddress, internal(http.HandlerFunc(g.serveReady))},
		{g.settings.DirectoryAddress, internal(http.HandlerFunc(g.serveAddresses))},
		{net.JoinHostPort(g.settings.IP, portText(g.settings.MetricsPort)), internal(g.operatorHandler())},
	}
	var servers []server
	for _, h := range endpoints {
		listener, err := netconn.Listen(ctx, h.address)
		if err != nil {
			for _, s := range servers {
				_ = s.listener.Close() // nothing was served on it
			}
			return nil, errors.Wrapf(err, "listen at %s", h.address)
		}
		s := h.newServer(listener)
		s.ErrorLog = zap.NewStdLog(g.log)
		servers = append(servers, s)
	}
	return servers, nil
}

// callerServer returns the server of callers. Its connections are bounded by the limits of the current
// configuration, which change at run time, and not by the fixed timeouts of http.Server.
func (g *Gateway) callerServer(l net.Listener) server {
	g.callerConns = httpserver.NewListener(l, g.connLimits)
	g.callerConns.SetBounds(g.connBounds(g.settings.CallerConns()))
	return server{&http.Server{
		Handler: http.HandlerFunc(g.serveCaller), MaxHeaderBytes: httpserver.RequestHeadBytes,
		ConnState: g.callerConns.ConnState, ConnContext: httpserver.WithConn,
		BaseContext: func(net.Listener) context.Context { return g.requestsCtx },
	}, g.callerConns}
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.codec.ReadyPath() {
		http.NotFound(w, r)
		return
	}
	if !g.ready() {
		relay.WriteError(w, http.StatusServiceUnavailable, "this entry is not ready to accept callers", 0)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.codec.AddressPath() {
		http.NotFound(w, r)
		return
	}
	g.mu.Lock()
	addresses := g.directory.Addresses(time.Now())
	g.mu.Unlock()
	if len(addresses) == 0 {
		relay.WriteError(w, http.StatusServiceUnavailable, "no entry is ready to accept callers", 0)
		return
	}
	body, err := g.codec.EncodeAddresses(addresses, min(maxAddressLifetime, time.Duration(g.addressLifetimeNanos.Load())))
	if err != nil {
		g.log.Error("failed to encode the address answer", telemetry.Err(err))
		relay.WriteError(w, http.StatusInternalServerError, "failed to encode the address answer", 0)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a caller whose connection failed queries another entry
}

// maxAddressLifetime bounds how long callers may cache an address answer: a draining entry
// keeps getting new callers for that long.
const maxAddressLifetime = 2 * time.Second

// ready reports whether this entry accepts callers: it has a configuration, the evacuations and the
// backend servers, and is not draining.
func (g *Gateway) ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.Ready()
}

func (g *Gateway) updateReady() {
	g.mu.Lock()
	defer g.mu.Unlock()
	ready := g.table.Load() != nil && g.operatorsRead.Load() && g.serversRead && !g.drain.draining()
	if ready != g.directory.Ready() {
		g.log.Info("readiness changed", zap.Bool("ready", ready))
	}
	g.directory.SetReady(ready)
	if ready {
		g.endStartup()
	}
}

// entryRecord is an entry's record in the shared log.
type entryRecord struct {
	// Peer is the IP:port that receives gossip messages.
	Peer string `json:"peer"`
}

// followEntries polls the records of the other entries. The poll finds entries that gossip has not
// reached. It reads after this entry's own record was written: of two entries that start at the same
// time, the one that writes last finds the other and sends it a message. If the write fails at first, it
// reads again once the record is written.
func (g *Gateway) followEntries(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-g.recordWritten:
	case <-time.After(recordWriteTimeout):
	}
	follow.Run(ctx, g.sharedLog, follow.Options{Topic: sharedlog.Entries, Pause: g.pollInterval(entriesPollInterval), Wake: g.recordWritten}, (*entriesSink)(g), g.log)
}

// republishRecord makes publishRecord write this entry's record again.
func (g *Gateway) republishRecord() {
	select {
	case g.republish <- struct{}{}:
	default: // it is already to be written
	}
}

// publishRecord writes this entry's record at the start and after each restore of the log, which may
// have removed it.
func (g *Gateway) publishRecord(ctx context.Context) {
	record, err := json.Marshal(entryRecord{Peer: net.JoinHostPort(g.settings.IP, portText(g.settings.PeerPort))})
	if err != nil {
		g.log.Error("failed to encode this entry's record", telemetry.Err(err))
		return
	}
	for ctx.Err() == nil {
		g.putRecord(ctx, record)
		select {
		case <-ctx.Done():
		case <-g.republish:
		}
	}
}

// putRecord writes this entry's record, retrying until it succeeds. It logs the first failure.
func (g *Gateway) putRecord(ctx context.Context, record []byte) {
	for failures := 0; ctx.Err() == nil; {
		putCtx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
		err := g.sharedLog.Put(putCtx, sharedlog.Entries, g.settings.Name, record)
		cancel()
		if err == nil {
			select {
			case g.recordWritten <- struct{}{}:
			default: // a read is already due
			}
			return
		}
		if failures++; failures == 1 {
			g.log.Warn("failed to write this entry's record; retrying until it succeeds", telemetry.Err(err))
		}
		wait.For(ctx, follow.Backoff(failures))
	}
}

// recordWriteTimeout bounds one attempt to write this entry's record.
const recordWriteTimeout = time.Second

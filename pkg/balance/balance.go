// Package balance chooses the backend server of a request at an entry, a process that accepts
// callers' requests. It uses the requests that this entry has in flight, the counts that the other
// entries gossip, and the load that the planners report. It has no I/O, clock or random source.
package balance

import (
	"math"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

const (
	// entryLoadLifetime is how long the counts of another entry are used; they arrive several times
	// per second.
	entryLoadLifetime = time.Second
	// reportLifetime is how long the report of an engine or group is used.
	reportLifetime = 1500 * time.Millisecond
	// failureHalfLife is the time in which a failure loses half its weight.
	failureHalfLife = 2 * time.Second
	// failureCost is the cost of a server that failed every recent request, in ordinary requests.
	failureCost = 30
	// latencyWeight is the weight of a new sample in a mean latency.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which the latency of a server that gets no requests loses half its weight: a
	// single slow response must not keep it unused for ever. It is long, since the requests that find a slow server
	// still slow are late.
	latencyHalfLife = 30 * time.Second
	// waitingCost is the additional cost of each request beyond an engine's slots, in requests:
	// such a request waits for a whole response to end.
	waitingCost = 4
	// A server is unresponsive if it sends nothing for unresponsiveTime while other servers
	// respond; a first event usually takes 0.2 to 0.4 s. Where responses take longer, the limit is
	// unresponsiveLatencies times the mean latency, because all engines of a group may process a
	// burst of prompts at once.
	unresponsiveTime      = time.Second
	unresponsiveLatencies = 4
	// unreachableTime is how long an engine is avoided after its planner did not reach it: two
	// polls of a large group by the planner.
	unreachableTime = 600 * time.Millisecond
	// At most one in unreachableDivisor engines of a group is avoided as unreachable. If a planner
	// misses more of them, it counts as partitioned itself, and none is avoided.
	unreachableDivisor = 3
	// unresponsiveAvoidTime is how long a server is avoided after an unresponsive attempt at it
	// ended.
	unresponsiveAvoidTime = 2 * time.Second
	// probeInterval is the time between two requests that probe whether a group is still broken.
	probeInterval = 300 * time.Millisecond
	// maxReportDelay is the maximum age of a report on arrival.
	maxReportDelay = 100 * time.Millisecond
	// faultLifetime is how long a response that reported a broken group is used.
	faultLifetime = 10 * time.Second
	// Above maxFullComparison servers, an entry compares only a random sample of sampleSize
	// servers, or of saturatedSampleSize if no engine has a free slot.
	maxFullComparison   = 8
	sampleSize          = 4
	saturatedSampleSize = 8
	// jitterRequests randomises the choices of entries that see the same counts. It is a cost in
	// requests.
	jitterRequests = 0.8
)

// Load is the work in flight at one server.
type Load struct {
	Requests int `json:"n"`
	// Tokens counts the context tokens of model requests.
	Tokens int `json:"t,omitempty"`
}

// Result is how an attempt ended.
type Result struct {
	// Latency is the time to the response headers; 0 if there was no response.
	Latency time.Duration
	// Duration is the time to the end of a complete response; 0 if it was not complete.
	Duration time.Duration
	// Failed means that the server caused the failure.
	Failed bool
	// Refused means that the server did not run the request.
	Refused bool
}

// server is the state of one backend server.
type server struct {
	fleet.Server
	ownLoad Load
	// avoidUntil is the time before which the server is used only if there is no other.
	avoidUntil time.Time
	// failures is the decaying share of failed requests, as of failuresAt.
	failures   float64
	failuresAt time.Time
	// latency is the mean time to the response headers, as of latencyAt.
	latency   time.Duration
	latencyAt time.Time
	engine    EngineLoad
	engineAt  time.Time
	// sentSinceReport counts this entry's requests since engineAt.
	sentSinceReport int
	// silentSince is when this entry began to wait for any response of the server; zero if it does
	// not wait.
	silentSince time.Time
	// unreachableUntil is the time before which the server counts as unresponsive because its
	// planner did not reach it.
	unreachableUntil time.Time
	// evacuated is true if the server gets no requests because of its failure domain.
	evacuated  bool
	prediction prediction
}

// entryLoads holds the requests that another entry has in flight.
type entryLoads struct {
	loads map[string]Load
	at    time.Time
}

// Balancer chooses among the servers of all services. It is safe for concurrent use.
type Balancer struct {
	mu sync.Mutex
	// services holds the servers of each service that may get requests, and servers also those that may not
	// because their failure domain is evacuated.
	services map[string][]*server
	servers  map[string]*server
	// evacuated holds the failure domains whose servers get no requests, nil if there are none.
	evacuated map[string]bool
	// groupMembers holds the servers in services by service and group.
	groupMembers map[string]map[groupKey][]*server
	entries      map[string]entryLoads
	faults       map[groupKey]*fault
	groupStates  map[groupKey]groupState
	progress     map[groupKey]*groupProgress
	// lastResponse is when a server of a service last began to respond.
	lastResponse map[string]time.Time
	// meanLatency is the mean time to the response headers by service.
	meanLatency map[string]time.Duration
	// meanStreamTime is the mean duration of a complete response by service.
	meanStreamTime map[string]time.Duration
	// lateInFlight counts this entry's late requests in flight by service.
	lateInFlight map[string]int
	// queues holds the state of the engines' queue by service.
	queues map[string]*queue
	// pauses holds, by server ID, the pauses that servers asked for.
	pauses map[string]pause
	// evenLoads holds the prediction of the engines' load by service.
	evenLoads map[string]*evenLoad
	limits    *ratelimit.Limiter
	cold      *coldstart.Limiter
}

// groupState is the last state of a group that its planner reported.
type groupState struct {
	state fleet.GroupState
	at    time.Time
}

// fault records that a response reported a broken group, and when the group was last probed.
type fault struct{ at, probed time.Time }

// New returns a balancer without servers. It sends no more requests to a server than limits permits.
func New(limits *ratelimit.Limiter) *Balancer {
	return &Balancer{
		limits:         limits,
		cold:           coldstart.New("", coldstart.Bounds{}),
		services:       make(map[string][]*server),
		servers:        make(map[string]*server),
		entries:        make(map[string]entryLoads),
		faults:         make(map[groupKey]*fault),
		groupStates:    make(map[groupKey]groupState),
		progress:       make(map[groupKey]*groupProgress),
		lastResponse:   make(map[string]time.Time),
		meanLatency:    make(map[string]time.Duration),
		meanStreamTime: make(map[string]time.Duration),
		lateInFlight:   make(map[string]int),
		queues:         make(map[string]*queue),
		pauses:         make(map[string]pause),
		evenLoads:      make(map[string]*evenLoad),
	}
}

// SetServers replaces the usable servers. It keeps the state of the servers that remain, unless
// they have restarted or changed their address.
func (b *Balancer) SetServers(list []fleet.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := make(map[string]*server, len(list))
	ordered := make([]*server, 0, len(list))
	for _, s := range list {
		state := b.servers[s.ID]
		if state == nil || state.Incarnation != s.Incarnation || state.Address != s.Address {
			state = &server{}
		}
		state.Server = s
		servers[s.ID] = state
		ordered = append(ordered, state)
	}
	b.servers = servers
	b.index(ordered)
}

// index sets which servers may get requests. b.mu is held.
func (b *Balancer) index(list []*server) {
	services := make(map[string][]*server)
	members := make(map[string]map[groupKey][]*server)
	usable := make([]fleet.Server, 0, len(list))
	for _, s := range list {
		if s.evacuated = b.evacuated[s.Zone]; s.evacuated {
			continue
		}
		usable = append(usable, s.Server)
		services[s.Service] = append(services[s.Service], s)
		if members[s.Service] == nil {
			members[s.Service] = make(map[groupKey][]*server)
		}
		members[s.Service][s.key()] = append(members[s.Service][s.key()], s)
	}
	b.services, b.groupMembers = services, members
	b.cold.SetServers(usable)
	b.forgetGroups()
}

// Begin records that a request is sent to a server.
func (b *Balancer) Begin(now time.Time, id string, tokens int) {
	b.addLoad(now, id, Load{Requests: 1, Tokens: tokens})
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil && s.silentSince.IsZero() {
		s.silentSince = now
	}
}

// ResponseStarted records that a server has begun to respond to a request that began at the given
// time, which shows that the server is responsive.
func (b *Balancer) ResponseStarted(now time.Time, id string, began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		s.silentSince = time.Time{}
		if s.ownLoad.Requests > 1 {
			s.silentSince = now
		}
		b.lastResponse[s.Service] = now
		b.recordProgress(now, s)
		usual := b.meanLatency[s.Service]
		b.meanLatency[s.Service] = usual + time.Duration(latencyWeight*float64(now.Sub(began)-usual))
	}
}

// Unresponsive reports whether the planner of a server does not reach it, or the server has sent
// nothing for much longer than usual while other servers of its service responded.
func (b *Balancer) Unresponsive(now time.Time, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	return s != nil && b.unresponsive(now, s)
}

// ShouldAbandon reports whether requests that wait for a response of a server should be sent to
// another one: the server has sent this entry nothing for unresponsiveTime, and is unresponsive. A
// server that is only silent towards its planner while it responds to requests is not abandoned.
func (b *Balancer) ShouldAbandon(now time.Time, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	return s != nil && !s.silentSince.IsZero() && now.Sub(s.silentSince) > unresponsiveTime && b.unresponsive(now, s)
}

func (b *Balancer) unresponsive(now time.Time, s *server) bool {
	if s.silentSince.IsZero() && !now.Before(s.unreachableUntil) {
		return false
	}
	limit := max(unresponsiveTime, unresponsiveLatencies*b.meanLatency[s.Service])
	return now.Before(s.unreachableUntil) || !s.silentSince.IsZero() && now.Sub(s.silentSince) > limit && b.lastResponse[s.Service].Sub(s.silentSince) > limit/2
}

// End records the end of a request and updates the server's statistics from its result.
func (b *Balancer) End(now time.Time, id string, tokens int, r Result) {
	b.addLoad(now, id, Load{Requests: -1, Tokens: -tokens})
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return
	}
	if b.unresponsive(now, s) {
		s.avoidUntil = now.Add(unresponsiveAvoidTime)
	}
	if s.ownLoad.Requests == 0 {
		s.silentSince = time.Time{}
	}
	s.recordResult(now, r)
	if r.Duration > 0 {
		b.recordStreamTime(s.Service, r.Duration)
	}
	if r.Latency > 0 && !r.Failed && !r.Refused {
		delete(b.faults, s.key())
	}
}

func (b *Balancer) addLoad(now time.Time, id string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		b.beforeLoadChange(now, s, l.Requests < 0)
		s.sentSinceReport += max(l.Requests, 0)
		s.ownLoad.Requests = max(s.ownLoad.Requests+l.Requests, 0)
		s.ownLoad.Tokens = max(s.ownLoad.Tokens+l.Tokens, 0)
	}
}

func (s *server) recordResult(now time.Time, r Result) {
	s.failures = s.failureRate(now)
	s.failuresAt = now
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	s.failures += (failed - s.failures) * 0.25
	// The time to a refusal says nothing about a request that the server runs.
	if r.Latency > 0 && !r.Refused {
		if s.latency == 0 {
			s.latency = r.Latency
		}
		weight := max(latencyWeight, 1-latencyDecay(now.Sub(s.latencyAt)))
		s.latency += time.Duration(weight * float64(r.Latency-s.latency))
		s.latencyAt = now
	}
}

// expectedLatency returns the mean latency, weighted by its age.
func (s *server) expectedLatency(now time.Time) time.Duration {
	return time.Duration(float64(s.latency) * latencyDecay(now.Sub(s.latencyAt)))
}

// latencyDecay returns the weight of a latency of an age.
func latencyDecay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(latencyHalfLife))
}

func (s *server) failureRate(now time.Time) float64 {
	age := now.Sub(s.failuresAt)
	if age <= 0 || s.failures < 0.001 {
		return s.failures
	}
	return s.failures * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// AvoidUntil excludes a server until the given time unless there is no other.
func (b *Balancer) AvoidUntil(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		s.avoidUntil = until
	}
}

// OwnLoads returns the work that this entry has in flight at each server.
func (b *Balancer) OwnLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[string]Load)
	for id, s := range b.servers {
		if s.ownLoad.Requests > 0 {
			loads[id] = s.ownLoad
		}
	}
	return loads
}

// SetEntryLoads records the work that another entry has in flight.
func (b *Balancer) SetEntryLoads(now time.Time, entry string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[entry] = entryLoads{loads, now}
}

// EngineLoad is the load that a planner reports for one engine.
type EngineLoad struct {
	Address     string
	Incarnation int64
	Running     int
	Waiting     int
	// Age is the age of the report on arrival; 0 if it is not known.
	Age time.Duration
	// Slowdown is the engine's step time divided by the usual one; above 1 the engine is slow.
	Slowdown float64
}

// UpdateGroup records a planner's report of the state and the loads of a group of engines.
func (b *Balancer) UpdateGroup(now time.Time, service, group string, state fleet.GroupState, engines []EngineLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := groupKey{service, group}
	b.groupStates[key] = groupState{state: state, at: now}
	loads := make(map[string]EngineLoad, len(engines))
	for _, e := range engines {
		loads[e.Address] = e
	}
	b.beginReport(now, service)
	var missing []*server
	members := b.groupMembers[service][key]
	for _, s := range members {
		load, ok := loads[s.Address]
		if ok && load.Incarnation == s.Incarnation {
			s.engine, s.engineAt, s.sentSinceReport = load, now, 0
			b.correct(now, s, load)
		}
		if !ok {
			missing = append(missing, s)
		}
	}
	// A planner that reaches few engines is probably partitioned itself.
	if len(missing)*unreachableDivisor <= len(members) {
		for _, s := range missing {
			s.unreachableUntil = now.Add(unreachableTime)
		}
	}
}

// ServerCount returns the number of usable servers of a service.
func (b *Balancer) ServerCount(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.services[service])
}

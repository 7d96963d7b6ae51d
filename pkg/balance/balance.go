// Package balance chooses the backend server of a request from what this entry
// has in flight, what the other entries say they have, and what the engines
// report. It has no I/O, clock or random source of its own.
package balance

import (
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

const (
	// othersLifetime is how long the counts of another entry are used; they
	// come several times a second.
	othersLifetime = time.Second
	// reportLifetime is how long an engine's report is used.
	reportLifetime = 1500 * time.Millisecond
	// failureHalfLife is the time in which a failure loses half its weight.
	failureHalfLife = 2 * time.Second
	// failureCost is the cost of a server that failed every recent request, as a
	// multiple of a usual request's cost.
	failureCost = 30
	// latencyWeight is the weight of the newest latency in its mean.
	latencyWeight = 0.2
	// waitingCost is the cost of a request above an engine's slots, as a
	// multiple of the cost of one within them: it waits for a whole answer.
	waitingCost = 4
	// hangTime is how long a server may answer nothing while others answer: a
	// first event usually takes 0.2 to 0.4 s. hangLatencies bounds it where answers take
	// longer, in mean times to an answer: all engines of a group read a flood at once.
	hangTime      = time.Second
	hangLatencies = 4
	// missingTime is how long an engine that its planner does not reach is passed
	// over: two looks of the planner at a large group.
	missingTime = 600 * time.Millisecond
	// mostMissing bounds the engines that are passed over so: one in so many.
	mostMissing = 3
	// hangSuspect keeps a server that hung back.
	hangSuspect = 2 * time.Second
	// probePause is the time between two requests that find out whether a group
	// is still broken.
	probePause = 300 * time.Millisecond
	// reportDelay is the age of a report when it arrives, at most.
	reportDelay = 100 * time.Millisecond
	// faultLifetime is how long an answer that told of a broken group counts.
	faultLifetime = 10 * time.Second
	// largeService is the number of servers above which entries compare a few
	// servers only, and compared is that few; comparedFull where no engine has a free
	// slot.
	largeService = 8
	compared     = 4
	comparedFull = 8
	// jitter spreads the choices of entries that see the same counts, in
	// requests.
	jitter = 0.8
)

// Load is work in flight at one server.
type Load struct {
	Requests int `json:"n"`
	// Tokens counts the tokens of context of model requests.
	Tokens int `json:"t,omitempty"`
}

// Result is how an attempt ended.
type Result struct {
	// Latency is the time to the head of the answer; 0 where there was none.
	Latency time.Duration
	// Duration is the time to the end of a whole answer; 0 where it was not whole.
	Duration time.Duration
	// Failed means that the server is to blame.
	Failed bool
	// Refused means that the server did not run the request.
	Refused bool
}

// server is what is known of one backend server.
type server struct {
	fleet.Server
	own Load
	// suspect is until when the server is used only if there is no other.
	suspect time.Time
	// failures is a decaying share of failed requests, as of failuresAt.
	failures   float64
	failuresAt time.Time
	// latency is the mean time to an answer's head.
	latency  time.Duration
	engine   EngineLoad
	engineAt time.Time
	// sent counts this entry's requests since engineAt.
	sent int
	// oldest is since when this entry has waited for the server to answer
	// anything; zero while it does not wait.
	oldest time.Time
	// missing is until when the server passes for one that answers nobody, since
	// its planner did not reach it.
	missing time.Time
}

// others is what one other entry has in flight.
type others struct {
	loads map[string]Load
	at    time.Time
}

// Balancer chooses among the servers of all services. It is safe for concurrent
// use.
type Balancer struct {
	mu       sync.Mutex
	services map[string][]*server
	servers  map[string]*server
	// members holds the servers of a service by group.
	members map[string]map[groupKey][]*server
	entries map[string]others
	faults  map[groupKey]*fault
	groups  map[groupKey]groupState
	// answered is when a server of a service last began to answer.
	answered map[string]time.Time
	// usual is the mean time to the head of an answer by service.
	usual map[string]time.Duration
	// streams is the mean time of a whole answer by service.
	streams map[string]time.Duration
	// late counts this entry's late requests at each service.
	late map[string]int
	// queues are the queues at the engines by service.
	queues map[string]*queue
}

// groupState is what a planner told of a service's group.
type groupState struct {
	state fleet.GroupState
	at    time.Time
}

// fault is what an answer told of a broken group.
type fault struct{ at, probed time.Time }

// New returns a balancer that knows no server.
func New() *Balancer {
	return &Balancer{
		services: make(map[string][]*server),
		servers:  make(map[string]*server),
		entries:  make(map[string]others),
		faults:   make(map[groupKey]*fault),
		groups:   make(map[groupKey]groupState),
		answered: make(map[string]time.Time),
		usual:    make(map[string]time.Duration),
		streams:  make(map[string]time.Duration),
		late:     make(map[string]int),
		queues:   make(map[string]*queue),
	}
}

// SetServers replaces the usable servers. What is known of those that stay is
// kept unless they have started anew.
func (b *Balancer) SetServers(list []fleet.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := make(map[string]*server, len(list))
	services := make(map[string][]*server)
	members := make(map[string]map[groupKey][]*server)
	for _, s := range list {
		known := b.servers[s.ID]
		if known == nil || known.Incarnation != s.Incarnation || known.Address != s.Address {
			known = &server{}
		}
		known.Server = s
		servers[s.ID] = known
		services[s.Service] = append(services[s.Service], known)
		if members[s.Service] == nil {
			members[s.Service] = make(map[groupKey][]*server)
		}
		members[s.Service][known.key()] = append(members[s.Service][known.key()], known)
	}
	b.servers, b.services, b.members = servers, services, members
}

// Begin counts a request that is sent to a server.
func (b *Balancer) Begin(now time.Time, id string, tokens int) {
	b.add(id, Load{Requests: 1, Tokens: tokens})
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil && s.oldest.IsZero() {
		s.oldest = now
	}
}

// ResponseStarted notes that a server has begun to answer a request that began at a
// time: it does not hang.
func (b *Balancer) ResponseStarted(now time.Time, id string, began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		s.oldest = time.Time{}
		if s.own.Requests > 1 {
			s.oldest = now
		}
		b.answered[s.Service] = now
		usual := b.usual[s.Service]
		b.usual[s.Service] = usual + time.Duration(latencyWeight*float64(now.Sub(began)-usual))
	}
}

// Unresponsive reports whether a server does not answer its planner, or has answered
// nothing for far longer than usual while others of its service answered.
func (b *Balancer) Unresponsive(now time.Time, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	return s != nil && b.hangs(now, s)
}

func (b *Balancer) hangs(now time.Time, s *server) bool {
	limit := max(hangTime, hangLatencies*b.usual[s.Service])
	return now.Before(s.missing) || !s.oldest.IsZero() && now.Sub(s.oldest) > limit && b.answered[s.Service].Sub(s.oldest) > limit/2
}

// End takes a request off again and learns from its result.
func (b *Balancer) End(now time.Time, id string, tokens int, r Result) {
	b.add(id, Load{Requests: -1, Tokens: -tokens})
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return
	}
	if b.hangs(now, s) {
		s.suspect = now.Add(hangSuspect)
	}
	if s.own.Requests == 0 {
		s.oldest = time.Time{}
	}
	s.learn(now, r)
	if r.Duration > 0 {
		b.learnStream(s.Service, r.Duration)
	}
	if r.Latency > 0 && !r.Failed && !r.Refused {
		delete(b.faults, s.key())
	}
}

func (b *Balancer) add(id string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		s.sent += max(l.Requests, 0)
		s.own.Requests = max(s.own.Requests+l.Requests, 0)
		s.own.Tokens = max(s.own.Tokens+l.Tokens, 0)
	}
}

func (s *server) learn(now time.Time, r Result) {
	s.failures = s.failuresNow(now)
	s.failuresAt = now
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	s.failures += (failed - s.failures) * 0.25
	if r.Latency > 0 {
		if s.latency == 0 {
			s.latency = r.Latency
		}
		s.latency += time.Duration(latencyWeight * float64(r.Latency-s.latency))
	}
}

func (s *server) failuresNow(now time.Time) float64 {
	age := now.Sub(s.failuresAt)
	if age <= 0 || s.failures < 0.001 {
		return s.failures
	}
	return s.failures / (1 + float64(age)/float64(failureHalfLife))
}

// AvoidUntil keeps a server back for a time unless there is no other.
func (b *Balancer) AvoidUntil(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		s.suspect = until
	}
}

// OwnLoads returns what this entry has in flight at each server.
func (b *Balancer) OwnLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[string]Load)
	for id, s := range b.servers {
		if s.own.Requests > 0 {
			loads[id] = s.own
		}
	}
	return loads
}

// SetEntryLoads takes what another entry has in flight.
func (b *Balancer) SetEntryLoads(now time.Time, entry string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[entry] = others{loads, now}
}

// EngineLoad is what is known of one engine.
type EngineLoad struct {
	Address string
	Born    int64
	Running int
	Waiting int
	// Pace above 1 means that the engine is slow.
	Pace float64
}

// UpdateGroup takes what a planner tells of a group of a service's engines.
func (b *Balancer) UpdateGroup(now time.Time, service, group string, state fleet.GroupState, engines []EngineLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := groupKey{service, group}
	b.groups[key] = groupState{state: state, at: now}
	loads := make(map[string]EngineLoad, len(engines))
	for _, e := range engines {
		loads[e.Address] = e
	}
	var missing []*server
	members := b.members[service][key]
	for _, s := range members {
		load, ok := loads[s.Address]
		if ok && load.Born == s.Incarnation {
			s.engine, s.engineAt, s.sent = load, now, 0
		}
		if !ok {
			missing = append(missing, s)
		}
	}
	// A planner that reaches few engines is cut off itself.
	if len(missing)*mostMissing <= len(members) {
		for _, s := range missing {
			s.missing = now.Add(missingTime)
		}
	}
}

// ServerCount returns the number of usable servers of a service.
func (b *Balancer) ServerCount(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.services[service])
}

// Choose returns the server with the least cost among those that aren't
// excluded. Where what is known of the servers is older than the time in which
// they get new work, only a few drawn at random are compared: else all entries
// would choose the same one. random returns uniform values from 0 to 1.
func (b *Balancer) Choose(now time.Time, service *fleet.Service, exclude map[string]bool, random func() float64) (fleet.Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := b.sumOthers(now)
	candidates := make([]*server, 0, len(b.services[service.Name]))
	for _, s := range b.services[service.Name] {
		if !exclude[s.ID] {
			candidates = append(candidates, s)
		}
	}
	if service.Engine != nil {
		candidates = b.inOpenGroups(now, candidates)
	}
	if len(candidates) <= largeService {
		return b.cheapest(now, service, candidates, loads, random)
	}
	if service.Engine != nil {
		// A request must not wait at one engine while another one has a free slot.
		free := b.free(now, service, candidates, loads)
		if len(free) == 0 {
			return b.cheapest(now, service, drawn(candidates, comparedFull, random), loads, random)
		}
		candidates = free
	}
	return b.cheapest(now, service, drawn(candidates, compared, random), loads, random)
}

// free returns the engines that have a free slot; b.mu is held.
func (b *Balancer) free(now time.Time, service *fleet.Service, candidates []*server, loads map[string]Load) []*server {
	var free []*server
	for _, s := range candidates {
		if s.requests(now, loads[s.ID]) < service.Engine.Slots {
			free = append(free, s)
		}
	}
	return free
}

// cheapest returns the candidate with the least cost; b.mu is held.
func (b *Balancer) cheapest(now time.Time, service *fleet.Service, candidates []*server, loads map[string]Load, random func() float64) (fleet.Server, bool) {
	var best *server
	lowest := 0.0
	for _, s := range candidates {
		cost := s.cost(now, service.Engine, loads[s.ID], random())
		if b.hangs(now, s) {
			cost += 2 * failureCost
		}
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best == nil {
		return fleet.Server{}, false
	}
	return best.Server, true
}

// drawn returns a number of candidates in a random order.
func drawn(candidates []*server, count int, random func() float64) []*server {
	count = min(count, len(candidates))
	for i := range count {
		j := i + int(random()*float64(len(candidates)-i))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:count]
}

func (b *Balancer) sumOthers(now time.Time) map[string]Load {
	sum := make(map[string]Load, len(b.servers))
	for _, o := range b.entries {
		if now.Sub(o.at) > othersLifetime {
			continue
		}
		for id, l := range o.loads {
			t := sum[id]
			sum[id] = Load{t.Requests + l.Requests, t.Tokens + l.Tokens}
		}
	}
	return sum
}

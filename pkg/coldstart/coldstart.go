// Package coldstart bounds the requests that entries send to cold backend servers. A cold server can handle only a few
// requests per second, summed over all entries; each entry keeps to a fixed share that it computes from the names of
// the entries that it knows, so that the sum holds without a message. It has no I/O, clock or random source.
package coldstart

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

const (
	// window is the span in which the operators count the requests at a cold server.
	window = time.Second
	// settleTime is how long after the first message an entry waits for those of the others if it cannot read
	// the list of entries: twice the time between two messages of an entry in a fleet of 150.
	settleTime = 3 * time.Second
	// entryMemory is how long an entry that is not heard keeps its share: it may be cut off from this entry and
	// still reach the servers.
	entryMemory = time.Hour
	// After the cold state, a server is left to others for rampTime where this entry exceeds its share of a rate
	// that doubles every rampDoubling: entries do not turn to an idle server at the same moment.
	rampTime     = 3 * time.Second
	rampDoubling = time.Second
	// maxRamp is the highest multiple of the rate that is compared with the requests sent.
	maxRamp = 1 << (rampTime / rampDoubling)
	// maxUnits and maxSpan bound what a rate is converted to, so that no configuration exceeds the integers. No
	// server is limited by a million requests in a second.
	maxUnits = 1_000_000
	maxSpan  = time.Duration(1 << 62)
	// recordMemory is how long the record of a server that is not usable is kept.
	recordMemory = time.Minute
)

// Bounds is the operators' rule: in any second at most the stated rate times Overage, plus Slack, requests at a cold
// server. Zero values mean that the rule is not stated; the rate itself is the bound then.
type Bounds struct {
	Overage, Slack float64
}

// key identifies one start of a server.
type key struct {
	id          string
	incarnation int64
}

// server is the state of one start of a server.
type server struct {
	key
	service  string
	hash     uint64
	sequence int64
	// coldUntil is when the cold state ends; zero if the server has not been cold.
	coldUntil   time.Time
	announcedAt time.Time
	// reported is true if Advance has reported that the server is cold.
	reported bool
	// sent holds the times of this entry's last requests, also before the server turned cold. Those that no share
	// depends on are dropped.
	sent []time.Time
	// rank is this entry's place in the order of the entries for this server, as of rankVersion.
	rank        int
	rankVersion int
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// Limiter holds the cold servers at one entry. It is safe for concurrent use.
type Limiter struct {
	self string
	// active is true if the configuration states a limit.
	active atomic.Bool

	mu     sync.Mutex
	bounds Bounds
	// perSecond holds the stated rates, in requests per second, by service.
	perSecond map[string]float64
	servers   map[key]*server
	services  map[string]*service
	entries   []entry
	// heard is when each other entry was last heard of.
	heard map[string]time.Time
	// version changes with the entries.
	version int
	// firstHeard is when the first other entry was heard of, and entriesRead when the list of entries had been
	// read; zero before.
	firstHeard, entriesRead time.Time
	usage                   Usage
}

// Usage counts requests of this entry.
type Usage struct {
	// Sent counts the requests sent to cold servers, and Refused those that were refused because of the limit.
	Sent, Refused int
}

// New returns a limiter of the entry with the given name. It limits nothing before SetServices.
func New(self string, b Bounds) *Limiter {
	return &Limiter{
		self: self, bounds: b, servers: make(map[key]*server), services: make(map[string]*service),
		heard: make(map[string]time.Time), entries: []entry{newEntry(self)}, version: 1,
	}
}

// SetBounds changes the operators' rule.
func (l *Limiter) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = b
	l.version++
}

// SetServices sets the rates that the services of a configuration state. Services without a rate have no limit.
func (l *Limiter) SetServices(services []fleet.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond = make(map[string]float64)
	for _, s := range services {
		if s.ColdPerSecond > 0 {
			l.perSecond[s.Name] = s.ColdPerSecond
		}
	}
	l.version++
	l.active.Store(len(l.perSecond) > 0)
}

// Active reports whether any service has a limit.
func (l *Limiter) Active() bool { return l.active.Load() }

// Announce records an announcement that has just been read. Its age is unknown, so the stated time counts from the
// reading. An announcement that is not newer than the last one of the same start says nothing.
func (l *Limiter) Announce(now time.Time, a fleet.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(a)
	if a.Sequence > 0 && a.Sequence <= s.sequence {
		return
	}
	s.sequence, s.announcedAt = a.Sequence, now
	if a.WarmupLeft > 0 {
		s.coldUntil = now.Add(a.WarmupLeft)
	} else if s.cold(now) {
		s.coldUntil = now
	}
}

// server returns the state of a server. l.mu is held.
func (l *Limiter) server(a fleet.Server) *server {
	k := key{a.ID, a.Incarnation}
	s := l.servers[k]
	if s == nil {
		s = &server{key: k, hash: k.hash()}
		l.servers[k] = s
	}
	s.service = a.Service
	return s
}

// SetServers sets the usable servers.
func (l *Limiter) SetServers(list []fleet.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	services := make(map[string]*service)
	for _, a := range list {
		s := l.server(a)
		if services[a.Service] == nil {
			services[a.Service] = &service{}
		}
		services[a.Service].servers = append(services[a.Service].servers, s)
	}
	for name, next := range services {
		if old := l.services[name]; old != nil && old.sameServers(next) {
			services[name] = old
		}
	}
	l.services = services
}

// Hear records that an entry exists, by its record or a message.
func (l *Limiter) Hear(now time.Time, name string) {
	if name == l.self {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.heard[name]; !known {
		l.entries = append(l.entries, newEntry(name))
		l.version++
	}
	l.heard[name] = now
	if l.firstHeard.IsZero() {
		l.firstHeard = now
	}
}

// EntriesRead records that the list of all entries has been read.
func (l *Limiter) EntriesRead(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entriesRead.IsZero() {
		l.entriesRead = now
	}
}

// startsAt returns when this entry begins to use its shares: a window after it has learned the other entries, since
// what it sent before a restart is unknown. It reports false before it has learned any. l.mu is held.
func (l *Limiter) startsAt() (time.Time, bool) {
	var at time.Time
	if !l.firstHeard.IsZero() {
		at = l.firstHeard.Add(settleTime)
	}
	if read := l.entriesRead.Add(window); !l.entriesRead.IsZero() && (at.IsZero() || read.Before(at)) {
		at = read
	}
	return at, !at.IsZero()
}

// State is whether this entry may send a request to a server.
type State int

// The states. A Recovering server is to be used only if no other one is Open.
const (
	Open State = iota
	Recovering
	Closed
)

// Admission returns whether this entry may send a request to a server now.
func (l *Limiter) Admission(now time.Time, a fleet.Server) State {
	if !l.Active() {
		return Open
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, limited := l.limited(a)
	switch {
	case !limited:
		return Open
	case l.wait(now, s) > 0:
		return Closed
	case l.recovering(now, s):
		return Recovering
	}
	return Open
}

// Wait returns the time until this entry may send a request to a server; 0 if it may now.
func (l *Limiter) Wait(now time.Time, a fleet.Server) time.Duration {
	if !l.Active() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, limited := l.limited(a); limited {
		return l.wait(now, s)
	}
	return 0
}

// Cold reports whether a server is cold and its service has a limit.
func (l *Limiter) Cold(now time.Time, a fleet.Server) bool {
	if !l.Active() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, limited := l.limited(a)
	return limited && s.cold(now)
}

// Take records that a request is about to be sent to a server. It reports false, and records nothing, if this entry
// may not send it.
func (l *Limiter) Take(now time.Time, a fleet.Server) bool {
	if !l.Active() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, limited := l.limited(a)
	if !limited {
		return true
	}
	if l.wait(now, s) > 0 {
		return false
	}
	count, span := units(l.aim(s.service))
	kept := min(s.sentWithin(now, span), maxRamp*count-1)
	s.sent = append(s.sent[len(s.sent)-kept:], now)
	if s.cold(now) {
		l.usage.Sent++
	}
	return true
}

// RecordRefusal counts a request that was refused because of the limit.
func (l *Limiter) RecordRefusal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage.Refused++
}

// limited returns the state of a server whose service has a limit. l.mu is held.
func (l *Limiter) limited(a fleet.Server) (*server, bool) {
	if l.perSecond[a.Service] <= 0 {
		return nil, false
	}
	s := l.servers[key{a.ID, a.Incarnation}]
	return s, s != nil
}

// aim returns the rate, in requests per second, that all entries together aim at: the stated one, so that the
// operators' rule leaves room for entries that know different entries. l.mu is held.
func (l *Limiter) aim(service string) float64 {
	rate := l.perSecond[service]
	if bound, ok := l.bound(service); ok {
		return min(rate, bound)
	}
	return rate
}

// bound returns the operators' bound on the requests in one second. l.mu is held.
func (l *Limiter) bound(service string) (float64, bool) {
	bound := l.perSecond[service]*l.bounds.Overage + l.bounds.Slack
	return bound, bound > 0
}

// units converts a rate, in requests per second, to the whole number of requests that all entries together may send in
// any span.
func units(perSecond float64) (count int, span time.Duration) {
	if perSecond >= 1 {
		return int(min(perSecond, maxUnits)), window
	}
	return 1, time.Duration(min(float64(window)/perSecond, float64(maxSpan)))
}

// sentWithin returns the number of the last requests that were sent within a span.
func (s *server) sentWithin(now time.Time, span time.Duration) int {
	n := 0
	for n < len(s.sent) && now.Sub(s.sent[len(s.sent)-1-n]) < span {
		n++
	}
	return n
}

// wait returns the time until this entry may send a request to a server. l.mu is held.
func (l *Limiter) wait(now time.Time, s *server) time.Duration {
	if !s.cold(now) {
		return 0
	}
	coldLeft := s.coldUntil.Sub(now)
	starts, learned := l.startsAt()
	if !learned {
		return coldLeft
	}
	if now.Before(starts) {
		return min(coldLeft, starts.Sub(now))
	}
	count, span := units(l.aim(s.service))
	share := l.share(s, count)
	if share == 0 && l.isWidened(now, s) {
		share = 1
	}
	if share == 0 {
		return coldLeft
	}
	if s.sentWithin(now, span) < share {
		return 0
	}
	return min(coldLeft, s.sent[len(s.sent)-share].Add(span).Sub(now))
}

// recovering reports whether this entry has reached its share of a server whose cold state ended lately. l.mu is held.
func (l *Limiter) recovering(now time.Time, s *server) bool {
	age := now.Sub(s.coldUntil)
	if s.coldUntil.IsZero() || age < 0 || age >= rampTime {
		return false
	}
	count, span := units(l.aim(s.service))
	count <<= 1 + age/rampDoubling
	return s.sentWithin(now, span) >= l.share(s, count)
}

// Change is a change of the cold state of a server.
type Change struct {
	Server, Service string
	Incarnation     int64
	Cold            bool
	// Left is the time for which the server remains cold.
	Left time.Duration
	// Share is the number of requests that this entry may send it in a second, and Entries the number of entries
	// that share the rate.
	Share, Entries int
}

// Advance forgets entries that were not heard for long, and returns the changes since the last call, the number of
// usable cold servers and what this entry has done meanwhile.
func (l *Limiter) Advance(now time.Time) (changes []Change, cold int, usage Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetEntries(now)
	listed := make(map[*server]bool)
	for name, service := range l.services {
		for _, s := range service.servers {
			listed[s] = true
			if l.perSecond[name] <= 0 {
				continue
			}
			if s.cold(now) {
				cold++
			}
			if s.cold(now) == s.reported {
				continue
			}
			s.reported = s.cold(now)
			count, _ := units(l.aim(name))
			changes = append(changes, Change{
				Server: s.id, Service: name, Incarnation: s.incarnation, Cold: s.reported, Left: max(s.coldUntil.Sub(now), 0),
				Share: l.share(s, count), Entries: len(l.entries),
			})
		}
	}
	for k, s := range l.servers {
		if !listed[s] && !s.cold(now) && now.Sub(s.announcedAt) > recordMemory {
			delete(l.servers, k)
		}
	}
	usage, l.usage = l.usage, Usage{}
	return changes, cold, usage
}

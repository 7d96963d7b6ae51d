package ratelimit

import (
	"hash/fnv"
	"math"
	"sync"
	"time"
)

const (
	// minRate is the rate, in requests per second, below which no limit is kept: without a request now and
	// then nobody would learn that a limit has ended, and a server that has recovered would stay unused.
	minRate = 1.0 / 10
	// rampTime is the time after the end of a limit in which the permitted rate doubles every rampDoubling,
	// so that not all entries return to the server at the same moment.
	rampTime     = 3 * time.Second
	rampDoubling = time.Second
	// endedLifetime is how long the end of a limit is remembered, so that an older statement that arrives
	// late does not count.
	endedLifetime = 30 * time.Second
	// limitLifetime is how long a limit is kept that no response has stated again.
	limitLifetime = 5 * time.Minute
	// tellShare is the share of the former rate below which a rate counts as lowered, and the former one's
	// share of the new rate below which it counts as raised. Smaller changes are neither announced nor logged.
	tellShare = 0.9
	// maxLimits bounds the servers with limits that are remembered.
	maxLimits = 1 << 14
)

// Limiter holds the limits of the servers at one entry. Of the entries that know each other, one grants the
// permits for a server: each request to a server with a limit needs one. It is safe for concurrent use.
type Limiter struct {
	self string
	wake chan struct{}

	mu     sync.Mutex
	limits map[string]*limit
	// entries are the entries that may grant permits, and share is the part of a limit that they may grant:
	// the others of the known ones may be on the other side of a partition.
	entries []string
	known   int
	share   float64
	asks    int64
	// usage is what this entry has done under all limits since the last TakeUsage.
	usage Usage
	// answered is closed, and replaced, when an entry has answered a request for a permit.
	answered chan struct{}
	// changes and announcements hold what Advance has not returned yet.
	changes       []Change
	announcements map[string]bool
}

// limit is the state of one server that has stated a limit.
type limit struct {
	newest Statement
	// learnedFrom is the entry that received the newest statement; empty for this one.
	learnedFrom string
	// granter is the entry that grants the permits.
	granter string
	// rate is the last limit that was stated, and toldRate the one of the last Change, 0 for no limit.
	rate, toldRate float64
	// endedAt is when the first response without the limit arrived; zero while the limit is stated.
	endedAt time.Time
	// bucket is used while this entry grants the permits of the server.
	bucket bucket
	// permits are the times at which the unused permits of this entry expire, in their order.
	permits []time.Time
	// askDue is true if a permit is to be asked for. ask is the number of the request for a permit that is
	// not answered yet, 0 if there is none.
	askDue  bool
	ask     int64
	askedAt time.Time
	// askAgainAt is when a permit may be asked for again.
	askAgainAt time.Time
	usage      Usage
}

// ended reports whether the server does not state the limit any more.
func (l *limit) ended() bool { return !l.endedAt.IsZero() }

// Usage counts what this entry has done under a limit.
type Usage struct {
	// Sent counts the requests that were sent, Denied the requests for permits that this entry or another one
	// has denied it, and Granted the permits that this entry has granted.
	Sent, Denied, Granted int
}

func (u *Usage) add(more Usage) {
	u.Sent += more.Sent
	u.Denied += more.Denied
	u.Granted += more.Granted
}

// count adds to the usage of a limit and of all limits. l.mu is held.
func (l *Limiter) count(state *limit, more Usage) {
	state.usage.add(more)
	l.usage.add(more)
}

// Change is a change of the limit of a server.
type Change struct {
	Statement
	// Previous is the rate before; 0 if there was no limit.
	Previous float64
	// LearnedFrom is the entry that received the statement; empty for this one.
	LearnedFrom string
}

// New returns a limiter without limits of the entry with the given name.
func New(self string) *Limiter {
	return &Limiter{
		self: self, wake: make(chan struct{}, 1), limits: make(map[string]*limit), entries: []string{self}, known: 1, share: 1,
		answered: make(chan struct{}), announcements: make(map[string]bool),
	}
}

// Wake returns a channel that receives a value when Advance is to be called.
func (l *Limiter) Wake() <-chan struct{} { return l.wake }

func (l *Limiter) signal() {
	select {
	case l.wake <- struct{}{}:
	default: // a call is already due
	}
}

// SetEntries sets the entries that may grant permits, this one included if it may, and the number of entries
// that were known lately, also to the others.
func (l *Limiter) SetEntries(now time.Time, entries []string, known int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(entries) == 0 {
		entries = []string{l.self}
	}
	l.entries = entries
	l.known = max(known, len(entries))
	l.share = float64(len(entries)) / float64(l.known)
	for server, state := range l.limits {
		if state.granter = l.granterOf(server); state.granter != l.self {
			state.bucket = bucket{}
		}
		if state.ended() && now.Sub(state.endedAt) > endedLifetime || now.Sub(state.newest.Received) > limitLifetime {
			delete(l.limits, server)
		}
	}
}

// granterOf returns the entry that grants the permits for a server: by rendezvous hashing, so that it changes
// only with that entry. l.mu is held.
func (l *Limiter) granterOf(server string) string {
	best, highest := "", uint64(0)
	for _, entry := range l.entries {
		h := fnv.New64a()
		_, _ = h.Write([]byte(server)) // a hash accepts all writes
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(entry))
		if sum := mix(h.Sum64()); best == "" || sum > highest {
			best, highest = entry, sum
		}
	}
	return best
}

// mix spreads similar hashes over all bits (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Observe records what a response says.
func (l *Limiter) Observe(s Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.adopt(s, "") {
		l.announcements[s.Server] = true
		l.signal()
	}
}

// adopt records a statement if it is newer than the known one, and reports whether the other entries are to
// be told at once. l.mu is held.
func (l *Limiter) adopt(s Statement, from string) bool {
	known := l.limits[s.Server]
	if known == nil {
		if !s.Limited || len(l.limits) >= maxLimits {
			return false
		}
		known = &limit{newest: Statement{Server: s.Server, Incarnation: s.Incarnation}, granter: l.granterOf(s.Server)}
		l.limits[s.Server] = known
	} else if !s.isNewer(known.newest) {
		return false
	}
	restarted := s.Incarnation != known.newest.Incarnation
	changed := s.Limited != known.newest.Limited
	if restarted {
		*known = limit{granter: known.granter, toldRate: known.toldRate}
	}
	known.newest, known.learnedFrom = s, from
	switch {
	case s.Limited:
		known.rate, known.endedAt = s.Rate, time.Time{}
		if changed || restarted {
			known.bucket = bucket{}
			known.bucket.refill(s.Received, l.permittedRate(s.Received, known))
		}
	case restarted:
		known.endedAt = s.Received.Add(-rampTime) // a new incarnation has no limit to return from
	case changed:
		known.endedAt = s.Received
	}
	lowered := s.Limited && s.Rate < known.toldRate*tellShare
	raised := s.Limited && s.Rate*tellShare > known.toldRate
	if changed || lowered || raised {
		l.changes = append(l.changes, Change{Statement: s, Previous: known.toldRate, LearnedFrom: from})
		known.toldRate = s.Rate
		l.signal()
	}
	return changed || lowered
}

// binding returns the state of a server whose limit applies now, nil if none does. l.mu is held.
func (l *Limiter) binding(now time.Time, server string, incarnation int64) *limit {
	if len(l.limits) == 0 {
		return nil
	}
	state := l.limits[server]
	if state == nil || state.newest.Incarnation != incarnation || state.ended() && now.Sub(state.endedAt) >= rampTime {
		return nil
	}
	return state
}

// permittedRate returns the rate at which this entry may grant permits. l.mu is held.
func (l *Limiter) permittedRate(now time.Time, state *limit) float64 {
	rate := max(state.rate, minRate) * l.share
	if state.ended() {
		rate *= math.Exp2(max(now.Sub(state.endedAt), 0).Seconds() / rampDoubling.Seconds())
	}
	return rate
}

// Entries returns the number of entries that were known lately, this one included.
func (l *Limiter) Entries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// Position returns how many of the known entries have a smaller name than this one, and the number of known
// entries. Entries that know the same ones have different positions.
func (l *Limiter) Position() (position, known int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range l.entries {
		if name < l.self {
			position++
		}
	}
	return position, l.known
}

// Any reports whether any server has, or lately had, a limit.
func (l *Limiter) Any() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits) > 0
}

// TakeUsage returns what this entry has done under all limits since the last call.
func (l *Limiter) TakeUsage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.usage
	l.usage = Usage{}
	return usage
}

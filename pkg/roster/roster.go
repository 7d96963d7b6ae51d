// Package roster decides which announced backend servers are usable for new work. It has no clock
// and no I/O.
package roster

import (
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// Roster holds the announced backend servers. It is not safe for concurrent use.
type Roster struct {
	// gracePeriod starts when the log becomes available again. Within it, servers whose
	// announcements lapsed while the log was unavailable can announce themselves again.
	gracePeriod time.Duration
	servers     map[string]fleet.Server
	// lapsed holds the servers whose announcement was removed while the log was unavailable or
	// within the grace period, and the time at which each is dropped.
	lapsed map[string]time.Time
	// misdirected holds, by ID, the incarnation of servers at whose address another server
	// answers.
	misdirected map[string]int64
	// logLost is true while the log is unavailable. regainedAt is when the log last became
	// available again.
	logLost    bool
	regainedAt time.Time
	// snapshot collects the IDs announced in the snapshot being read, nil outside of one.
	snapshot map[string]bool
}

// New returns an empty roster.
func New(gracePeriod time.Duration) *Roster {
	return &Roster{
		gracePeriod: gracePeriod,
		servers:     make(map[string]fleet.Server),
		lapsed:      make(map[string]time.Time),
		misdirected: make(map[string]int64),
	}
}

// SetGracePeriod changes the grace period for lapsed announcements.
func (r *Roster) SetGracePeriod(gracePeriod time.Duration) { r.gracePeriod = gracePeriod }

// Announce adds or replaces the announcement of a server.
func (r *Roster) Announce(s fleet.Server) {
	r.markSeen(s.ID)
	r.servers[s.ID] = s
	delete(r.lapsed, s.ID)
}

// Remove handles the removal of an announcement. The server is removed at once if it was draining
// or if the log has been available for the grace period. Otherwise the announcement may have
// lapsed only because the server could not renew it, so the server is kept until the grace period
// ends.
func (r *Roster) Remove(now time.Time, id string) {
	s, known := r.servers[id]
	if !known {
		return
	}
	graceEnd := r.regainedAt.Add(r.gracePeriod)
	if s.Draining || !r.logLost && !now.Before(graceEnd) {
		r.drop(id)
		return
	}
	if _, lapsed := r.lapsed[id]; lapsed {
		return
	}
	if r.logLost {
		// The grace period starts when the log is available again, which is not known yet.
		r.lapsed[id] = time.Time{}
		return
	}
	r.lapsed[id] = graceEnd
}

// Unreadable removes a server whose announcement cannot be parsed.
func (r *Roster) Unreadable(id string) { r.drop(id) }

func (r *Roster) drop(id string) {
	delete(r.servers, id)
	delete(r.lapsed, id)
	delete(r.misdirected, id)
}

// BeginSnapshot starts a snapshot of all announcements.
func (r *Roster) BeginSnapshot() { r.snapshot = make(map[string]bool) }

// CompleteSnapshot ends the snapshot and calls Remove for every server that was not announced in it.
func (r *Roster) CompleteSnapshot(now time.Time) {
	for id := range r.servers {
		if !r.snapshot[id] {
			r.Remove(now, id)
		}
	}
	r.snapshot = nil
}

func (r *Roster) markSeen(id string) {
	if r.snapshot != nil {
		r.snapshot[id] = true
	}
}

// LogLost records that the log is unavailable.
func (r *Roster) LogLost() { r.logLost = true }

// LogRegained records that the log is available again.
func (r *Roster) LogRegained(now time.Time) {
	r.logLost, r.regainedAt = false, now
	for id := range r.lapsed {
		r.lapsed[id] = now.Add(r.gracePeriod)
	}
}

// MarkMisdirected records that another server answers at the address of this one. The server is
// unusable until it announces a later incarnation.
func (r *Roster) MarkMisdirected(id string) {
	if s, ok := r.servers[id]; ok {
		r.misdirected[id] = s.Incarnation
	}
}

// Usable returns the servers that can be given new work. Of the servers with the same address,
// only the newest counts.
func (r *Roster) Usable(now time.Time) []fleet.Server {
	var candidates []fleet.Server
	for id, s := range r.servers {
		if removeAt, lapsed := r.lapsed[id]; lapsed && !removeAt.IsZero() && !now.Before(removeAt) {
			r.drop(id)
			continue
		}
		if incarnation, misdirected := r.misdirected[id]; !misdirected || incarnation != s.Incarnation {
			candidates = append(candidates, s)
		}
	}
	return slices.DeleteFunc(fleet.NewestByAddress(candidates), func(s fleet.Server) bool { return s.Draining })
}

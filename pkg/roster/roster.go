// Package roster decides which announced backend servers take work. It has no
// clock and no I/O.
package roster

import (
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// Roster holds the announced servers. It is not safe for concurrent use.
type Roster struct {
	// returnTime is how long announcements that lapsed while the log was away
	// may take to come back after its return.
	returnTime time.Duration
	servers    map[string]fleet.Server
	// lapsed holds the servers whose announcement went while the log was away
	// or just after, and when they are gone.
	lapsed map[string]time.Time
	// misdirected servers don't have their address any more.
	misdirected map[string]int64
	away        bool
	returned    time.Time
	// reading collects the keys of a reading of all newest records.
	reading map[string]bool
}

// New returns an empty roster.
func New(returnTime time.Duration) *Roster {
	return &Roster{
		returnTime:  returnTime,
		servers:     make(map[string]fleet.Server),
		lapsed:      make(map[string]time.Time),
		misdirected: make(map[string]int64),
	}
}

// SetReturnTime changes how long lapsed announcements may take to come back.
func (r *Roster) SetReturnTime(returnTime time.Duration) { r.returnTime = returnTime }

// Announce takes a server's announcement.
func (r *Roster) Announce(s fleet.Server) {
	r.note(s.ID)
	r.servers[s.ID] = s
	delete(r.lapsed, s.ID)
}

// Remove takes the removal of an announcement.
func (r *Roster) Remove(now time.Time, id string) {
	s, known := r.servers[id]
	if !known {
		return
	}
	settled := r.returned.Add(r.returnTime)
	if s.Draining || !r.away && !now.Before(settled) {
		r.drop(id)
		return
	}
	if _, lapsed := r.lapsed[id]; lapsed {
		return
	}
	if r.away {
		// The time runs from the log's return, which is not known yet.
		r.lapsed[id] = time.Time{}
		return
	}
	r.lapsed[id] = settled
}

// Unreadable takes an announcement that can't be read: it names no server.
func (r *Roster) Unreadable(id string) { r.drop(id) }

func (r *Roster) drop(id string) {
	delete(r.servers, id)
	delete(r.lapsed, id)
	delete(r.misdirected, id)
}

// BeginSnapshot starts a reading of all announcements.
func (r *Roster) BeginSnapshot() { r.reading = make(map[string]bool) }

// CompleteSnapshot ends it: what was not announced since is removed.
func (r *Roster) CompleteSnapshot(now time.Time) {
	for id := range r.servers {
		if !r.reading[id] {
			r.Remove(now, id)
		}
	}
	r.reading = nil
}

func (r *Roster) note(id string) {
	if r.reading != nil {
		r.reading[id] = true
	}
}

// LogLost tells that the log is away.
func (r *Roster) LogLost() { r.away = true }

// LogRegained tells that the log is back.
func (r *Roster) LogRegained(now time.Time) {
	r.away, r.returned = false, now
	for id := range r.lapsed {
		r.lapsed[id] = now.Add(r.returnTime)
	}
}

// MarkMisdirected tells that another server has a server's address.
func (r *Roster) MarkMisdirected(id string) {
	if s, ok := r.servers[id]; ok {
		r.misdirected[id] = s.Incarnation
	}
}

// Usable returns the servers that take work.
func (r *Roster) Usable(now time.Time) []fleet.Server {
	var present []fleet.Server
	for id, s := range r.servers {
		if gone, lapsed := r.lapsed[id]; lapsed && !gone.IsZero() && !now.Before(gone) {
			r.drop(id)
			continue
		}
		if born, misdirected := r.misdirected[id]; !misdirected || born != s.Incarnation {
			present = append(present, s)
		}
	}
	return slices.DeleteFunc(fleet.NewestByAddress(present), func(s fleet.Server) bool { return s.Draining })
}

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
	// leaving holds, by ID, the incarnation of servers that have said in a response that they are
	// leaving. A change of the announcement does not affect it.
	leaving *incarnations
	// departed holds the last announcement of the servers that were removed.
	departed *incarnations
	// logLost is true while the log is unavailable. regainedAt is when the log last became
	// available again.
	logLost    bool
	regainedAt time.Time
	// snapshot collects the IDs announced in the snapshot being read, nil outside of one.
	snapshot map[string]bool
	// restored is true from a restore of the log from an earlier copy to the end of the snapshot
	// that follows: the snapshot contains announcements that later ones had replaced.
	restored bool
}

// New returns an empty roster.
func New(gracePeriod time.Duration) *Roster {
	return &Roster{
		gracePeriod: gracePeriod,
		servers:     make(map[string]fleet.Server),
		lapsed:      make(map[string]time.Time),
		misdirected: make(map[string]int64),
		leaving:     newIncarnations(),
		departed:    newIncarnations(),
	}
}

// SetGracePeriod changes the grace period for lapsed announcements.
func (r *Roster) SetGracePeriod(gracePeriod time.Duration) { r.gracePeriod = gracePeriod }

// Announce adds or replaces the announcement of a server. One from before a drain that AnnounceDraining has recorded
// is ignored.
func (r *Roster) Announce(s fleet.Server) {
	r.markSeen(s.ID)
	if r.restored && r.isOutdated(s) {
		return
	}
	if old := r.servers[s.ID]; old.Draining && s.Sequence > 0 && s.Incarnation == old.Incarnation && s.Sequence < old.Sequence {
		return
	}
	r.servers[s.ID] = s
	delete(r.lapsed, s.ID)
	r.departed.remove(s.ID)
	if mark, ok := r.leaving.get(s.ID); ok && mark.incarnation != s.Incarnation {
		r.leaving.remove(s.ID)
	}
}

// AnnounceDraining records that an incarnation of a server has announced, with the given sequence, that it drains.
// A later announcement replaces that. It reports whether the server was not known to drain. An announcement
// without a sequence cannot be ordered and is ignored.
func (r *Roster) AnnounceDraining(id string, incarnation, sequence int64) (isNew bool) {
	s, ok := r.servers[id]
	if !ok || s.Draining || s.Incarnation != incarnation || sequence <= s.Sequence {
		return false
	}
	s.Draining, s.Sequence = true, sequence
	r.servers[id] = s
	return true
}

// isOutdated reports whether an announcement is not newer than the last known one of the server, or
// than the last one before the server was removed.
func (r *Roster) isOutdated(s fleet.Server) bool {
	known := mark{}
	if old, ok := r.servers[s.ID]; ok {
		known = mark{old.Incarnation, old.Sequence}
	} else if known, ok = r.departed.get(s.ID); !ok {
		return false
	}
	return s.Incarnation < known.incarnation || s.Incarnation == known.incarnation && s.Sequence <= known.sequence
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
	if s.Draining || r.isLeaving(s) || !r.logLost && !now.Before(graceEnd) {
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
	if s, ok := r.servers[id]; ok {
		r.departed.set(id, mark{s.Incarnation, s.Sequence})
	}
	delete(r.servers, id)
	delete(r.lapsed, id)
	delete(r.misdirected, id)
}

// LogRestored records that the log was restored from an earlier copy. The snapshot that follows does
// not undo what later announcements said: servers that it lacks get the grace period to announce
// themselves again, and outdated announcements of servers that are draining or gone are ignored.
func (r *Roster) LogRestored(now time.Time) {
	r.restored = true
	r.LogRegained(now)
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
	r.snapshot, r.restored = nil, false
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

// MarkLeaving records that a server has said in a response that it is leaving. The incarnation is
// unusable from then on, whatever it announces. A mark of another incarnation than the announced one
// is ignored.
func (r *Roster) MarkLeaving(id string, incarnation int64) (isNew bool) {
	s, ok := r.servers[id]
	if !ok || s.Incarnation != incarnation || r.isLeaving(s) {
		return false
	}
	r.leaving.set(id, mark{incarnation: incarnation})
	return true
}

func (r *Roster) isLeaving(s fleet.Server) bool {
	m, ok := r.leaving.get(s.ID)
	return ok && m.incarnation == s.Incarnation
}

// Leaving returns the incarnations, by ID, of the announced servers that are marked as leaving.
func (r *Roster) Leaving() map[string]int64 {
	var leaving map[string]int64
	for id, s := range r.servers {
		if r.isLeaving(s) {
			if leaving == nil {
				leaving = make(map[string]int64)
			}
			leaving[id] = s.Incarnation
		}
	}
	return leaving
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
	return slices.DeleteFunc(fleet.NewestByAddress(candidates), func(s fleet.Server) bool { return s.Draining || r.isLeaving(s) })
}

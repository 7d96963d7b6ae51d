package roster_test

import (
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/roster"
)

var start = time.Unix(1_700_000_000, 0)

const grace = 2 * time.Second

func at(d time.Duration) time.Time { return start.Add(d) }

func has(r *roster.Roster, now time.Time, id string) bool {
	for _, s := range r.Usable(now) {
		if s.ID == id {
			return true
		}
	}
	return false
}

// later returns a later announcement of the same incarnation.
func later(s fleet.Server, draining bool) fleet.Server {
	s.Sequence++
	s.Draining = draining
	return s
}

// restore reads the snapshot of a log that was restored after a minute.
func restore(r *roster.Roster, listed ...fleet.Server) {
	r.LogRestored(at(time.Minute))
	r.BeginSnapshot()
	for _, s := range listed {
		r.Announce(s)
	}
	r.CompleteSnapshot(at(time.Minute))
}

// A server must become unusable when it drains, is removed, or another server answers at its
// address, but not because its announcement lapsed while the log was unavailable: otherwise an
// outage of the log would make every server unusable.
func TestUsableServers(t *testing.T) {
	server := fleet.Server{ID: "a", Service: "s", Address: "h:1", Incarnation: 1}
	for _, c := range []struct {
		name   string
		events func(r *roster.Roster)
		now    time.Duration
		want   bool
	}{
		{"announced", func(*roster.Roster) {}, 0, true},
		{"removed", func(r *roster.Roster) { r.Remove(at(time.Minute), "a") }, time.Minute, false},
		{"draining", func(r *roster.Roster) { s := server; s.Draining = true; r.Announce(s) }, 0, false},
		{"unreadable", func(r *roster.Roster) { r.Unreadable("a") }, 0, false},
		{"lapsed while the log is unavailable", func(r *roster.Roster) { r.LogLost(); r.Remove(at(time.Minute), "a") }, time.Hour, true},
		{"lapsed, within the grace period", func(r *roster.Roster) {
			r.LogLost()
			r.LogRegained(at(time.Minute))
			r.Remove(at(time.Minute+time.Second), "a")
		}, time.Minute + 1900*time.Millisecond, true},
		{"lapsed, at the end of the grace period", func(r *roster.Roster) {
			r.LogLost()
			r.Remove(at(time.Second), "a")
			r.LogRegained(at(time.Minute))
		}, time.Minute + grace, false},
		{"announced again within the grace period", func(r *roster.Roster) {
			r.LogLost()
			r.Remove(at(time.Second), "a")
			r.LogRegained(at(time.Minute))
			r.Announce(server)
		}, time.Hour, true},
		{"draining, then removed while the log is unavailable", func(r *roster.Roster) {
			s := server
			s.Draining = true
			r.Announce(s)
			r.LogLost()
			r.Remove(at(time.Second), "a")
		}, time.Second, false},
		{"missing from a snapshot", func(r *roster.Roster) { r.BeginSnapshot(); r.CompleteSnapshot(at(time.Minute)) }, time.Minute, false},
		{"present in a snapshot", func(r *roster.Roster) { r.BeginSnapshot(); r.Announce(server); r.CompleteSnapshot(at(time.Minute)) }, time.Minute, true},
		{"another server answers at its address", func(r *roster.Roster) { r.MarkMisdirected("a") }, 0, false},
		{"restarted after another server answered at its address", func(r *roster.Roster) {
			r.MarkMisdirected("a")
			s := server
			s.Incarnation = 2
			r.Announce(s)
		}, 0, true},
		{"leaving", func(r *roster.Roster) { r.MarkLeaving("a", 1) }, 0, false},
		{"leaving, announced again", func(r *roster.Roster) { r.MarkLeaving("a", 1); r.Announce(server) }, 0, false},
		{"leaving, removed and announced again", func(r *roster.Roster) {
			r.MarkLeaving("a", 1)
			r.Remove(at(time.Minute), "a")
			r.Announce(server)
		}, time.Minute, false},
		{"leaving, restarted", func(r *roster.Roster) {
			r.MarkLeaving("a", 1)
			s := server
			s.Incarnation = 2
			r.Announce(s)
		}, 0, true},
		{"leaving, marked with another incarnation", func(r *roster.Roster) { r.MarkLeaving("a", 7) }, 0, true},
		{"leaving, lapsed while the log is unavailable", func(r *roster.Roster) {
			r.MarkLeaving("a", 1)
			r.LogLost()
			r.Remove(at(time.Second), "a")
		}, time.Second, false},
		{"missing from a restored log", func(r *roster.Roster) { restore(r) }, time.Minute + 1900*time.Millisecond, true},
		{"missing from a restored log, not announced again", func(r *roster.Roster) { restore(r) }, time.Minute + grace, false},
		{"missing from a restored log, announced again", func(r *roster.Roster) { restore(r); r.Announce(server) }, time.Hour, true},
		{"draining, ready in a restored log", func(r *roster.Roster) {
			r.Announce(later(server, true))
			restore(r, server)
		}, time.Minute, false},
		{"draining, ready in a restored log, then announced as ready", func(r *roster.Roster) {
			r.Announce(later(server, true))
			restore(r, server)
			r.Announce(server)
		}, time.Minute, true},
		{"removed, listed in a restored log", func(r *roster.Roster) {
			r.Remove(at(time.Minute), "a")
			restore(r, server)
		}, time.Minute, false},
		{"removed, listed in a restored log, then announced", func(r *roster.Roster) {
			r.Remove(at(time.Minute), "a")
			restore(r, server)
			r.Announce(later(server, false))
		}, time.Minute, true},
		{"restarted before the restored log was read", func(r *roster.Roster) {
			r.Announce(later(server, true))
			s := server
			s.Incarnation = 2
			restore(r, s)
		}, time.Minute, true},
	} {
		r := roster.New(grace)
		r.LogRegained(at(-time.Hour))
		r.Announce(server)
		c.events(r)
		if got := has(r, at(c.now), "a"); got != c.want {
			t.Errorf("%s: usable %v, want %v", c.name, got, c.want)
		}
	}
}

// After a power loss of a whole deployment, each server restarts under another ID at its old
// address while its old announcement has not lapsed yet. Requests to the old ID would be rejected
// and would use up the retry budget, so only the newest server of an address may be usable.
func TestNewestServerOfAnAddressIsUsable(t *testing.T) {
	old := fleet.Server{ID: "old", Service: "s", Address: "h:1", Incarnation: 1}
	anew := fleet.Server{ID: "new", Service: "s", Address: "h:1", Incarnation: 2}
	for _, c := range []struct {
		name             string
		events           func(r *roster.Roster)
		usesOld, usesNew bool
	}{
		{"old alone", func(r *roster.Roster) { r.Announce(old) }, true, false},
		{"both", func(r *roster.Roster) { r.Announce(old); r.Announce(anew) }, false, true},
		{"old announced again", func(r *roster.Roster) { r.Announce(anew); r.Announce(old) }, false, true},
		{"new one is draining", func(r *roster.Roster) {
			r.Announce(old)
			s := anew
			s.Draining = true
			r.Announce(s)
		}, false, false},
		{"new one does not answer at the address", func(r *roster.Roster) {
			r.Announce(old)
			r.Announce(anew)
			r.MarkMisdirected("new")
		}, true, false},
		{"other addresses", func(r *roster.Roster) {
			r.Announce(old)
			s := anew
			s.Address = "h:2"
			r.Announce(s)
		}, true, true},
	} {
		r := roster.New(grace)
		c.events(r)
		if usesOld, usesNew := has(r, start, "old"), has(r, start, "new"); usesOld != c.usesOld || usesNew != c.usesNew {
			t.Errorf("%s: old %v, new %v; want %v, %v", c.name, usesOld, usesNew, c.usesOld, c.usesNew)
		}
	}
}

// TestOlderAnnouncementDoesNotEndADrain guards against requests to a server that drains, as a message has told: the
// log holds announcements from before the drain that this entry has not read yet.
func TestOlderAnnouncementDoesNotEndADrain(t *testing.T) {
	first := fleet.Server{ID: "a", Address: "h:1", Incarnation: 1, Sequence: 1}
	second := later(first, false)
	restarted := fleet.Server{ID: "a", Address: "h:1", Incarnation: 2, Sequence: 1}
	for name, c := range map[string]struct {
		announced fleet.Server
		usable    bool
	}{
		"from before the drain":   {second, false},
		"of the drain":            {later(second, true), false},
		"after the drain":         {later(later(second, false), false), true},
		"of the next incarnation": {restarted, true},
		"without a sequence":      {fleet.Server{ID: "a", Address: "h:1", Incarnation: 1}, true},
	} {
		r := roster.New(grace)
		r.Announce(first)
		if !r.AnnounceDraining("a", 1, 3) {
			t.Fatalf("%s: the drain is not new", name)
		}
		r.Announce(c.announced)
		if got := has(r, at(time.Hour), "a"); got != c.usable {
			t.Errorf("%s: usable %v, want %v", name, got, c.usable)
		}
	}
}

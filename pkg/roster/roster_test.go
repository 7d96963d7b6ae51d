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

func TestRoster(t *testing.T) {
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
		{"lapsed while the log is away", func(r *roster.Roster) { r.LogLost(); r.Remove(at(time.Minute), "a") }, time.Hour, true},
		{"lapsed, just after the return", func(r *roster.Roster) {
			r.LogLost()
			r.LogRegained(at(time.Minute))
			r.Remove(at(time.Minute+time.Second), "a")
		}, time.Minute + 1900*time.Millisecond, true},
		{"lapsed, two seconds after the return", func(r *roster.Roster) {
			r.LogLost()
			r.Remove(at(time.Second), "a")
			r.LogRegained(at(time.Minute))
		}, time.Minute + grace, false},
		{"back within the time", func(r *roster.Roster) {
			r.LogLost()
			r.Remove(at(time.Second), "a")
			r.LogRegained(at(time.Minute))
			r.Announce(server)
		}, time.Hour, true},
		{"draining and then removed while away", func(r *roster.Roster) {
			s := server
			s.Draining = true
			r.Announce(s)
			r.LogLost()
			r.Remove(at(time.Second), "a")
		}, time.Second, false},
		{"missing in a reading of all", func(r *roster.Roster) { r.BeginSnapshot(); r.CompleteSnapshot(at(time.Minute)) }, time.Minute, false},
		{"seen in a reading of all", func(r *roster.Roster) { r.BeginSnapshot(); r.Announce(server); r.CompleteSnapshot(at(time.Minute)) }, time.Minute, true},
		{"another has its address", func(r *roster.Roster) { r.MarkMisdirected("a") }, 0, false},
		{"it starts anew after that", func(r *roster.Roster) {
			r.MarkMisdirected("a")
			s := server
			s.Incarnation = 2
			r.Announce(s)
		}, 0, true},
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

// TestOneServerAnAddress answers the pattern of a whole deployment that loses power: each
// server comes back under another ID at its address while its old announcement has not
// lapsed yet. Requests to the old ID would be turned away and use the retry budget up.
func TestOneServerAnAddress(t *testing.T) {
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
		{"new one drains", func(r *roster.Roster) {
			r.Announce(old)
			s := anew
			s.Draining = true
			r.Announce(s)
		}, false, false},
		{"new one is not at the address", func(r *roster.Roster) {
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

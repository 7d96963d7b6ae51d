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
	server := fleet.Server{ID: "a", Service: "s", Address: "h:1", Born: 1}
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
		{"lapsed while the log is away", func(r *roster.Roster) { r.Lost(); r.Remove(at(time.Minute), "a") }, time.Hour, true},
		{"lapsed, just after the return", func(r *roster.Roster) {
			r.Lost()
			r.Regained(at(time.Minute))
			r.Remove(at(time.Minute+time.Second), "a")
		}, time.Minute + 1900*time.Millisecond, true},
		{"lapsed, two seconds after the return", func(r *roster.Roster) {
			r.Lost()
			r.Remove(at(time.Second), "a")
			r.Regained(at(time.Minute))
		}, time.Minute + grace, false},
		{"back within the time", func(r *roster.Roster) {
			r.Lost()
			r.Remove(at(time.Second), "a")
			r.Regained(at(time.Minute))
			r.Announce(server)
		}, time.Hour, true},
		{"draining and then removed while away", func(r *roster.Roster) {
			s := server
			s.Draining = true
			r.Announce(s)
			r.Lost()
			r.Remove(at(time.Second), "a")
		}, time.Second, false},
		{"missing in a reading of all", func(r *roster.Roster) { r.Begin(); r.Complete(at(time.Minute)) }, time.Minute, false},
		{"seen in a reading of all", func(r *roster.Roster) { r.Begin(); r.Announce(server); r.Complete(at(time.Minute)) }, time.Minute, true},
		{"another has its address", func(r *roster.Roster) { r.Misdirected("a") }, 0, false},
		{"it starts anew after that", func(r *roster.Roster) {
			r.Misdirected("a")
			s := server
			s.Born = 2
			r.Announce(s)
		}, 0, true},
	} {
		r := roster.New(grace)
		r.Regained(at(-time.Hour))
		r.Announce(server)
		c.events(r)
		if got := has(r, at(c.now), "a"); got != c.want {
			t.Errorf("%s: usable %v, want %v", c.name, got, c.want)
		}
	}
}

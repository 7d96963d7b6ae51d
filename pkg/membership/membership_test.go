package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/membership"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func serving(name string, incarnation ident.Incarnation) membership.Report {
	return membership.Report{Name: name, Incarnation: incarnation, BackendUp: true}
}

// linked returns a table with one agent that is eligible at 1 s.
func linked(t *testing.T) *membership.Table {
	t.Helper()
	table := membership.New(membership.DefaultRules())
	table.ApplyList(at(0), []membership.Row{{Name: "a", Address: "1"}}, 1)
	if got := table.Advance(at(0.5)); len(got) != 1 || got[0].Kind != membership.Dial {
		t.Fatalf("no dial: %v", got)
	}
	table.LinkUp(at(1), "a", serving("a", "a@1"))
	if !table.Eligible(at(1), "a") {
		t.Fatal("a linked agent is not eligible")
	}
	return table
}

// An agent must not be eligible after any sign that it leaves or cannot serve, even if an older
// message arrives later. A list that lacks its row, or a message about another incarnation, must
// not make it ineligible.
func TestEligibility(t *testing.T) {
	draining := membership.Report{Name: "a", Incarnation: "a@1", BackendUp: true, Draining: true}
	row := func(leaving bool) []membership.Row {
		return []membership.Row{{Name: "a", Address: "1", Leaving: leaving}}
	}
	tests := []struct {
		name string
		do   func(*membership.Table)
		want bool
	}{
		{"serving", func(*membership.Table) {}, true},
		{"reports that it is draining", func(m *membership.Table) { m.HandleReport(at(1.5), "a", draining) }, false},
		{"an older report arrives after it reported draining", func(m *membership.Table) {
			m.HandleReport(at(1.5), "a", draining)
			m.HandleReport(at(1.6), "a", serving("a", "a@1"))
		}, false},
		{"refused an attempt", func(m *membership.Table) { m.HandleRefusal("a", "a@1") }, false},
		{"its next incarnation after a refusal", func(m *membership.Table) {
			m.HandleRefusal("a", "a@1")
			m.LinkDown(at(1.2), "a", 1)
			m.LinkUp(at(1.9), "a", serving("a", "a@2"))
		}, true},
		{"a refusal of an earlier incarnation", func(m *membership.Table) {
			m.LinkUp(at(1.9), "a", serving("a", "a@2"))
			m.HandleRefusal("a", "a@1")
		}, true},
		{"the list marks it as leaving", func(m *membership.Table) { m.ApplyList(at(1.5), row(true), 1) }, false},
		{"the list marks it as leaving and then drops it", func(m *membership.Table) {
			m.ApplyList(at(1.5), row(true), 1)
			m.ApplyList(at(1.6), nil, 1)
		}, false},
		{"the list marked it as leaving and dropped it, and it reconnected", func(m *membership.Table) {
			m.ApplyList(at(1.5), row(true), 1)
			m.ApplyList(at(1.6), nil, 1)
			m.LinkUp(at(1.9), "a", serving("a", "a@2"))
		}, false},
		{"the list marked it as leaving and then as live", func(m *membership.Table) {
			m.ApplyList(at(1.5), row(true), 1)
			m.ApplyList(at(1.6), row(false), 1)
		}, true},
		{"the list is empty", func(m *membership.Table) { m.ApplyList(at(1.5), nil, 1) }, true},
		{"its backend server is down", func(m *membership.Table) {
			m.HandleReport(at(1.5), "a", membership.Report{Name: "a", Incarnation: "a@1"})
		}, false},
		{"a connection for an attempt failed", func(m *membership.Table) { m.HandleConnectFailure(at(1.5), "a", "a@1") }, false},
		{"a connection to its previous incarnation failed", func(m *membership.Table) { m.HandleConnectFailure(at(1.5), "a", "a@0") }, true},
		{"the link was closed", func(m *membership.Table) { m.LinkDown(at(1.5), "a", 1) }, false},
		{"another agent answers at its address", func(m *membership.Table) { m.LinkUp(at(1.5), "a", serving("b", "b@1")) }, false},
		{"the list changes its address", func(m *membership.Table) {
			m.ApplyList(at(1.5), []membership.Row{{Name: "a", Address: "2"}}, 1)
		}, false},
		{"a second agent is listed under its name", func(m *membership.Table) {
			m.ApplyList(at(1.5), []membership.Row{{Name: "a", Address: "0"}, {Name: "a", Address: "1"}}, 1)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := linked(t)
			tt.do(table)
			if got := table.Eligible(at(2), "a"); got != tt.want {
				t.Errorf("eligible: %v", got)
			}
		})
	}
}

func TestIdleLinkTimesOut(t *testing.T) {
	table := linked(t)
	table.HandleActivity(at(1.8), "a", "a@1")
	if !table.Eligible(at(2.7), "a") || table.Eligible(at(2.9), "a") {
		t.Error("the link timeout is not one second")
	}
	if got := table.Advance(at(2.9)); len(got) != 1 || got[0].Kind != membership.Close {
		t.Errorf("the idle link was not closed: %v", got)
	}
	if got := table.Advance(at(2.95)); len(got) != 1 || got[0].Kind != membership.Dial {
		t.Errorf("the link was not reopened: %v", got)
	}
}

// If 400 entries lose the link to an agent at the same time, they must not reconnect all at once,
// and repeated failures must make dials rarer.
func TestDialsBackOffWithJitter(t *testing.T) {
	var waits []time.Duration
	for seed := range uint64(400) {
		table := linked(t)
		table.LinkDown(at(2), "a", seed*977)
		now := at(2)
		for len(table.Advance(now)) == 0 {
			now = now.Add(time.Millisecond)
		}
		waits = append(waits, now.Sub(at(2)))
	}
	slices.Sort(waits)
	if waits[0] < 100*time.Millisecond || waits[399] > 201*time.Millisecond || waits[300]-waits[100] < 40*time.Millisecond {
		t.Errorf("first dials after %v to %v, the middle half within %v", waits[0], waits[399], waits[300]-waits[100])
	}
	table := linked(t)
	now, dials := at(2), 0
	table.LinkDown(now, "a", 1)
	for ; now.Before(at(62)); now = now.Add(50 * time.Millisecond) {
		for _, a := range table.Advance(now) {
			dials++
			table.LinkDown(now, a.Agent, uint64(dials))
		}
	}
	if dials < 12 || dials > 30 {
		t.Errorf("%d dials in a minute, want 12 to 30", dials)
	}
}

func TestForgetsUnlistedUnreachableAgents(t *testing.T) {
	table := linked(t)
	table.ApplyList(at(2), nil, 1)
	table.LinkDown(at(3), "a", 1)
	for s := 3.0; s < 600; s++ {
		for _, a := range table.Advance(at(s)) {
			if a.Kind == membership.Forget {
				t.Fatalf("forgotten after %v s", s)
			}
			table.LinkDown(at(s), a.Agent, 1)
		}
	}
	got := table.Advance(at(603))
	if len(got) != 1 || got[0].Kind != membership.Forget || table.Len() != 0 {
		t.Errorf("not forgotten after 10 minutes: %v", got)
	}
}

func TestShrunkListDelaysRemovals(t *testing.T) {
	l := membership.NewShrinkGuard(func(s string) string { return s })
	steps := []struct {
		at   float64
		list []string
		want int
	}{
		{0, []string{"a", "b", "c", "d", "e"}, 5},
		{1, []string{"a", "b", "c", "d"}, 4},
		{2, nil, 4},
		{3, []string{"a"}, 4},
		{4, []string{"a", "x"}, 2},
		{5, nil, 2},
		{604, nil, 2},
		{606, nil, 0},
	}
	for _, s := range steps {
		if got := l.Update(at(s.at), s.list); len(got) != s.want {
			t.Errorf("at %v s, list %v: rows in force %v", s.at, s.list, got)
		}
	}
}

// The heartbeats to one entry must stay within the bandwidth limit at any number of links.
func TestHeartbeatsStayWithinBandwidth(t *testing.T) {
	for _, links := range []int{1, 15, 176, 2000} {
		perSecond := float64(links) * 80 / membership.HeartbeatInterval(links).Seconds()
		if perSecond > 2001 {
			t.Errorf("%d links: %.0f bytes/s", links, perSecond)
		}
	}
}

func BenchmarkTable(b *testing.B) {
	for _, n := range []int{15, 176, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := membership.New(membership.DefaultRules())
			rows := make([]membership.Row, n)
			for i := range rows {
				rows[i] = membership.Row{Name: string(rune('a'+i%26)) + time.Duration(i).String(), Address: "1"}
			}
			table.ApplyList(at(0), rows, 1)
			table.Advance(at(1))
			for _, r := range rows {
				table.LinkUp(at(1), r.Name, serving(r.Name, ident.Incarnation(r.Name+"@1")))
			}
			b.ReportAllocs()
			for range b.N {
				table.Advance(at(1.5))
			}
		})
	}
}

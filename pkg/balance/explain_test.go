package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// TestExplainChangesNothing guards against an explanation that takes permits, probes a broken group or moves a
// draw: the choices are the same with explanations between them.
func TestExplainChangesNothing(t *testing.T) {
	for _, entries := range []int{1, 42} {
		choices := func(explains bool) string {
			limits := ratelimit.New("entry0")
			var names []string
			for i := range entries {
				names = append(names, fmt.Sprint("entry", i))
			}
			limits.SetEntries(start, names[:1], entries)
			b := balance.New(limits)
			list := servers(24)
			for i := range list {
				list[i].Group = fmt.Sprint("g", i/8)
			}
			b.SetServers(list)
			limits.Observe(ratelimit.Statement{Server: "3", Incarnation: 1, Limited: true, Rate: 2, Sent: start, Received: start})
			random := rand.New(rand.NewPCG(1, 1))
			var out strings.Builder
			for n := range 400 {
				now := start.Add(time.Duration(n) * 11 * time.Millisecond)
				if n == 100 {
					for _, id := range []string{"1", "9", "17"} {
						b.ReportGroupFault(now, id)
					}
				}
				if n%9 == 0 && n < 90 {
					var loads []balance.EngineLoad
					for i := range 8 {
						loads = append(loads, balance.EngineLoad{Address: list[i].Address, Incarnation: 1, Running: i, Age: 50 * time.Millisecond})
					}
					b.UpdateGroup(now, "s", "g0", fleet.GroupOpen, loads)
				}
				if explains {
					x := b.Explain(now, engines)
					b.WouldRefuse(now, "s", x.SlotWait, balance.QueueLimits{})
				}
				s, _ := b.Choose(now, engines, nil, random.Float64)
				permit := limits.Take(now, s.ID, s.Incarnation)
				b.Begin(now, s.ID, 800)
				refused := b.ShouldRefuse(now, "s", b.ExpectedWait(now, engines, s.ID), balance.QueueLimits{})
				fmt.Fprintln(&out, s.ID, permit, b.WaitReason(now, engines), refused)
			}
			return out.String()
		}
		if with, without := choices(true), choices(false); with != without {
			t.Errorf("%d entries: explanations changed the choices", entries)
		}
	}
}

// TestExplainNamesWhatIsLeftOut checks the reasons, the chances and the cheapest server.
func TestExplainNamesWhatIsLeftOut(t *testing.T) {
	limits := ratelimit.New("entry0")
	var names []string
	for i := range 42 {
		names = append(names, fmt.Sprint("entry", i))
	}
	limits.SetEntries(start, names, 42)
	b := balance.New(limits)
	list := servers(6)
	for i := range list {
		list[i].Group = fmt.Sprint("g", i/3)
	}
	b.SetServers(list)
	service := &fleet.Service{Name: "s", MaxConnections: 42, Engine: &fleet.Engine{Slots: 10}}
	var loads []balance.EngineLoad
	for i := range 3 {
		loads = append(loads, balance.EngineLoad{Address: list[i].Address, Incarnation: 1, Running: 9 - i})
	}
	b.UpdateGroup(start, "s", "g0", fleet.GroupOpen, loads)
	b.UpdateGroup(start, "s", "g1", fleet.GroupBroken, nil)
	b.Pause(start, list[0], start.Add(time.Second))
	b.Begin(start, "1", 0)
	x := b.Explain(start, service)
	for i, want := range []string{"pause", "share of 1 connections", "", "group is broken", "group is broken", "group is broken"} {
		if got := x.Servers[i].LeftOut; !strings.Contains(got, want) || want == "" && got != "" {
			t.Errorf("server %d: %q, want %q", i, got, want)
		}
	}
	if x.Cheapest != 2 || x.Wait != "" || math.Abs(x.Servers[2].Chance-1) > 1e-9 || x.Servers[2].Requests != 7 {
		t.Errorf("%+v", x)
	}
}

package rankagent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/settings"
)

// TestPlannerUsesTheNewestEngineConfiguration checks that a planner can start with the engine
// configuration that an entry has sent, and that neither an older one nor one of another service
// replaces a newer one.
func TestPlannerUsesTheNewestEngineConfiguration(t *testing.T) {
	a := &Agent{settings: settings.Instance{Service: "assistant"}, subscribers: make(map[netip.AddrPort]subscriber)}
	p := &planner{agent: a}
	if engine, _ := p.newestEngine(); engine != nil {
		t.Fatalf("%+v before any configuration is known, want none", engine)
	}
	send := func(service string, version int64, sets int) {
		e := &gossip.EngineConfiguration{Service: service, Version: version, Engine: fleet.Engine{Sets: sets}}
		a.handleMessage(netip.MustParseAddrPort("127.0.0.1:1"), gossip.Message{Subscribe: &gossip.Subscription{Entry: "front-1", Engine: e}})
	}
	for _, step := range []struct {
		name string
		do   func()
		want int
	}{
		{"an entry sends one", func() { send("assistant", 5, 6) }, 6},
		{"another entry sends an older one", func() { send("assistant", 4, 1) }, 6},
		{"one of another service arrives", func() { send("other", 9, 2) }, 6},
		{"the planner has read a newer one", func() { p.engine, p.version = &fleet.Engine{Sets: 7}, 6 }, 7},
		{"an entry sends a newer one", func() { send("assistant", 8, 8) }, 8},
		{"an entry subscribes without one", func() {
			a.handleMessage(netip.MustParseAddrPort("127.0.0.1:2"), gossip.Message{Subscribe: &gossip.Subscription{Entry: "front-2"}})
		}, 8},
	} {
		step.do()
		if engine, _ := p.newestEngine(); engine == nil || engine.Sets != step.want {
			t.Errorf("%s: %+v, want %d sets", step.name, engine, step.want)
		}
	}
	if receivers, _ := a.activeSubscribers(time.Now()); len(receivers) != 2 {
		t.Errorf("%d subscribers, want 2", len(receivers))
	}
}

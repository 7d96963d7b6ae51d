package gateway

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// TestOlderDigestsAreSkipped guards against loads that go back in time: digests that other entries pass
// on may arrive in another order. A planner that has started again counts from one, and is heard after a
// second.
func TestOlderDigestsAreSkipped(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var o digestOrder
	for _, c := range []struct {
		name     string
		after    time.Duration
		group    string
		planner  string
		sequence int64
		want     bool
	}{
		{"the first one", 0, "g0", "10.0.0.1:7000", 50, true},
		{"a newer one", 100 * time.Millisecond, "g0", "10.0.0.1:7000", 52, true},
		{"one that took a longer way", 110 * time.Millisecond, "g0", "10.0.0.1:7000", 51, false},
		{"a second copy", 120 * time.Millisecond, "g0", "10.0.0.1:7000", 52, false},
		{"one of another group", 130 * time.Millisecond, "g1", "10.0.0.1:7000", 51, true},
		{"one of another planner", 140 * time.Millisecond, "g0", "10.0.0.2:7000", 1, true},
		{"one of the first planner again", 150 * time.Millisecond, "g0", "10.0.0.1:7000", 53, true},
		{"the planner has started again", 400 * time.Millisecond, "g0", "10.0.0.1:7000", 1, false},
		{"it goes on for a second", 1200 * time.Millisecond, "g0", "10.0.0.1:7000", 8, true},
	} {
		d := &gossip.Digest{Service: "s", Group: c.group, PeerAddress: c.planner, Sequence: c.sequence}
		if got := o.isNewer(start.Add(c.after), d); got != c.want {
			t.Errorf("%s: newer %v, want %v", c.name, got, c.want)
		}
	}
}

// TestSubscriptionCarriesMissingEngine checks that the engine configuration is sent while the planner
// sends no digests or uses an older version, and not otherwise.
func TestSubscriptionCarriesMissingEngine(t *testing.T) {
	g := New(settings.Instance{Name: "a", FailureDomain: "z", Bounds: settings.Bounds{RetryWindow: 10 * time.Second}}, nil, nil, zap.NewNop(), telemetry.NewMetrics())
	now := time.Unix(1_700_000_000, 0)
	if s := g.subscription(now, "model"); s.Engine != nil || s.FailureDomain != "z" {
		t.Errorf("without a configuration: %+v, want the failure domain only", s)
	}
	g.table.Store(fleet.NewTable(fleet.Configuration{Version: 7, Services: []fleet.Service{{Name: "model", Engine: &fleet.Engine{Sets: 6}}, {Name: "plain"}}}))
	if s := g.subscription(now, "plain"); s.Engine != nil {
		t.Errorf("a service without engines: %+v", s.Engine)
	}
	for _, c := range []struct {
		name    string
		version int64 // of the digest that arrives; 0 for none
		after   time.Duration
		want    bool
	}{
		{"no digest", 0, 0, true},
		{"a digest made with an older version", 6, 100 * time.Millisecond, true},
		{"a digest made with this version", 7, 200 * time.Millisecond, false},
		{"a digest made with a newer version", 8, 300 * time.Millisecond, false},
		{"no digest for a long time", 0, 300*time.Millisecond + plannerTimeout + time.Millisecond, true},
	} {
		at := now.Add(c.after)
		if c.version > 0 {
			g.digests.isNewer(at, &gossip.Digest{Service: "model", Group: "g0", PeerAddress: "10.0.0.1:7000", Sequence: c.version, EngineVersion: c.version})
		}
		s := g.subscription(at, "model")
		if (s.Engine != nil) != c.want || c.want && (s.Engine.Version != 7 || s.Engine.Engine.Sets != 6) {
			t.Errorf("%s: engine %+v, want one: %v", c.name, s.Engine, c.want)
		}
	}
}

// TestDigestsAreRelayedToKnownEntriesOnly checks that an entry passes a digest on once, without the list of
// receivers, and not to addresses that it does not know as those of entries.
func TestDigestsAreRelayedToKnownEntriesOnly(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	open := func() *gossip.Socket {
		s, err := gossip.Open(ctx, "127.0.0.1:0", zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	relaying, known, unknown := open(), open(), open()
	received := make(map[*gossip.Socket]chan gossip.Message)
	done := make(chan struct{}, 2)
	for _, s := range []*gossip.Socket{known, unknown} {
		c := make(chan gossip.Message, 8)
		received[s] = c
		go func() {
			s.Run(ctx, func(_ netip.AddrPort, m gossip.Message) { c <- m })
			done <- struct{}{}
		}()
	}
	defer func() {
		cancel()
		<-done
		<-done
		relaying.Close()
	}()
	g := New(settings.Instance{Name: "a", Bounds: settings.Bounds{RetryWindow: 10 * time.Second}}, nil, nil, zap.NewNop(), telemetry.NewMetrics())
	g.socket = relaying
	g.peerAddresses["b"] = known.Address()
	g.relayDigest(&gossip.Digest{Service: "s", Group: "g0", Sequence: 3, Relay: []netip.AddrPort{unknown.Address(), known.Address()}})
	select {
	case m := <-received[known]:
		if m.Digest == nil || m.Digest.Sequence != 3 || len(m.Digest.Relay) != 0 {
			t.Errorf("received %+v, want the digest without receivers", m.Digest)
		}
	case <-time.After(2 * time.Second):
		t.Error("the digest did not reach the known entry")
	}
	select {
	case m := <-received[unknown]:
		t.Errorf("an address that is not an entry's received %+v", m)
	case <-time.After(100 * time.Millisecond):
	}
}

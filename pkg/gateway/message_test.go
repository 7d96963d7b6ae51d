package gateway

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/evacuation"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
	"github.com/fescuehub/fescuehub/pkg/retrybudget"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// FuzzMessages checks that no message of a peer makes an entry panic.
func FuzzMessages(f *testing.F) {
	for _, m := range []gossip.Message{
		{Entry: &gossip.EntryState{
			Name: "b", Sequence: 1, Ready: true, NextOffsets: map[string]int64{"servers": -5}, Timelines: map[string]int64{"servers": math.MaxInt64},
			InFlight: map[string]balance.Load{"x": {Requests: -1}}, Budget: map[string]retrybudget.Counts{"s": {Requests: -1}},
		}},
		{Entry: &gossip.EntryState{Name: "b", Leaving: map[string]int64{"x": 1, "": 0}}},
		{Entry: &gossip.EntryState{Name: "b", Evacuations: []evacuation.Report{{Domain: "y", Evacuated: true, Timeline: 1, Next: 5}, {Domain: "x", Evacuated: true, Timeline: math.MaxInt64, Next: math.MaxInt64, Past: []int64{-1}}, {}}}},
		{Planner: &gossip.Planner{Service: "s", PeerAddress: "127.0.0.1:1"}},
		{Planner: &gossip.Planner{PeerAddress: "x"}},
		{Digest: &gossip.Digest{
			Service: "s", PeerAddress: "127.0.0.1:1", State: "odd", Ranks: []gossip.RankState{{Address: "h:1", Running: -4, Slowdown: -1}},
			Relay: make([]netip.AddrPort, 2*gossip.MaxRelay),
		}},
		{Prompts: &quarantine.Message{
			Crashes:  []quarantine.CrashReport{{Service: "s", Server: "x", Incarnation: -1, AgeMilliseconds: math.MinInt64, Suspects: []quarantine.SuspectReport{{Part: "p", Depth: math.MaxInt64}}}},
			Answered: []quarantine.AnswerReport{{AgeMilliseconds: math.MaxInt64}},
			States:   []quarantine.StateReport{{Part: "p", Version: math.MaxInt64, Strikes: math.MaxInt64, LeftMilliseconds: math.MaxInt64}},
		}},
		{Digest: &gossip.Digest{}}, {Subscribe: &gossip.Subscription{}}, {},
	} {
		data, err := gossip.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	socket, err := gossip.Open(context.Background(), "127.0.0.1:0", zap.NewNop())
	if err != nil {
		f.Fatal(err)
	}
	g := New(settings.Instance{Name: "a", Bounds: settings.Bounds{RetryWindow: 10 * time.Second}}, nil, nil, zap.NewNop(), telemetry.NewMetrics())
	g.socket = socket
	f.Fuzz(func(_ *testing.T, data []byte) {
		if m, err := gossip.Decode(data); err == nil {
			g.handleMessage(netip.MustParseAddrPort("127.0.0.1:1"), m)
		}
	})
}

package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// TestUseOfPredictionsIsLogged guards the log and the hand-over of a digest's loads to the balancer: an entry of a
// large fleet spreads by predictions after the first digest, an entry of a small one never does.
func TestUseOfPredictionsIsLogged(t *testing.T) {
	for _, c := range []struct{ entries, lines int }{{12, 0}, {13, 1}} {
		core, logs := observer.New(zap.InfoLevel)
		g := New(settings.Instance{Name: "entry0", Bounds: settings.Bounds{RetryWindow: 10 * time.Second}}, nil, nil, zap.New(core), telemetry.NewMetrics())
		var names []string
		for i := range c.entries {
			names = append(names, fmt.Sprint("entry", i))
		}
		now := time.Now()
		g.rateLimits.SetEntries(now, names, len(names))
		g.balancer.SetServers([]fleet.Server{{ID: "r0", Service: "model", Group: "g0", Address: "10.0.0.1:1", Incarnation: 1}})
		g.handleDigest(now, &gossip.Digest{Service: "model", Group: "g0", PeerAddress: "10.0.0.9:7000", State: fleet.GroupOpen, Sequence: 1, AgeMS: 20, Ranks: []gossip.RankState{{Address: "10.0.0.1:1", Incarnation: 1, Running: 3}}})
		for range 2 {
			if _, ok := g.balancer.Choose(now, &fleet.Service{Name: "model", Engine: &fleet.Engine{Slots: 10}}, nil, func() float64 { return 0 }); !ok {
				t.Fatal("no engine was chosen")
			}
			g.recordPredictions()
		}
		if got := logs.FilterMessage("use of predicted engine loads changed").Len(); got != c.lines {
			t.Errorf("%d entries: %d log lines, want %d", c.entries, got, c.lines)
		}
	}
}

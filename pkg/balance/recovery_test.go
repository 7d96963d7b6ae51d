package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// TestServerThatFailedIsUsedAgain guards against an engine that gets no request for half a minute after failures that
// have ended, while the others have little to do: a failure loses half its weight in 2 s, so that after 14 s all of them
// weigh a quarter of the jitter of the choice.
func TestServerThatFailedIsUsedAgain(t *testing.T) {
	for _, service := range []*fleet.Service{engines, plain} {
		random := rand.New(rand.NewPCG(1, 1))
		b := balance.New(ratelimit.New(""))
		b.SetServers(servers(4))
		for range 6 {
			b.Begin(start, "0", 800)
			b.End(start, "0", 800, balance.Result{Failed: true})
		}
		again := time.Duration(0)
		for n := range 600 {
			now := start.Add(time.Duration(n) * 50 * time.Millisecond)
			s, _ := b.Choose(now, service, nil, random.Float64)
			if s.ID == "0" {
				again = now.Sub(start)
				break
			}
			b.Begin(now, s.ID, 800)
			b.ResponseStarted(now, s.ID, now)
			b.End(now, s.ID, 800, balance.Result{Latency: 20 * time.Millisecond})
		}
		if again < 4*time.Second || again > 14*time.Second {
			t.Errorf("engines %v: used again after %v (0: not within 30 s), want 4 to 14 s", service.Engine != nil, again)
		}
	}
}

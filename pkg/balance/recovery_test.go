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

// slowServer plays requests, one after the other, at two plain servers, of which the first was slow once. It returns
// when it was used first and how often. slow is true if it still is.
func slowServer(first balance.Result, slow bool) (again time.Duration, used int) {
	random := rand.New(rand.NewPCG(1, 1))
	b := balance.New(ratelimit.New(""))
	b.SetServers(servers(2))
	b.Begin(start, "0", 0)
	b.End(start, "0", 0, first)
	for n := range 12000 {
		now := start.Add(time.Duration(n) * 50 * time.Millisecond)
		s, _ := b.Choose(now, plain, nil, random.Float64)
		latency := 20 * time.Millisecond
		if s.ID == "0" {
			if used++; again == 0 {
				again = now.Sub(start)
			}
			if slow {
				latency = first.Latency
			}
		}
		b.Begin(now, s.ID, 0)
		b.ResponseStarted(now, s.ID, now)
		b.End(now, s.ID, 0, balance.Result{Latency: latency, Duration: latency})
	}
	return again, used
}

// TestServerWithOneSlowResponseIsUsedAgain guards against a plain server that gets no request any more after a single
// slow response while the other one is idle, and against many requests to one that stays slow.
func TestServerWithOneSlowResponseIsUsedAgain(t *testing.T) {
	answered := balance.Result{Latency: 400 * time.Millisecond, Duration: 400 * time.Millisecond}
	if again, used := slowServer(answered, false); again > 2*time.Minute || used < 2000 {
		t.Errorf("used first after %v and %d times of 12,000 in 10 minutes, want within 2 minutes and 2,000 times", again, used)
	}
	if again, used := slowServer(answered, true); used == 0 || used > 120 {
		t.Errorf("a server that stays slow was used first after %v and %d times of 12,000, want 1 to 120 times", again, used)
	}
}

// TestSlowRefusalIsNoLatency guards against a server that is not used after it has refused a request slowly: it has
// not run the request, so that the time says nothing about the next one.
func TestSlowRefusalIsNoLatency(t *testing.T) {
	refused := balance.Result{Latency: 400 * time.Millisecond, Refused: true}
	if again, used := slowServer(refused, false); again > time.Second || used < 4000 {
		t.Errorf("used first after %v and %d times of 12,000, want at once and 4,000 times", again, used)
	}
}

package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
)

// stall plays streams at engines under 95% of their capacity. For two seconds
// the group stands still; callers that wait for two seconds leave. It returns the
// share of callers that wait for a slot for more than limit, or leave, from five
// seconds after that stall on, and how many were refused in all.
func stall(t *testing.T, refuses bool) (late float64, refused int) {
	t.Helper()
	const (
		tick     = 10 * time.Millisecond
		engineN  = 12
		stream   = 1700 * time.Millisecond
		patience = 2 * time.Second
		limit    = 150 * time.Millisecond
		target   = 400 * time.Millisecond
	)
	type request struct {
		arrived time.Time
		left    time.Duration
	}
	random := rand.New(rand.NewPCG(3, 1))
	b := balance.New()
	b.SetServers(servers(engineN))
	running, waiting := make(map[string][]request), make(map[string][]request)
	perTick := 0.95 * engineN * float64(engines.Engine.Slots) * tick.Seconds() / stream.Seconds()
	due, judged, lates := 0.0, 0, 0
	for step := range 2500 {
		now := start.Add(time.Duration(step) * tick)
		stands := step >= 500 && step < 700
		judge := func(isLate bool) {
			if step > 1200 {
				judged++
				if isLate {
					lates++
				}
			}
		}
		for _, s := range servers(engineN) {
			var kept []request
			for _, r := range running[s.ID] {
				if !stands {
					r.left -= tick
				}
				if r.left > 0 {
					kept = append(kept, r)
					continue
				}
				b.End(now, s.ID, 800, balance.Result{Latency: limit, Duration: stream})
			}
			running[s.ID] = kept
			var queue []request
			for _, r := range waiting[s.ID] {
				switch {
				case now.Sub(r.arrived) > patience:
					b.End(now, s.ID, 800, balance.Result{})
					judge(true)
				case !stands && len(running[s.ID]) < engines.Engine.Slots:
					running[s.ID] = append(running[s.ID], r)
					judge(now.Sub(r.arrived) > limit)
				default:
					queue = append(queue, r)
				}
			}
			waiting[s.ID] = queue
		}
		for due += perTick; due >= 1; due-- {
			s, _ := b.Choose(now, engines, nil, random.Float64)
			wait := b.ExpectedWait(now, engines, s.ID)
			if b.ShouldRefuse(now, engines.Name, wait, balance.QueueLimits{MaxWait: target, MaxWaitStanding: limit}) && refuses {
				refused++
				continue
			}
			b.Begin(now, s.ID, 800)
			waiting[s.ID] = append(waiting[s.ID], request{now, stream})
		}
	}
	return float64(lates) / float64(judged), refused
}

// TestQueueOfAStallDrains answers a group that stands still for two seconds
// under 95% load: without refusals its queue stays, and all later callers are late.
func TestQueueOfAStallDrains(t *testing.T) {
	kept, _ := stall(t, false)
	drained, refused := stall(t, true)
	t.Logf("late from 5 s after the stall on: %.2f, with refusals %.2f (%d refused)", kept, drained, refused)
	if kept < 0.5 {
		t.Errorf("the model has no standing queue: %.2f late", kept)
	}
	if drained > 0.05 {
		t.Errorf("%.2f are late", drained)
	}
	if refused > 400 { // what arrives in 5 s
		t.Errorf("%d refused", refused)
	}
}

// TestShortQueueIsAccepted: a burst of half a second is served late rather than
// refused.
func TestShortQueueIsAccepted(t *testing.T) {
	b := balance.New()
	limits := balance.QueueLimits{MaxWait: 400 * time.Millisecond, MaxWaitStanding: 150 * time.Millisecond}
	refuses := func(ms int, wait time.Duration) bool {
		return b.ShouldRefuse(start.Add(time.Duration(ms)*time.Millisecond), "s", wait, limits)
	}
	refuses(0, 0)
	for ms := 100; ms <= 600; ms += 100 {
		if refuses(ms, time.Second) {
			t.Fatalf("refused after %d ms", ms)
		}
	}
	if refuses(700, 0) || refuses(1500, time.Second) {
		t.Error("a queue that drained counts as standing")
	}
	if !refuses(2300, time.Second) {
		t.Error("a queue of 1.6 s does not stand")
	}
}

// TestStandingQueueIsKeptShort answers a load above what the engines can do: once a
// queue stands, those who are taken are still served as they should be, until nobody
// was refused for as long as a queue may stand.
func TestStandingQueueIsKeptShort(t *testing.T) {
	b := balance.New()
	limits := balance.QueueLimits{MaxWait: 400 * time.Millisecond, MaxWaitStanding: 150 * time.Millisecond}
	for _, c := range []struct {
		ms   int
		wait time.Duration
		want bool
	}{
		{0, 0, false}, {500, 300 * time.Millisecond, false}, {600, 500 * time.Millisecond, false},
		{2100, 500 * time.Millisecond, true}, {2200, 300 * time.Millisecond, true}, {2300, 100 * time.Millisecond, false},
		{2400, 300 * time.Millisecond, true}, {4000, 100 * time.Millisecond, false}, {4100, 300 * time.Millisecond, false},
	} {
		if got := b.ShouldRefuse(start.Add(time.Duration(c.ms)*time.Millisecond), "s", c.wait, limits); got != c.want {
			t.Errorf("at %d ms, wait %v: refused %v", c.ms, c.wait, got)
		}
	}
}

// TestFreeSlotIsFound: with many engines only a few are compared, but a request
// does not wait at one while another has a free slot.
func TestFreeSlotIsFound(t *testing.T) {
	b := balance.New()
	b.SetServers(servers(20))
	random := rand.New(rand.NewPCG(1, 2))
	for _, s := range servers(20) {
		for range engines.Engine.Slots {
			if s.ID != "7" {
				b.Begin(start, s.ID, 800)
			}
		}
	}
	for range engines.Engine.Slots {
		s, _ := b.Choose(start, engines, nil, random.Float64)
		if s.ID != "7" || b.ExpectedWait(start, engines, s.ID) != 0 {
			t.Fatalf("server %s is chosen", s.ID)
		}
		b.Begin(start, s.ID, 800)
	}
	if s, _ := b.Choose(start, engines, nil, random.Float64); b.ExpectedWait(start, engines, s.ID) == 0 {
		t.Error("no wait though every slot is taken")
	}
}

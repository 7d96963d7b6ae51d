package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// TestStalledGroupGetsFewRequests plays one entry before two groups of 32 engines, of which one stops for
// 4 s because the instance of one rank is suspended: nothing is answered there, and nothing is refused.
// Of the requests of these 4 s, one in five may go there: those of the first half second, and the few
// that try the group again once no caller waits there any more.
func TestStalledGroupGetsFewRequests(t *testing.T) {
	const (
		tick         = 20 * time.Millisecond
		interval     = 160 * time.Millisecond // 6 requests a second, as of 280 at 46 entries
		stream       = 1400 * time.Millisecond
		patience     = 2 * time.Second // until the caller leaves
		stallBegin   = 4 * time.Second
		stallEnd     = 8 * time.Second
		end          = 11 * time.Second
		maxSentShare = 0.2
	)
	type request struct {
		id     string
		group  string
		sentAt time.Time
		left   time.Duration
	}
	b := balance.New(ratelimit.New(""))
	list := servers(64)
	for n := range list {
		list[n].Group = fmt.Sprint("g", n/32)
	}
	b.SetServers(list)
	random := rand.New(rand.NewPCG(3, 3))
	var inFlight []*request
	sent, sentToStalled, sentAfter := 0, 0, 0
	for elapsed := time.Duration(0); elapsed < end; elapsed += tick {
		now := start.Add(elapsed)
		stalled := elapsed >= stallBegin && elapsed < stallEnd
		kept := inFlight[:0]
		for _, r := range inFlight {
			if !stalled || r.group != "g0" {
				r.left -= tick
				b.Progress(now, r.id)
			}
			if r.left > 0 && (!stalled || now.Sub(r.sentAt) < patience) {
				kept = append(kept, r)
				continue
			}
			result := balance.Result{}
			if r.left <= 0 {
				result = balance.Result{Latency: 200 * time.Millisecond, Duration: stream}
			}
			b.End(now, r.id, 800, result)
		}
		inFlight = kept
		if elapsed%interval != 0 {
			continue
		}
		s, ok := b.Choose(now, engines, nil, random.Float64)
		if !ok {
			t.Fatal("no server is chosen")
		}
		b.Begin(now, s.ID, 800)
		inFlight = append(inFlight, &request{s.ID, s.Group, now, stream})
		switch {
		case stalled:
			sent++
			if s.Group == "g0" {
				sentToStalled++
			}
		case elapsed >= stallEnd+time.Second && s.Group == "g0":
			sentAfter++
		}
	}
	t.Logf("%d of %d requests went to the stalled group", sentToStalled, sent)
	if share := float64(sentToStalled) / float64(sent); share > maxSentShare {
		t.Errorf("%.2f of the requests went to the stalled group, want at most %.2f", share, maxSentShare)
	}
	if sentAfter < 3 {
		t.Errorf("%d requests went to the group after it went on, want some", sentAfter)
	}
}

// TestStalledGroupIsUsedIfThereIsNoOther checks that requests go to a group that sends nothing if no other
// one moves, and that one event makes a group usable again.
func TestStalledGroupIsUsedIfThereIsNoOther(t *testing.T) {
	b := balance.New(ratelimit.New(""))
	list := servers(4)
	for n := range list {
		list[n].Group = fmt.Sprint("g", n/2)
	}
	b.SetServers(list)
	groups := func(now time.Time) map[string]bool {
		random := rand.New(rand.NewPCG(1, 1))
		chosen := make(map[string]bool)
		for range 40 {
			s, ok := b.Choose(now, engines, nil, random.Float64)
			if !ok {
				t.Fatal("no server is chosen")
			}
			chosen[s.Group] = true
		}
		return chosen
	}
	for _, s := range list {
		b.Begin(start, s.ID, 800)
	}
	now := start.Add(time.Second)
	if chosen := groups(now); len(chosen) != 2 {
		t.Errorf("both groups are silent: chosen %v, want both", chosen)
	}
	b.Progress(now, list[0].ID)
	if chosen := groups(now); chosen["g1"] {
		t.Errorf("the second group is silent: chosen %v, want the first only", chosen)
	}
	b.Progress(now, list[3].ID)
	if chosen := groups(now); len(chosen) != 2 {
		t.Errorf("both groups have sent something: chosen %v, want both", chosen)
	}
	b.SetServers([]fleet.Server{list[0]})
	if chosen := groups(now.Add(time.Minute)); !chosen["g0"] {
		t.Errorf("one server is left: chosen %v, want it", chosen)
	}
}

// TestStreamingServerIsResponsive guards against avoiding a server whose responses to two requests of one entry
// have begun and continue: it sends something all the time.
func TestStreamingServerIsResponsive(t *testing.T) {
	b := balance.New(ratelimit.New(""))
	b.SetServers(servers(2))
	for _, id := range []string{"0", "0", "1"} {
		b.Begin(start, id, 800)
		b.ResponseStarted(start.Add(200*time.Millisecond), id, start)
	}
	for at := 300 * time.Millisecond; at <= 1900*time.Millisecond; at += 100 * time.Millisecond {
		now := start.Add(at)
		b.Progress(now, "0")
		b.Begin(now, "1", 800)
		b.ResponseStarted(now, "1", now)
		if b.Unresponsive(now, "0") {
			t.Fatalf("the server counts as unresponsive after %v although it sends events", at)
		}
	}
	b.Begin(start.Add(3100*time.Millisecond), "1", 800)
	b.ResponseStarted(start.Add(3100*time.Millisecond), "1", start.Add(3100*time.Millisecond))
	if !b.Unresponsive(start.Add(3200*time.Millisecond), "0") {
		t.Error("a server that stops sending must count as unresponsive while another responds")
	}
}

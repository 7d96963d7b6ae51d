package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func servers(n int) []fleet.Server {
	var out []fleet.Server
	for i := range n {
		out = append(out, fleet.Server{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprintf("h%d:1", i), Born: 1})
	}
	return out
}

var engines = &fleet.Service{Name: "s", Engine: &fleet.Engine{Slots: 12, UsualPrompt: 800, UsualAnswer: 140}}

var plain = &fleet.Service{Name: "s"}

// TestEntriesDoNotHerd answers a steady load of streams at nine entries that
// hear of each other 120 ms late: no engine gets more than its slots.
func TestEntriesDoNotHerd(t *testing.T) {
	const entries, perSecond, streamMS, steps = 9, 56, 1600, 20_000 / 10
	random := rand.New(rand.NewPCG(1, 1))
	balancers := make([]*balance.Balancer, entries)
	for i := range balancers {
		balancers[i] = balance.New()
		balancers[i].SetServers(servers(12))
	}
	type stream struct {
		entry  int
		server string
		ends   time.Time
	}
	var running []stream
	over, arrivals := 0, 0
	for step := range steps {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		kept := running[:0]
		for _, s := range running {
			if now.Before(s.ends) {
				kept = append(kept, s)
				continue
			}
			balancers[s.entry].End(now, s.server, 800, balance.Result{Latency: 200 * time.Millisecond})
		}
		running = kept
		if step%12 == 0 {
			for i, b := range balancers {
				for j, other := range balancers {
					if i != j {
						other.Heard(now, fmt.Sprint(i), b.Own())
					}
				}
			}
		}
		for random.Float64() < perSecond*0.01/(1+perSecond*0.01) {
			e := random.IntN(entries)
			s, ok := balancers[e].Choose(now, engines, nil, random.Float64)
			if !ok {
				t.Fatal("no server")
			}
			balancers[e].Begin(s.ID, 800)
			running = append(running, stream{e, s.ID, now.Add(streamMS * time.Millisecond)})
			arrivals++
			load := 0
			for _, r := range running {
				if r.server == s.ID {
					load++
				}
			}
			if load > 12 {
				over++
			}
		}
	}
	if over*200 > arrivals {
		t.Errorf("%d of %d streams came to an engine without a free slot", over, arrivals)
	}
}

// TestFailingServerIsAvoided answers a server that fails part of its requests
// with good health: it gets a small part of the load, and its share again later.
func TestFailingServerIsAvoided(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := balance.New()
	b.SetServers(servers(3))
	share := func(from time.Duration, failing bool) float64 {
		hits := 0
		for n := range 300 {
			now := start.Add(from + time.Duration(n)*20*time.Millisecond)
			s, _ := b.Choose(now, plain, nil, random.Float64)
			b.Begin(s.ID, 0)
			bad := s.ID == "0" && failing && random.Float64() < 0.5
			if s.ID == "0" {
				hits++
			}
			b.End(now, s.ID, 0, balance.Result{Latency: 60 * time.Millisecond, Failed: bad})
		}
		return float64(hits) / 300
	}
	if got := share(0, true); got > 0.12 {
		t.Errorf("a failing server gets %.2f of the load", got)
	}
	if got := share(time.Minute, false); got < 0.2 {
		t.Errorf("a mended server gets %.2f of the load", got)
	}
}

// TestSlowServerGetsLess answers a server that takes eight times as long.
func TestSlowServerGetsLess(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := balance.New()
	b.SetServers(servers(3))
	hits := 0
	for n := range 300 {
		now := start.Add(time.Duration(n) * 20 * time.Millisecond)
		s, _ := b.Choose(now, plain, nil, random.Float64)
		latency := 60 * time.Millisecond
		if s.ID == "0" {
			hits++
			latency *= 8
		}
		b.Begin(s.ID, 0)
		b.End(now, s.ID, 0, balance.Result{Latency: latency})
	}
	if hits > 45 {
		t.Errorf("a slow server gets %d of 300 requests", hits)
	}
}

// TestBrokenGroup: by report, by an answer, and by one probe at a time.
func TestBrokenGroup(t *testing.T) {
	b := balance.New()
	b.SetServers(servers(2))
	if b.Broken(start, "s") {
		t.Error("broken without a sign")
	}
	b.GroupFault(start, "s")
	if !b.Broken(start.Add(100*time.Millisecond), "s") {
		t.Error("an answer told that the group is broken")
	}
	probes := 0
	for n := range 100 {
		if !b.Broken(start.Add(time.Duration(n)*10*time.Millisecond), "s") {
			probes++
		}
	}
	if probes > 4 {
		t.Errorf("%d probes in a second", probes)
	}
	b.Group(start.Add(2*time.Second), "s", fleet.GroupOpen, nil)
	if b.Broken(start.Add(2*time.Second), "s") {
		t.Error("a later report says that it is open")
	}
	b.Group(start.Add(3*time.Second), "s", fleet.GroupBroken, nil)
	if !b.Broken(start.Add(3*time.Second), "s") {
		t.Error("a report says that it is broken")
	}
	if b.Broken(start.Add(10*time.Second), "s") {
		t.Error("an old report counts")
	}
}

package gossip_test

import (
	"fmt"
	"math"
	"net/netip"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/gossip"
)

func receivers(n, domains int) map[netip.AddrPort]string {
	out := make(map[netip.AddrPort]string)
	for i := range n {
		out[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)] = fmt.Sprint(i % domains)
	}
	return out
}

// TestFanOutIsBounded checks that each receiver gets one copy of a digest, and that no process sends
// more copies than the square root of the fleet allows.
func TestFanOutIsBounded(t *testing.T) {
	for _, test := range []struct{ receivers, domains, maxHops, maxRelay int }{
		{0, 1, 0, 0},
		{9, 3, 9, 0},
		{12, 3, 12, 0},
		{13, 3, 7, 3},
		{46, 3, 10, 6},
		{149, 5, 18, 12},
		{300, 5, 23, 17},
		{1000, 16, 48, 31},
		{1000, 1, 32, 31},
	} {
		all := receivers(test.receivers, test.domains)
		copies := make(map[netip.AddrPort]int)
		hops := gossip.FanOut(all)
		for _, hop := range hops {
			copies[hop.To]++
			if len(hop.Relay) > test.maxRelay {
				t.Errorf("%d receivers: one of them passes the digest on to %d others, want at most %d", test.receivers, len(hop.Relay), test.maxRelay)
			}
			for _, to := range hop.Relay {
				copies[to]++
				if all[to] != all[hop.To] {
					t.Errorf("%d receivers: passed on from failure domain %s to %s", test.receivers, all[hop.To], all[to])
				}
			}
		}
		if len(hops) > test.maxHops {
			t.Errorf("%d receivers: the planner sends %d copies, want at most %d", test.receivers, len(hops), test.maxHops)
		}
		for to := range all {
			if copies[to] != 1 {
				t.Errorf("%d receivers: %v gets %d copies, want 1", test.receivers, to, copies[to])
			}
		}
	}
}

// TestDigestsReachEntriesPastFailedOnes plays rounds in which one in ten entries passes nothing on, and guards against
// entries that miss the same digests again and again. With one in ten failed in each failure domain, a run of more than
// maxMissed digests has a chance of 1 in 10 million in each round; where the failed ones are drawn at random, a domain
// can have more of them, and the chance follows from their number, since rounds are independent.
func TestDigestsReachEntriesPastFailedOnes(t *testing.T) {
	const rounds, maxMissed = 3000, 6
	all := receivers(149, 5)
	members := make(map[string][]netip.AddrPort)
	for to, domain := range all {
		members[domain] = append(members[domain], to)
	}
	even, drawn := make(map[netip.AddrPort]bool), make(map[netip.AddrPort]bool)
	for _, list := range members {
		for _, to := range list[:len(list)/10] {
			even[to] = true
		}
	}
	for to := range all {
		if len(drawn) < len(all)/10 {
			drawn[to] = true
		}
	}
	evenChance := func(string) float64 { return math.Pow(0.1, maxMissed+1) }
	drawnChance := func(domain string) float64 {
		failed := 0
		for _, to := range members[domain] {
			if drawn[to] {
				failed++
			}
		}
		// An entry misses a digest if another member of its part gets the part's copy and has failed.
		return math.Pow(float64(failed)/float64(len(members[domain])-1), maxMissed+1)
	}
	for name, c := range map[string]struct {
		failed map[netip.AddrPort]bool
		chance func(domain string) float64
	}{"evenly": {even, evenChance}, "at random": {drawn, drawnChance}} {
		expected := 0.0
		for to, domain := range all {
			if !c.failed[to] {
				expected += rounds * c.chance(domain)
			}
		}
		runs := 0
		missed := make(map[netip.AddrPort]int)
		for range rounds {
			for to := range all {
				missed[to]++
			}
			for _, hop := range gossip.FanOut(all) {
				if c.failed[hop.To] {
					continue
				}
				missed[hop.To] = 0
				for _, to := range hop.Relay {
					missed[to] = 0
				}
			}
			for to, n := range missed {
				if n == maxMissed+1 && !c.failed[to] {
					runs++
				}
			}
		}
		if allowed := poissonBound(expected); runs > allowed {
			t.Errorf("failed entries drawn %s: %d runs of more than %d missed digests, want at most %d with %.3g expected", name, runs, maxMissed, allowed, expected)
		}
	}
}

// poissonBound returns the number that a Poisson variable exceeds with a chance of less than 1 in 1000 million. It
// leaves room for members of one part, which miss a digest together.
func poissonBound(mean float64) int {
	term := math.Exp(-mean)
	n, below := 0, term
	for 1-below > 1e-9 {
		n++
		term *= mean / float64(n)
		below += term
	}
	return n
}

// TestDigestBytes bounds the bytes that a planner sends for one digest: half of its link in a round of
// 0.2 s, of which digests may take two thirds, statuses and orders the rest.
func TestDigestBytes(t *testing.T) {
	for _, c := range []struct{ ranks, entries, linkBitsPerSecond int }{
		{8, 9, 20e6},
		{32, 46, 8e6},
		{63, 35, 8e6},
		{129, 149, 6e6},
	} {
		digest := gossip.Digest{Service: "assistant", Group: "assistant-0", PeerAddress: "10.10.10.10:7000", State: fleet.GroupOpen, Epoch: 3}
		for r := range c.ranks {
			digest.Ranks = append(digest.Ranks, gossip.RankState{
				Address: gossip.Address(fmt.Sprintf("10.10.20.%d:8080", r)), Incarnation: math.MaxInt32 + int64(r), Running: 6, Waiting: 2, Slowdown: 1.25,
			})
		}
		total := 0
		for _, hop := range gossip.FanOut(receivers(c.entries, 5)) {
			digest.Relay = hop.Relay
			data, err := gossip.Encode(gossip.Message{Digest: &digest})
			if err != nil {
				t.Fatal(err)
			}
			total += len(data)
		}
		maxBytes := c.linkBitsPerSecond / 8 / 2 / 5 * 2 / 3
		t.Logf("%d bytes for a digest of %d ranks to %d entries, of %d allowed", total, c.ranks, c.entries, maxBytes)
		if total > maxBytes {
			t.Errorf("a digest of %d ranks to %d entries takes %d bytes of the planner's link, want at most %d", c.ranks, c.entries, total, maxBytes)
		}
	}
}

// TestAddressesAreKept checks that addresses are the same after a message, whatever their form.
func TestAddressesAreKept(t *testing.T) {
	for _, address := range []gossip.Address{"10.0.0.1:80", "[::1]:80", "[fe80::1%eth0]:80", "engine-1.local:80", "abcd:1", "010.0.0.1:80", "::ffff:1.2.3.4:80", ""} {
		data, err := gossip.Encode(gossip.Message{Digest: &gossip.Digest{Ranks: []gossip.RankState{{Address: address}}}})
		if err != nil {
			t.Fatal(err)
		}
		m, err := gossip.Decode(data)
		if err != nil || m.Digest.Ranks[0].Address != address {
			t.Errorf("%q became %+v, %v", address, m.Digest, err)
		}
	}
}

// FuzzDecode checks that no datagram makes the decoder panic, and that what it accepts can be sent.
func FuzzDecode(f *testing.F) {
	for _, m := range []gossip.Message{
		{},
		{Entry: &gossip.EntryState{Name: "a", Sequence: -1, NextOffsets: map[string]int64{"servers": 4}}},
		{Digest: &gossip.Digest{Ranks: []gossip.RankState{{Address: "10.0.0.1:1"}}, Relay: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}}},
	} {
		data, err := gossip.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := gossip.Decode(data)
		if err != nil {
			return
		}
		if _, err := gossip.Encode(m); err != nil {
			t.Errorf("a decoded message cannot be encoded: %v", err)
		}
	})
}

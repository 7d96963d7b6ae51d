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

// TestDigestsReachEntriesPastFailedOnes plays rounds in which one in ten entries passes nothing on:
// no other entry misses more than a few digests in a row.
func TestDigestsReachEntriesPastFailedOnes(t *testing.T) {
	const rounds, maxMissed = 200, 6 // with independent rounds, a run of 7 has a chance of 1 in 10 million
	all := receivers(149, 5)
	failed := make(map[netip.AddrPort]bool)
	for to := range all {
		if len(failed) < len(all)/10 {
			failed[to] = true
		}
	}
	missed := make(map[netip.AddrPort]int)
	for range rounds {
		for to := range all {
			missed[to]++
		}
		for _, hop := range gossip.FanOut(all) {
			if failed[hop.To] {
				continue
			}
			missed[hop.To] = 0
			for _, to := range hop.Relay {
				missed[to] = 0
			}
		}
		for to, n := range missed {
			if n > maxMissed && !failed[to] {
				t.Fatalf("%v missed %d digests in a row", to, n)
			}
		}
	}
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

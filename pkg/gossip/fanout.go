package gossip

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
)

const (
	// maxDirectReceivers is the number of receivers up to which a digest is sent to each of them
	// directly.
	maxDirectReceivers = 12
	// MaxRelay bounds the receivers to which one entry passes a digest on. It suffices for
	// MaxRelay*MaxRelay receivers.
	MaxRelay = 64
)

// Hop is one copy of a digest that the planner sends: its receiver, and the receivers to which that
// one passes it on.
type Hop struct {
	To    netip.AddrPort
	Relay []netip.AddrPort
}

// FanOut splits the receivers of a digest, given with their failure domains, so that the planner and
// each entry send about as many copies as the square root of the number of receivers. A copy is
// passed on within one failure domain only, because bytes between failure domains cost more. The
// choice is random and independent each time: an entry that does not pass a digest on costs others
// this digest, and they receive the next one by another way.
func FanOut(receivers map[netip.AddrPort]string) []Hop {
	if len(receivers) <= maxDirectReceivers {
		hops := make([]Hop, 0, len(receivers))
		for to := range receivers {
			hops = append(hops, Hop{To: to})
		}
		return hops
	}
	byDomain := make(map[string][]netip.AddrPort)
	for to, domain := range receivers {
		byDomain[domain] = append(byDomain[domain], to)
	}
	size := min(int(math.Ceil(math.Sqrt(float64(len(receivers))))), MaxRelay)
	var hops []Hop
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		members := byDomain[domain]
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for chunk := range slices.Chunk(members, size) {
			hops = append(hops, Hop{To: chunk[0], Relay: chunk[1:]})
		}
	}
	return hops
}

package gateway

import (
	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/directory"
	"github.com/fescuehub/fescuehub/pkg/gossip"
)

// tell sends this entry's state to the other entries. It returns the time until
// the next message: it grows with the fleet, so that each entry's messages to all
// others together come at the same rate.
func (g *Gateway) tell() time.Duration {
	now := time.Now()
	loads, counts, next := g.balancer.OwnLoads(), g.budget.Snapshot(now), g.progress()
	g.mu.Lock()
	g.sequence++
	state := &gossip.EntryState{
		Name: g.settings.Name, Incarnation: g.incarnation, Sequence: g.sequence,
		CallerAddress: g.settings.CallerAddress, FailureDomain: g.settings.FailureDomain,
		Ready: g.directory.Ready(), InFlight: loads, Budget: counts, LogReachable: g.reads, NextOffsets: next,
	}
	to := make([]netip.AddrPort, 0, len(g.known))
	for _, address := range g.known {
		to = append(to, address)
	}
	for name := range g.known {
		if !g.directory.Live(now, name) {
			g.budget.RemoveEntry(name)
		}
	}
	if len(to) >= smallFleet {
		state.InFlight = nil // planners tell the engines' load
	}
	g.refreshServers(now)
	g.mu.Unlock()
	g.socket.Send(gossip.Message{Entry: state}, to...)
	return time.Duration(max(len(to), smallFleet)) * tellPause / smallFleet
}

// subscribe asks each service's planner for digests. Where none is known, some
// agents beside engines are asked for it.
func (g *Gateway) subscribe() {
	table := g.table.Load()
	if table == nil {
		return
	}
	now := time.Now()
	agents := make(map[string][]netip.AddrPort)
	g.mu.Lock()
	for _, s := range g.servers {
		if service, ok := table.Service(s.Service); !ok || service.Engine == nil {
			continue
		}
		if address, ok := peerAddress(s.Address, g.settings.PeerPort); ok {
			agents[s.Service] = append(agents[s.Service], address)
		}
	}
	var to []netip.AddrPort
	for service, list := range agents {
		if p, ok := g.planners[service]; ok && now.Sub(p.heard) < digestSilence {
			to = append(to, p.peer)
			continue
		}
		for range askedAgents {
			to = append(to, list[rand.IntN(len(list))])
		}
	}
	g.mu.Unlock()
	g.socket.Send(gossip.Message{Subscribe: &gossip.Subscription{Entry: g.settings.Name}}, to...)
}

// planner is where a service's planner is.
type planner struct {
	peer netip.AddrPort
	// heard is when it was last heard of.
	heard time.Time
}

// setPlanner notes a service's planner.
func (g *Gateway) setPlanner(now time.Time, service, peer string) {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		g.log.Warn("skipped a planner's address", zap.String("service", service), zap.String("peer", peer), telemetry.Err(err))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.planners[service].peer != address {
		g.log.Info("heard of a planner", zap.String("service", service), zap.Stringer("peer", address))
	}
	g.planners[service] = planner{address, now}
}

func (g *Gateway) plannerOf(service string) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.planners[service].peer
}

func (g *Gateway) takeDigest(now time.Time, d *gossip.Digest) {
	g.setPlanner(now, d.Service, d.PeerAddress)
	engines := make([]balance.EngineLoad, len(d.Ranks))
	for i, r := range d.Ranks {
		engines[i] = balance.EngineLoad{Address: r.Address, Incarnation: r.Born, Running: r.Running, Waiting: r.Waiting, Slowdown: r.Pace}
	}
	g.balancer.UpdateGroup(now, d.Service, d.Group, d.State, engines)
}

// peerAddress returns the peer port of the agent beside a backend server.
func peerAddress(backend string, port int) (netip.AddrPort, bool) {
	host, _, err := net.SplitHostPort(backend)
	if err != nil {
		return netip.AddrPort{}, false
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip, uint16(port)), true
}

func (g *Gateway) takeMessage(from netip.AddrPort, m gossip.Message) {
	now := time.Now()
	switch {
	case m.Entry != nil && m.Entry.Name != g.settings.Name:
		g.takeEntry(now, from, m.Entry)
	case m.Planner != nil:
		g.setPlanner(now, m.Planner.Service, m.Planner.PeerAddress)
		g.socket.Send(gossip.Message{Subscribe: &gossip.Subscription{Entry: g.settings.Name}}, g.plannerOf(m.Planner.Service))
	case m.Digest != nil:
		g.takeDigest(now, m.Digest)
	}
}

func (g *Gateway) takeEntry(now time.Time, from netip.AddrPort, e *gossip.EntryState) {
	g.mu.Lock()
	first := g.directory.Update(now, directory.Entry{
		Name: e.Name, Address: e.CallerAddress, Incarnation: e.Incarnation, Sequence: e.Sequence, Ready: e.Ready, LogReachable: e.LogReachable,
	})
	g.known[e.Name] = from
	g.mu.Unlock()
	if first {
		g.log.Info("heard of another entry", zap.String("entry", e.Name), zap.Stringer("from", from))
	}
	g.hearProgress(e.NextOffsets)
	g.balancer.SetEntryLoads(now, e.Name, e.InFlight)
	g.budget.SetEntryCounts(e.Name, e.Budget)
}

package gateway

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/directory"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// sendState sends this entry's state to the other entries and returns the time until the next
// message. The time grows with the fleet, so that the total rate of an entry's messages stays
// constant.
func (g *Gateway) sendState() time.Duration {
	now := time.Now()
	offsets, timelines := g.progress()
	g.mu.Lock()
	g.sequence++
	// An entry that drains is replaced as a log reader before it ends.
	reachable := g.logReachable() && !g.drain.draining()
	reads := g.serversRead && !g.drain.draining() && g.directory.IsLogReader(now, logReaders)
	state := &gossip.EntryState{
		Name: g.settings.Name, Incarnation: g.incarnation, Sequence: g.sequence,
		CallerAddress: g.settings.CallerAddress, FailureDomain: g.settings.FailureDomain,
		Ready: g.directory.Ready(), LogReachable: reachable, ReadsLog: reads, NextOffsets: offsets, Timelines: timelines,
		Urgent: g.urgentTopics(now),
	}
	to := make([]netip.AddrPort, 0, len(g.peerAddresses))
	for _, address := range g.peerAddresses {
		to = append(to, address)
	}
	g.refreshServers(now)
	socket := g.socket
	g.mu.Unlock()
	for _, part := range g.sharedStates() {
		part.collect(now, state)
	}
	g.recordRateLimitUsage()
	g.recordColdServers(now)
	g.recordPredictions()
	if socket != nil {
		socket.Send(gossip.Message{Entry: state}, to...)
	}
	if reads {
		return min(stateInterval(len(to)), readerStateInterval)
	}
	return stateInterval(len(to))
}

// stateInterval returns the time between two state messages to a number of other entries.
func stateInterval(others int) time.Duration {
	return time.Duration(max(others, smallFleetEntries)) * gossipInterval / smallFleetEntries
}

// sampleLeaving returns at most gossip.MaxLeaving of the leaving servers, chosen at random, so that
// successive messages carry all of them.
func sampleLeaving(leaving map[string]int64) map[string]int64 {
	for id := range leaving { // the order of a map is random
		if len(leaving) <= gossip.MaxLeaving {
			break
		}
		delete(leaving, id)
	}
	return leaving
}

// subscribe renews the digest subscription at each service's planner. Where no planner is
// known, it subscribes at random agents on the hosts of engines, which answer with the planner's
// address. It returns the time until the next subscription.
func (g *Gateway) subscribe() time.Duration {
	table := g.table.Load()
	if table == nil {
		return firstSubscribeInterval
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
	to := make(map[string][]netip.AddrPort)
	for service, list := range agents {
		if p, ok := g.planners[service]; ok && now.Sub(p.lastConfirmed) < plannerTimeout {
			to[service] = append(to[service], p.peer)
			continue
		}
		for range agentsPerQuery {
			to[service] = append(to[service], list[rand.IntN(len(list))])
		}
	}
	g.mu.Unlock()
	for service, agents := range to {
		g.socket.Send(gossip.Message{Subscribe: g.subscription(now, service)}, agents...)
	}
	if len(to) == 0 {
		return firstSubscribeInterval
	}
	return subscribeInterval
}

// subscription returns the subscription for the digests of a service.
func (g *Gateway) subscription(now time.Time, service string) *gossip.Subscription {
	s := &gossip.Subscription{Entry: g.settings.Name, FailureDomain: g.settings.FailureDomain}
	table := g.table.Load()
	if table == nil || g.digests.plannerHasEngine(now.Add(-plannerTimeout), service, table.Version) {
		return s
	}
	if configured, ok := table.Service(service); ok && configured.Engine != nil {
		s.Engine = &gossip.EngineConfiguration{Service: service, Version: table.Version, Engine: *configured.Engine}
	}
	return s
}

// planner is the last known planner of a service.
type planner struct {
	peer netip.AddrPort
	// lastConfirmed is when an agent or the planner itself last sent its address.
	lastConfirmed time.Time
}

// setPlanner records the address of a service's planner.
func (g *Gateway) setPlanner(now time.Time, service, peer string) {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		g.log.Warn("skipped a planner: its peer address cannot be parsed", zap.String("service", service), zap.String("peer", peer), telemetry.Err(err))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.planners[service].peer != address {
		g.log.Info("planner discovered", zap.String("service", service), zap.Stringer("peer", address))
	}
	g.planners[service] = planner{address, now}
}

func (g *Gateway) plannerAddress(service string) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.planners[service].peer
}

// relayDigest passes a digest on to the entries that it names, as far as this entry knows them.
func (g *Gateway) relayDigest(d *gossip.Digest) {
	if len(d.Relay) == 0 {
		return
	}
	named := d.Relay[:min(len(d.Relay), gossip.MaxRelay)]
	var to []netip.AddrPort
	g.mu.Lock()
	for _, address := range g.peerAddresses {
		if slices.Contains(named, address) {
			to = append(to, address)
		}
	}
	g.mu.Unlock()
	relayed := *d
	relayed.Relay = nil
	g.socket.Send(gossip.Message{Digest: &relayed}, to...)
}

// handleDigest passes the engine loads of a planner's digest to the balancer. Digests that are passed
// on take several ways, so that an older one may arrive after a newer one: it is skipped.
func (g *Gateway) handleDigest(now time.Time, d *gossip.Digest) {
	g.setPlanner(now, d.Service, d.PeerAddress)
	if !g.digests.isNewer(now, d) {
		return
	}
	age := time.Duration(d.AgeMS) * time.Millisecond
	engines := make([]balance.EngineLoad, len(d.Ranks))
	for i, r := range d.Ranks {
		engines[i] = balance.EngineLoad{Address: string(r.Address), Incarnation: r.Incarnation, Running: r.Running, Waiting: r.Waiting, Age: age, Slowdown: r.Slowdown}
	}
	g.balancer.UpdateGroup(now, d.Service, d.Group, d.State, engines)
}

// peerAddress returns the peer port address of the agent on the host of a backend server. It reports
// false if the host is not an IP address.
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

func (g *Gateway) handleMessage(from netip.AddrPort, m gossip.Message) {
	now := time.Now()
	switch {
	case m.Entry != nil && m.Entry.Name != g.settings.Name:
		g.handleEntryState(now, from, m.Entry)
	case m.Planner != nil:
		g.setPlanner(now, m.Planner.Service, m.Planner.PeerAddress)
		g.socket.Send(gossip.Message{Subscribe: g.subscription(now, m.Planner.Service)}, g.plannerAddress(m.Planner.Service))
	case m.Prompts != nil:
		g.prompts.Merge(now, *m.Prompts)
	case m.RateLimits != nil:
		g.handleRateLimits(now, from, m.RateLimits)
	case m.Digest != nil:
		g.relayDigest(m.Digest)
		g.handleDigest(now, m.Digest)
	}
}

const (
	// maxPeers bounds the entries that are known, several times the size of the largest fleets, and maxPeerTextBytes
	// the length of a text in their messages that is kept.
	maxPeers         = 1024
	maxPeerTextBytes = 256
)

// plausible reports whether the texts of an entry's state that are kept are as short as those of an entry.
func plausible(e *gossip.EntryState) bool {
	return max(len(e.Name), len(e.Incarnation), len(e.CallerAddress), len(e.FailureDomain)) <= maxPeerTextBytes
}

// handleEntryState merges the state that another entry has sent.
func (g *Gateway) handleEntryState(now time.Time, from netip.AddrPort, e *gossip.EntryState) {
	if !plausible(e) {
		g.scope.Counter("peer_messages_refused").Inc(1)
		return
	}
	g.mu.Lock()
	if g.peerAddresses[e.Name] == (netip.AddrPort{}) && len(g.peerAddresses) >= maxPeers {
		g.mu.Unlock()
		g.scope.Counter("peer_messages_refused").Inc(1)
		return
	}
	g.cold.Hear(now, e.Name)
	change := g.directory.Update(now, directory.Entry{
		Name: e.Name, Address: e.CallerAddress, Incarnation: e.Incarnation, Sequence: e.Sequence, FailureDomain: e.FailureDomain,
		Ready: e.Ready, LogReachable: e.LogReachable, ReadsLog: e.ReadsLog,
	})
	g.peerAddresses[e.Name] = from
	g.mu.Unlock()
	if change.LostLog {
		g.recheckReaders()
	}
	if change.Started {
		g.log.Info("entry discovered", zap.String("entry", e.Name), zap.Stringer("from", from))
	}
	g.observeProgress(e.NextOffsets, e.Timelines, e.Urgent)
	for _, part := range g.sharedStates() {
		part.merge(now, e)
	}
	if change.Started {
		g.tellRateLimits(now, from)
	}
}

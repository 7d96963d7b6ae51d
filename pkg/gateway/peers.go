package gateway

import (
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/directory"
	"github.com/fescuehub/fescuehub/pkg/gossip"
)

// tell sends this entry's state to the other entries.
func (g *Gateway) tell() {
	now := time.Now()
	loads, counts, next := g.balancer.Own(), g.budget.Share(now), g.progress()
	g.mu.Lock()
	g.sequence++
	state := &gossip.EntryState{
		Name: g.settings.Name, Incarnation: g.incarnation, Sequence: g.sequence,
		CallerAddress: g.settings.CallerAddress, FailureDomain: g.settings.FailureDomain,
		Ready: g.directory.Ready(), InFlight: loads, Budget: counts, Reads: g.reads, Next: next,
	}
	to := make([]netip.AddrPort, 0, len(g.known))
	for _, address := range g.known {
		to = append(to, address)
	}
	for name := range g.known {
		if !g.directory.Live(now, name) {
			g.budget.Drop(name)
		}
	}
	g.refreshServers(now)
	g.mu.Unlock()
	g.socket.Send(gossip.Message{Entry: state}, to...)
}

// subscribe asks the agents beside engines for reports.
func (g *Gateway) subscribe() {
	table := g.table.Load()
	if table == nil {
		return
	}
	var to []netip.AddrPort
	g.mu.Lock()
	for _, s := range g.servers {
		if service, ok := table.Service(s.Service); !ok || service.Engine == nil {
			continue
		}
		if address, ok := peerAddress(s.Address, g.settings.PeerPort); ok {
			to = append(to, address)
		}
	}
	g.mu.Unlock()
	g.socket.Send(gossip.Message{Subscribe: &gossip.Subscription{Entry: g.settings.Name}}, to...)
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
	case m.Rank != nil:
		g.balancer.Report(now, m.Rank.Address, m.Rank.Report)
	}
}

func (g *Gateway) takeEntry(now time.Time, from netip.AddrPort, e *gossip.EntryState) {
	g.mu.Lock()
	first := g.directory.Heard(now, directory.Entry{
		Name: e.Name, Address: e.CallerAddress, Incarnation: e.Incarnation, Sequence: e.Sequence, Ready: e.Ready, Reads: e.Reads,
	})
	g.known[e.Name] = from
	g.mu.Unlock()
	if first {
		g.log.Info("heard of another entry", zap.String("entry", e.Name), zap.Stringer("from", from))
	}
	g.hearProgress(e.Next)
	g.balancer.Heard(now, e.Name, e.InFlight)
	g.budget.Heard(e.Name, e.Budget)
}

package gateway

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/relay"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// operatorsSink applies the configurations and the evacuations that operators have published.
type operatorsSink Gateway

// Apply implements follow.Sink. It ignores a configuration whose version is not higher than the
// current one.
func (s *operatorsSink) Apply(r sharedlog.Record) {
	g := (*Gateway)(s)
	if g.applyEvacuation(r) {
		return
	}
	c, ok, err := g.codec.DecodeConfiguration(r.Key, r.Value)
	if err != nil {
		g.log.Error("skipped a configuration: failed to decode its record", zap.Int64("offset", r.Offset), telemetry.Err(err))
		return
	}
	current := g.table.Load()
	if !ok || current != nil && c.Version <= current.Version {
		return
	}
	g.table.Store(fleet.NewTable(c))
	g.cold.SetServices(c.Services)
	g.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int64("offset", r.Offset),
		zap.Int("routes", len(c.Routes)), zap.Int("services", len(c.Services)))
	g.topics[sharedlog.Operators].markChanged()
	g.updateReady()
}

// Restored implements follow.Sink. The current configuration stays in force if the restored log
// contains an earlier one. This entry's record may be gone from the restored log.
func (s *operatorsSink) Restored() {
	g := (*Gateway)(s)
	g.mu.Lock()
	g.evacuations.Restored()
	g.mu.Unlock()
	g.republishRecord()
}

// BeginSnapshot implements follow.Sink.
func (s *operatorsSink) BeginSnapshot(end sharedlog.Position) {
	g := (*Gateway)(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evacuations.BeginSnapshot(end)
}

// EndSnapshot implements follow.Sink. This entry accepts callers only after it: the evacuations stand after
// the configuration.
func (s *operatorsSink) EndSnapshot() {
	g := (*Gateway)(s)
	g.mu.Lock()
	if g.applyEvacuationChanges(g.evacuations.EndSnapshot()) {
		g.topics[sharedlog.Operators].markChanged()
	}
	g.operatorsRead.Store(true)
	g.mu.Unlock()
	g.setReadable(sharedlog.Operators, true)
	g.updateReady()
}

// ReadFailed implements follow.Sink. The current configuration stays in force.
func (s *operatorsSink) ReadFailed(error) { (*Gateway)(s).setReadable(sharedlog.Operators, false) }

// ReadRecovered implements follow.Sink.
func (s *operatorsSink) ReadRecovered() { (*Gateway)(s).setReadable(sharedlog.Operators, true) }

// serversSink applies the announcements of backend servers to the roster.
type serversSink Gateway

// Apply implements follow.Sink.
func (s *serversSink) Apply(r sharedlog.Record) {
	g := (*Gateway)(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(r.Value) == 0 {
		g.roster.Remove(time.Now(), r.Key)
	} else if announced, err := g.codec.DecodeServer(r.Key, r.Value); err != nil {
		g.log.Warn("skipped an announcement", zap.String("server", r.Key), zap.Int64("offset", r.Offset), telemetry.Err(err))
		g.roster.Unreadable(r.Key)
	} else if now := time.Now(); announced.Draining && g.serversRead && g.roster.AnnounceDraining(r.Key, announced.Incarnation, announced.Sequence) {
		g.drains.add(now, r.Key, gossip.Drain{Incarnation: announced.Incarnation, Sequence: announced.Sequence})
		g.topics[sharedlog.Servers].markDrainFound()
		g.refreshServers(now)
		g.roster.Announce(announced)
	} else {
		g.roster.Announce(announced)
		g.cold.Announce(time.Now(), announced)
	}
	if g.serversRead && g.refreshServers(time.Now()) {
		g.topics[sharedlog.Servers].markChanged()
	}
}

// Restored implements follow.Sink.
func (s *serversSink) Restored() {
	g := (*Gateway)(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.LogRestored(time.Now())
}

// BeginSnapshot implements follow.Sink.
func (s *serversSink) BeginSnapshot(sharedlog.Position) {
	g := (*Gateway)(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.BeginSnapshot()
}

// EndSnapshot implements follow.Sink.
func (s *serversSink) EndSnapshot() {
	g := (*Gateway)(s)
	g.mu.Lock()
	g.roster.CompleteSnapshot(time.Now())
	g.serversRead = true
	if g.refreshServers(time.Now()) {
		g.topics[sharedlog.Servers].markChanged()
	}
	g.warnUnknownDomains()
	g.mu.Unlock()
	g.setReadable(sharedlog.Servers, true)
	g.updateReady()
}

// ReadFailed implements follow.Sink.
func (s *serversSink) ReadFailed(error) {
	g := (*Gateway)(s)
	g.mu.Lock()
	g.roster.LogLost()
	g.mu.Unlock()
	g.setReadable(sharedlog.Servers, false)
}

// ReadRecovered implements follow.Sink.
func (s *serversSink) ReadRecovered() {
	g := (*Gateway)(s)
	g.mu.Lock()
	g.roster.LogRegained(time.Now())
	g.mu.Unlock()
	g.setReadable(sharedlog.Servers, true)
}

// refreshServers passes the usable servers to the balancer and logs those that changed. It reports whether
// servers are not usable any more. The caller holds mu.
func (g *Gateway) refreshServers(now time.Time) (removed bool) {
	usable := g.roster.Usable(now)
	current := make(map[string]fleet.Server, len(usable))
	for _, s := range usable {
		current[s.ID] = s
	}
	for id, old := range g.servers {
		if s, ok := current[id]; !ok || s.Incarnation != old.Incarnation {
			g.log.Info("backend server removed from the usable servers", zap.String("server", id), zap.String("service", old.Service))
			g.pools.CloseServer(id)
			removed = true
		}
	}
	for id, s := range current {
		if old, ok := g.servers[id]; !ok || s.Incarnation != old.Incarnation {
			g.log.Info("backend server added to the usable servers", zap.String("server", id), zap.String("service", s.Service), zap.String("address", s.Address), zap.String("group", s.Group), zap.Int("rank", s.Rank))
		}
	}
	g.servers = current
	g.balancer.SetServers(usable)
	return removed
}

// Misdirected implements relay.ServerObserver. It stops using a server after another server has
// answered at its address.
func (g *Gateway) Misdirected(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.MarkMisdirected(server)
	g.refreshServers(time.Now())
}

// Leaving implements relay.ServerObserver. It stops using a server that has said that it is leaving.
func (g *Gateway) Leaving(server string, incarnation int64) {
	g.markLeaving(map[string]int64{server: incarnation}, "response")
}

// markLeaving stops using servers that are leaving, which are given with their incarnations. source
// says who reported it.
func (g *Gateway) markLeaving(servers map[string]int64, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for id, incarnation := range servers {
		if g.roster.MarkLeaving(id, incarnation) {
			changed = true
			g.log.Info("backend server is leaving", zap.String("server", id), zap.Int64("incarnation", incarnation), zap.String("reportedBy", source))
		}
	}
	if changed {
		g.refreshServers(time.Now())
	}
}

// RetryAfterIgnored implements relay.ServerObserver.
func (g *Gateway) RetryAfterIgnored(server, value string) {
	if g.malformed.add(value) {
		g.log.Warn("ignored a malformed or excessive Retry-After of a backend server: want seconds", zap.String("server", server),
			zap.String("value", value), zap.Duration("max", relay.MaxServerPause))
	}
}

// entriesSink collects the peer addresses of the other entries.
type entriesSink Gateway

// Apply implements follow.Sink.
func (s *entriesSink) Apply(r sharedlog.Record) {
	g := (*Gateway)(s)
	if r.Key == g.settings.Name || len(r.Value) == 0 || g.restoreQuarantine(r) {
		return
	}
	var record entryRecord
	err := json.Unmarshal(r.Value, &record)
	peer, parseErr := netip.ParseAddrPort(record.Peer)
	if err != nil || parseErr != nil {
		g.log.Warn("skipped an entry's record: it cannot be decoded or has no valid peer address", zap.String("entry", r.Key), zap.Int64("offset", r.Offset), telemetry.Err(err), zap.NamedError("addressError", parseErr))
		return
	}
	g.cold.Hear(time.Now(), r.Key)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peerAddresses[r.Key] = peer
}

// Restored implements follow.Sink. Entries that the restored log lacks stay known, and the parts in
// quarantine are written again.
func (s *entriesSink) Restored() {
	g := (*Gateway)(s)
	g.republishRecord()
	for _, part := range g.prompts.States(time.Now()) {
		g.keepQuarantine(part, false)
	}
}

// BeginSnapshot implements follow.Sink.
func (s *entriesSink) BeginSnapshot(sharedlog.Position) {}

// EndSnapshot implements follow.Sink.
func (s *entriesSink) EndSnapshot() { s.cold.EntriesRead(time.Now()) }

// ReadFailed implements follow.Sink.
func (s *entriesSink) ReadFailed(error) {}

// ReadRecovered implements follow.Sink.
func (s *entriesSink) ReadRecovered() {}

func portText(port int) string { return strconv.Itoa(port) }

package gateway

import (
	"encoding/json"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

// operatorsSink takes what the operators have accepted.
type operatorsSink Gateway

// Apply implements follow.Sink. A version never goes back within one start.
func (s *operatorsSink) Apply(r sharedlog.Record) {
	g := (*Gateway)(s)
	c, ok, err := g.dialect.DecodeConfiguration(r.Key, r.Value)
	if err != nil {
		g.log.Error("skipped a configuration that cannot be read", zap.Int64("offset", r.Offset), telemetry.Err(err))
		return
	}
	present := g.table.Load()
	if !ok || present != nil && c.Version <= present.Version {
		return
	}
	g.table.Store(fleet.NewTable(c))
	g.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int64("offset", r.Offset),
		zap.Int("routes", len(c.Routes)), zap.Int("services", len(c.Services)))
	g.updateReady()
}

// BeginSnapshot implements follow.Sink.
func (s *operatorsSink) BeginSnapshot() {}

// EndSnapshot implements follow.Sink.
func (s *operatorsSink) EndSnapshot() { (*Gateway)(s).setReads(true) }

// ReadFailed implements follow.Sink: what is in force stays.
func (s *operatorsSink) ReadFailed(error) { (*Gateway)(s).setReads(false) }

// ReadRecovered implements follow.Sink.
func (s *operatorsSink) ReadRecovered() { (*Gateway)(s).setReads(true) }

// serversSink takes the announcements of backend servers.
type serversSink Gateway

// Apply implements follow.Sink.
func (s *serversSink) Apply(r sharedlog.Record) {
	g := (*Gateway)(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(r.Value) == 0 {
		g.roster.Remove(time.Now(), r.Key)
	} else if announced, err := g.dialect.DecodeServer(r.Key, r.Value); err != nil {
		g.log.Warn("skipped an announcement", zap.String("server", r.Key), zap.Int64("offset", r.Offset), telemetry.Err(err))
		g.roster.Unreadable(r.Key)
	} else {
		g.roster.Announce(announced)
	}
	if g.serversRead {
		g.refreshServers(time.Now())
	}
}

// BeginSnapshot implements follow.Sink.
func (s *serversSink) BeginSnapshot() {
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
	g.refreshServers(time.Now())
	g.mu.Unlock()
	g.updateReady()
}

// ReadFailed implements follow.Sink.
func (s *serversSink) ReadFailed(error) {
	g := (*Gateway)(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.LogLost()
}

// ReadRecovered implements follow.Sink.
func (s *serversSink) ReadRecovered() {
	g := (*Gateway)(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.LogRegained(time.Now())
}

// refreshServers hands the usable servers to the balancer. The caller holds mu.
func (g *Gateway) refreshServers(now time.Time) {
	usable := g.roster.Usable(now)
	present := make(map[string]fleet.Server, len(usable))
	for _, s := range usable {
		present[s.ID] = s
	}
	for id, old := range g.servers {
		if s, stays := present[id]; !stays || s.Incarnation != old.Incarnation {
			g.log.Info("backend server takes no more work", zap.String("server", id), zap.String("service", old.Service))
			g.pools.CloseServer(id)
		}
	}
	for id, s := range present {
		if old, was := g.servers[id]; !was || s.Incarnation != old.Incarnation {
			g.log.Info("backend server takes work", zap.String("server", id), zap.String("service", s.Service), zap.String("address", s.Address), zap.String("group", s.Group), zap.Int("rank", s.Rank))
		}
	}
	g.servers = present
	g.balancer.SetServers(usable)
}

func (g *Gateway) misdirected(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.MarkMisdirected(server)
	g.refreshServers(time.Now())
}

// entriesSink takes the records of the other entries.
type entriesSink Gateway

// Apply implements follow.Sink.
func (s *entriesSink) Apply(r sharedlog.Record) {
	g := (*Gateway)(s)
	if r.Key == g.settings.Name || len(r.Value) == 0 {
		return
	}
	var record entryRecord
	err := json.Unmarshal(r.Value, &record)
	peer, parseErr := netip.ParseAddrPort(record.Peer)
	if err != nil || parseErr != nil {
		g.log.Warn("skipped an entry's record", zap.String("entry", r.Key), zap.Int64("offset", r.Offset), telemetry.Err(err), zap.NamedError("addressError", parseErr))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known[r.Key] = peer
}

// BeginSnapshot implements follow.Sink.
func (s *entriesSink) BeginSnapshot() {}

// EndSnapshot implements follow.Sink.
func (s *entriesSink) EndSnapshot() {}

// ReadFailed implements follow.Sink.
func (s *entriesSink) ReadFailed(error) {}

// ReadRecovered implements follow.Sink.
func (s *entriesSink) ReadRecovered() {}

func portText(port int) string { return strconv.Itoa(port) }

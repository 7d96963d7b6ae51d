package gateway

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// knownEntryTime is how long after its last message an entry that is no longer live may still be on the
// other side of a partition, where its requests count against the rate limits of servers.
const knownEntryTime = time.Minute

// RateLimitIgnored implements relay.ServerObserver.
func (g *Gateway) RateLimitIgnored(server string, err error) {
	if g.malformed.add(err.Error()) {
		g.log.Warn("ignored a malformed rate limit of a backend server: what it stated before stays in force", zap.String("server", server), telemetry.Err(err))
	}
}

// runRateLimits tells the other entries of rate limits, asks them for permits, and logs each change.
func (g *Gateway) runRateLimits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.rateLimits.Wake():
		}
		out := g.rateLimits.Advance(time.Now())
		for granter, asks := range out.Asks {
			g.mu.Lock()
			to, ok := g.peerAddresses[granter]
			g.mu.Unlock()
			if ok { // otherwise the request for permits times out
				g.sendRateLimits(*asks, to)
			}
		}
		if !out.Announcement.Empty() {
			g.sendToEntries(gossip.Message{RateLimits: &gossip.RateLimits{Entry: g.settings.Name, Message: out.Announcement}})
		}
		for _, c := range out.Changes {
			g.logRateLimitChange(c)
		}
	}
}

func (g *Gateway) sendRateLimits(m ratelimit.Message, to netip.AddrPort) {
	g.socket.Send(gossip.Message{RateLimits: &gossip.RateLimits{Entry: g.settings.Name, Message: m}}, to)
}

// handleRateLimits merges what another entry has told, and answers it.
func (g *Gateway) handleRateLimits(now time.Time, from netip.AddrPort, m *gossip.RateLimits) {
	if reply := g.rateLimits.Merge(now, m.Entry, m.Message); !reply.Empty() {
		g.sendRateLimits(reply, from)
	}
}

// tellRateLimits tells an entry that has just started of the rate limits. The log readers do so for all
// entries, so that a new entry does not get as many messages as there are entries.
func (g *Gateway) tellRateLimits(now time.Time, to netip.AddrPort) {
	if m := g.rateLimits.Periodic(now); !m.Empty() && g.isLogReader() {
		g.sendRateLimits(m, to)
	}
}

func (g *Gateway) logRateLimitChange(c ratelimit.Change) {
	g.log.Info("rate limit of a backend server changed", zap.String("server", c.Server), zap.Int64("incarnation", c.Incarnation), zap.Bool("limited", c.Limited),
		zap.Float64("requestsPerSecond", c.Rate), zap.Float64("previous", c.Previous), zap.String("learnedFrom", c.LearnedFrom))
	g.scope.Counter("rate_limit_changes").Inc(1)
	g.scope.Gauge("rate_limits_in_force").Update(float64(len(g.rateLimits.States(time.Now()))))
}

// recordRateLimitUsage updates the metrics of what was done under rate limits.
func (g *Gateway) recordRateLimitUsage() {
	usage := g.rateLimits.TakeUsage()
	g.scope.Counter("rate_limited_requests").Inc(int64(usage.Sent))
	g.scope.Counter("rate_limit_permits_denied").Inc(int64(usage.Denied))
	g.scope.Counter("rate_limit_permits_granted").Inc(int64(usage.Granted))
}
